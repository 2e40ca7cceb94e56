//! Orders to targets, and targets that leave.

use std::collections::BTreeSet;

use test_case::test_case;
use toucan_config::{Assignment, Change, Section};
use toucan_node::Node;
use toucan_platform::formats::{EngineOrderKind, VmState};
use toucan_router::{OrderClaim, OrderGroup, OrderSettings};
use toucan_standins::{EngineStandin, ReceivedOrder};

use super::test_fleet::{TestFleet, TestFleetOptions};

/// Times short enough for a test. As by default a claim is trusted for less than orders settle; the
/// trust can't be much shorter, since the log is read with a wait of 1 s.
fn quick() -> OrderSettings {
    OrderSettings {
        settle_ms: 3_000,
        takeover_cooldown_ms: 6_000,
        max_log_staleness_ms: 2_000,
        resend_after_ms: 6_000,
    }
}

fn shape() -> TestFleetOptions {
    TestFleetOptions {
        orders: quick(),
        ..TestFleetOptions::default()
    }
}

fn serve_version(fleet: &TestFleet, version: &str, base_version: u64) {
    let models = format!(
        r#"{{ "models": {{ "drafter": {{
            "serving_version": "{version}", "versions": {{ "{version}": {{}} }},
            "organisations": ["guild"], "max_output_tokens": 256,
        }} }} }}"#
    );
    fleet.edit(Section::Models, &models, base_version);
}

fn loads(order: &ReceivedOrder, wanted: &str) -> bool {
    matches!(&order.order.kind, EngineOrderKind::Load { version, .. } if version == wanted)
}

fn unloads(order: &ReceivedOrder, wanted: &str) -> bool {
    matches!(&order.order.kind, EngineOrderKind::Unload { version, .. } if version == wanted)
}

/// Waits until both engines have loaded one version and then unloaded the one before it.
fn wait_for_rollout(fleet: &TestFleet, to: &str, from: &str) {
    fleet.wait_until(|fleet| {
        fleet.engines.iter().all(|engine| {
            let orders = engine.orders();
            let done = |wanted: &dyn Fn(&ReceivedOrder) -> bool| {
                orders
                    .iter()
                    .rposition(|order| order.executed && wanted(order))
            };
            let loaded = done(&|order| loads(order, to));
            let unloaded = done(&|order| unloads(order, from));
            loaded.is_some() && loaded < unloaded
        })
    });
}

fn numbers(engine: &EngineStandin) -> Vec<u64> {
    let orders = engine.orders();
    let done = orders.iter().filter(|order| order.executed);
    done.map(|order| order.order.fencing_number).collect()
}

fn fencing_number(fleet: &TestFleet, node: &Node) -> Option<u64> {
    fleet.state(node, "orders")["groups"][0]["fencing_number"].as_u64()
}

fn wait_for_decider(fleet: &TestFleet) -> usize {
    let decider = || {
        let nodes = fleet.nodes.iter();
        let numbers = nodes.map(|node| fencing_number(fleet, node));
        numbers.collect::<Vec<_>>().iter().position(Option::is_some)
    };
    fleet.wait_until(|_| decider().is_some());
    decider().expect("a decider")
}

#[test_case(true; "engines that compare fencing numbers")]
#[test_case(false; "engines that ignore fencing numbers")]
fn a_new_version_comes_to_all_engines_by_one_decider(honours_fencing: bool) {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        honours_fencing,
        ..shape()
    });
    fleet.add_node("a");
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    let deciders: BTreeSet<u64> = fleet.engines.iter().flat_map(numbers).collect();
    assert_eq!(deciders.len(), 1, "{deciders:?}");
    for engine in &fleet.engines {
        let orders = engine.orders();
        eprintln!("{}: {} orders", engine.name(), orders.len());
        let loaded = orders
            .iter()
            .position(|order| order.executed && loads(order, "2"));
        let unloaded = orders.iter().position(|order| unloads(order, "1"));
        assert!(loaded < unloaded, "{orders:?}");
    }
}

