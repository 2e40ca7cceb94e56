//! Orders to targets, and draining of targets.

use std::collections::BTreeSet;

use test_case::test_case;
use toucan_config::{Assignment, Change, Section};
use toucan_node::Node;
use toucan_platform::formats::{EngineOrderKind, VmState};
use toucan_router::{OrderClaim, OrderGroup, OrderSettings};
use toucan_standins::{EngineStandin, ReceivedOrder};

use super::test_fleet::{TestFleet, TestFleetOptions};

/// Timing short enough for a test. As in the defaults, the maximum staleness of the log is shorter
/// than the time in which orders settle. It can't be much shorter, since a read of the log waits up
/// to 1 s.
fn fast_orders() -> OrderSettings {
    OrderSettings {
        settle_ms: 3_000,
        takeover_cooldown_ms: 6_000,
        max_log_staleness_ms: 2_000,
        resend_after_ms: 6_000,
    }
}

fn fleet_options() -> TestFleetOptions {
    TestFleetOptions {
        orders: fast_orders(),
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

/// Waits until both engines have loaded one version and then unloaded its predecessor.
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

fn executed_fencing_numbers(engine: &EngineStandin) -> Vec<u64> {
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

#[test_case(true; "engines that check fencing numbers")]
#[test_case(false; "engines that ignore fencing numbers")]
fn one_decider_rolls_out_a_new_version_to_all_engines(honours_fencing: bool) {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        honours_fencing,
        ..fleet_options()
    });
    fleet.add_node("a");
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    let deciders: BTreeSet<u64> = fleet
        .engines
        .iter()
        .flat_map(executed_fencing_numbers)
        .collect();
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
fn a_node_takes_over_from_a_killed_decider() {
    let mut fleet = TestFleet::start_with_options(fleet_options());
    fleet.add_node("a");
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    let first = executed_fencing_numbers(&fleet.engines[0]);
    let decider = wait_for_decider(&fleet);
    fleet.nodes.remove(decider).kill();
    serve_version(&fleet, "3", 3);
    wait_for_rollout(&fleet, "3", "2");
    for engine in &fleet.engines {
        let numbers = executed_fencing_numbers(engine);
        assert!(numbers.is_sorted(), "{numbers:?}");
        assert!(numbers.last() > first.last(), "{numbers:?}");
    }
}

#[test]
fn competing_deciders_never_send_orders_under_an_older_claim() {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        honours_fencing: false,
        ..fleet_options()
    });
    fleet.add_node("a");
    fleet.add_node("a");
    wait_for_decider(&fleet);
    for (version, base_version) in [(2, 2), (3, 3), (4, 4)] {
        serve_version(&fleet, &version.to_string(), base_version);
        // The other node claims the orders while those for the version are in flight.
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
        let numbers = executed_fencing_numbers(engine);
        assert!(numbers.is_sorted(), "{numbers:?}");
        let deciders: BTreeSet<u64> = numbers.into_iter().collect();
        assert!(deciders.len() > 1, "{deciders:?}");
    }
}

enum DrainSource {
    Target,
    Platform,
    Operator,
}

#[test_case(&DrainSource::Target; "the target")]
#[test_case(&DrainSource::Platform; "the platform")]
#[test_case(&DrainSource::Operator; "an operator")]
fn a_draining_target_gets_no_requests_and_no_orders(source: &DrainSource) {
    let mut fleet = TestFleet::start_with_options(fleet_options());
    let node = fleet.add_node("a");
    match source {
        DrainSource::Target => fleet.engines[0].set_leaving(true),
        DrainSource::Platform => fleet
            .platform
            .vm_list
            .set_state("engine-1", VmState::Leaving),
        DrainSource::Operator => drain(&fleet),
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
        let response = fleet.chat(node, &format!("r-{request}"), body);
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert!(fleet.engines[0].runs().is_empty());
    assert_eq!(fleet.engines[1].runs().len(), 8);
    // It gets no order to load a version either.
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
    fleet.append_edit(Section::Operations, change, 1);
}

#[test]
fn orders_back_off_after_a_refusal_by_the_weight_store() {
    let mut fleet = TestFleet::start_with_options(TestFleetOptions {
        downloads_per_s: 1,
        downloads_per_min: 6_000,
        ..fleet_options()
    });
    fleet.add_node("a");
    serve_version(&fleet, "2", 2);
    wait_for_rollout(&fleet, "2", "1");
    assert!(fleet.platform.weights.refused() > 0);
    for engine in &fleet.engines {
        let orders = engine.orders();
        for pair in orders.windows(2).filter(|pair| !pair[0].executed) {
            // The weight store asks for a retry delay of 1 s.
            assert!(pair[1].at_ms - pair[0].at_ms >= 1_000, "{orders:?}");
        }
    }
}
