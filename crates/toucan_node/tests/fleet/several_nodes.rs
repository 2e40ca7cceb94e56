//! Several nodes: grants through a batcher, retries at another node, nodes that stop or are fenced.

use toucan_ledger::{FenceEvidence, LedgerRecord, RecordBatch};
use toucan_types::IncarnationId;

use super::test_fleet::TestFleet;

const PURCHASED_TOKENS: u64 = 200_000;

fn body(content: &str, max_tokens: u64) -> String {
    format!(
        r#"{{"model":"drafter","messages":[{{"role":"user","content":"{content}"}}],
            "max_tokens":{max_tokens},"stream":true}}"#
    )
}

fn used_tokens(response: &super::http::Response) -> u64 {
    let events = response.events();
    assert_eq!(events.last(), Some(&"[DONE]"), "{response:?}");
    let usage: serde_json::Value =
        serde_json::from_str(events[events.len() - 2]).expect("a chunk with the usage");
    usage["usage"]["total_tokens"].as_u64().expect("a count")
}

#[test]
fn all_nodes_spend_from_one_budget_and_every_request_is_billed_once() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let nodes = [
        fleet.add_node("a"),
        fleet.add_node("a"),
        fleet.add_node("b"),
    ];
    let mut spent_tokens = 0;
    for turn in 0..12 {
        let node = nodes[turn % nodes.len()];
        let response = fleet.chat(node, &format!("r-{turn}"), &body("Draft.", 8));
        assert_eq!(response.status, 200, "{response:?}");
        spent_tokens += used_tokens(&response);
    }
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == spent_tokens);
}

#[test]
fn a_repeated_request_gets_the_complete_response_and_is_billed_once() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let (one, other) = (fleet.add_node("a"), fleet.add_node("a"));
    let first = fleet.chat(one, "r-1", &body("Draft a bond.", 10));
    let spent_tokens = used_tokens(&first);
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == spent_tokens);
    let again = fleet.chat(other, "r-1", &body("Draft a bond.", 10));
    assert_eq!(again.status, 200, "{again:?}");
    let text = |response: &super::http::Response| {
        let events = response.events();
        let chunks = events.iter().filter_map(|event| {
            let chunk: serde_json::Value = serde_json::from_str(event).ok()?;
            Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned())
        });
        chunks.collect::<String>()
    };
    assert_eq!(text(&first), text(&again));
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1, "the engine ran the request again");
    let third = fleet.chat(one, "r-2", &body("Draft a bond.", 10));
    let spent_tokens = spent_tokens + used_tokens(&third);
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == spent_tokens);
}

#[test]
fn the_grant_of_a_destroyed_node_is_returned() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let (one, other) = (fleet.add_node("a"), fleet.add_node("a"));
    let spent_tokens = used_tokens(&fleet.chat(one, "r-1", &body("Draft.", 8)))
        + used_tokens(&fleet.chat(other, "r-2", &body("Draft.", 8)));
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == spent_tokens);
    let killed = fleet.nodes.remove(one);
    let instance = killed.identity().instance.to_string();
    killed.kill();
    fleet.platform.remove_vm(&instance);
    // The tokens of the killed node are held at first, then released, since the platform lists its
    // VM as destroyed.
    fleet.wait_until(|fleet| {
        let statement = fleet.statement();
        statement["held_tokens"] == 0
            && statement["spent_tokens"] == spent_tokens
            && statement["remaining_tokens"].as_u64() > Some(PURCHASED_TOKENS / 2)
    });
}

#[test]
fn a_graceful_shutdown_returns_the_grants_and_cuts_off_no_request() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let (one, other) = (fleet.add_node("a"), fleet.add_node("a"));
    let spent_tokens = used_tokens(&fleet.chat(one, "r-1", &body("Draft.", 8)))
        + used_tokens(&fleet.chat(other, "r-2", &body("Draft.", 8)));
    let stopping = fleet.nodes.remove(one);
    let address = stopping.callers_address();
    let streaming = std::thread::spawn(move || {
        let authorization = format!("Bearer {}", super::test_fleet::GUILD_KEY);
        let headers = [
            ("authorization", authorization.as_str()),
            ("x-request-id", "r-3"),
        ];
        super::http::send(
            address,
            "POST",
            "/v1/chat/completions",
            &headers,
            &body("Draft at length.", 120),
        )
    });
    fleet.wait_until(|fleet| {
        let running = |engine: &toucan_standins::EngineStandin| engine.in_flight_requests() > 0;
        fleet.engines.iter().any(running)
    });
    assert_eq!(stopping.stop(), 0, "requests were cut off");
    let response = streaming.join().expect("the caller's thread ends");
    let spent_tokens = spent_tokens + used_tokens(&response);
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == spent_tokens);
}

#[test]
fn a_node_fenced_by_mistake_continues_as_a_new_incarnation() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let (one, other) = (fleet.add_node("a"), fleet.add_node("a"));
    let mut spent_tokens = used_tokens(&fleet.chat(one, "r-1", &body("Draft.", 8)));
    let incarnation = fleet.nodes[one].identity().incarnation;
    for shard in 0..2 {
        let fence = LedgerRecord::Fence {
            incarnation,
            evidence: FenceEvidence::Operator,
        };
        let writer = IncarnationId(1);
        let batch = RecordBatch {
            writer,
            number: shard,
            records: vec![fence],
        };
        let bytes = batch.encode().expect("a short batch");
        fleet.platform.log.append(&format!("ledger-{shard}"), bytes);
    }
    fleet.wait_until(|fleet| {
        let address = fleet.nodes[one].operators_address();
        let metrics = super::http::send(address, "GET", "/metrics", &[], "");
        metrics.body.contains("toucan_renewals_total")
    });
    for (turn, node) in [one, other, one, other].into_iter().enumerate() {
        let response = fleet.chat(node, &format!("after-{turn}"), &body("Draft.", 8));
        assert_eq!(response.status, 200, "{response:?}");
        spent_tokens += used_tokens(&response);
    }
    // The fenced incarnation sends a shutdown notice, so no tokens stay held.
    fleet.wait_until(|fleet| {
        let statement = fleet.statement();
        statement["held_tokens"] == 0 && statement["spent_tokens"] == spent_tokens
    });
}