#[test]
fn a_node_takes_over_from_a_decider_that_dies() {
    let mut fleet = TestFleet::start_with_options(shape());
    fleet.add_node("a");
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    let first = numbers(&fleet.engines[0]);
    let decider = wait_for_decider(&fleet);
    fleet.nodes.remove(decider).kill();
    serve_version(&fleet, "3", 3);
    wait_for_rollout(&fleet, "3", "2");
    for engine in &fleet.engines {
        let numbers = numbers(engine);
        assert!(numbers.is_sorted(), "{numbers:?}");
        assert!(numbers.last() > first.last(), "{numbers:?}");
    }
}

#[test]
fn nodes_that_overtake_each_other_never_order_by_an_older_claim() {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        honours_fencing: false,
        ..shape()
    });
    fleet.add_node("a");
    fleet.add_node("a");
    wait_for_decider(&fleet);
    for (version, base_version) in [(2, 2), (3, 3), (4, 4)] {
        serve_version(&fleet, &version.to_string(), base_version);
        // The other node claims while the orders for the version are on their way.
        let decider = wait_for_decider(&fleet);
        let claim = OrderClaim {
            group: OrderGroup {
                data_centre: "a".into(),
                service: "drafting".into(),
            },
            incarnation: fleet.nodes[1 - decider].identity().incarnation,
        };
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&claim, config).expect("a short claim");
        fleet.platform.log.append("orders", bytes);
        let (to, from) = (version.to_string(), (version - 1).to_string());
        wait_for_rollout(&fleet, &to, &from);
    }
    for engine in &fleet.engines {
        let numbers = numbers(engine);
        assert!(numbers.is_sorted(), "{numbers:?}");
        let deciders: BTreeSet<u64> = numbers.into_iter().collect();
        assert!(deciders.len() > 1, "{deciders:?}");
    }
}

enum Word {
    Target,
    Platform,
    Operator,
}

#[test_case(&Word::Target; "its own word")]
#[test_case(&Word::Platform; "the platform")]
#[test_case(&Word::Operator; "an operator")]
fn a_target_that_leaves_gets_no_request_once_its_word_is_known(word: &Word) {
    let mut fleet = TestFleet::start_with_options(shape());
    let node = fleet.add_node("a");
    match word {
        Word::Target => fleet.engines[0].set_leaving(true),
        Word::Platform => fleet
            .platform
            .vm_list
            .set_state("engine-1", VmState::Leaving),
        Word::Operator => drain(&fleet),
    }
    fleet.wait_until(|fleet| {
        let state = fleet.state(&fleet.nodes[node], "admission");
        let targets = state["targets"].as_array().cloned().unwrap_or_default();
        targets
            .iter()
            .any(|target| target["target"] == "engine-1" && target["draining"] == true)
    });
    for request in 0..8 {
        let body = r#"{"model":"drafter","messages":[{"role":"user","content":"Draft."}],
            "max_tokens":4,"stream":true}"#;
        let answer = fleet.chat(node, &format!("r-{request}"), body);
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(fleet.engines[0].runs().is_empty());
    assert_eq!(fleet.engines[1].runs().len(), 8);
    // Nor is it ordered to load anything.
    serve_version(&fleet, "2", 2);
    fleet.wait_until(|fleet| {
        let orders = fleet.engines[1].orders();
        orders
            .iter()
            .any(|order| order.executed && loads(order, "2"))
    });
    assert!(fleet.engines[0].orders().is_empty());
}

fn drain(fleet: &TestFleet) {
    let target = serde_json::json!({
        "service": "drafting", "data_centre": "a", "drained": true,
        "address": fleet.engines[0].address().to_string(),
    });
    let change = Change::Assign {
        assignments: vec![Assignment {
            path: r#"operations.targets["engine-1"]"#.to_owned(),
            value: target,
        }],
    };
    fleet.put_edit(Section::Operations, change, 1);
}

#[test]
fn a_refusal_of_the_weight_store_holds_the_orders_back() {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        downloads_per_s: 1,
        downloads_per_min: 6_000,
        ..shape()
    });
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    assert!(fleet.platform.weights.refused() > 0);
    for engine in &fleet.engines {
        let orders = engine.orders();
        for pair in orders.windows(2).filter(|pair| !pair[0].executed) {
            // The store asks for a second.
            assert!(pair[1].at_ms - pair[0].at_ms >= 1_000, "{orders:?}");
        }
    }
}
