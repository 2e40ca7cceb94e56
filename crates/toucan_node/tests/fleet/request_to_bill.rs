//! Single requests, from the caller to the bill.

use super::test_fleet::{SCHOOL_KEY, TestFleet};

const PURCHASED_TOKENS: u64 = 100_000;

fn body(stream: bool, max_tokens: u64) -> String {
    format!(
        r#"{{"model":"drafter","messages":[{{"role":"user","content":"Draft a bid bond."}}],
            "max_tokens":{max_tokens},"stream":{stream}}}"#
    )
}

#[test]
fn a_streamed_response_is_complete_and_billed_once() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let response = fleet.chat(node, "r-1", &body(true, 12));
    assert_eq!(response.status, 200, "{response:?}");
    let events = response.events();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let usage: serde_json::Value =
        serde_json::from_str(events[events.len() - 2]).expect("a chunk with the usage");
    let used_tokens = usage["usage"]["total_tokens"].as_u64().expect("a count");
    assert_eq!(
        events.len() as u64 - 2,
        usage["usage"]["completion_tokens"].as_u64().unwrap()
    );
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == used_tokens);
    let runs: usize = fleet.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
    let statement = fleet.statement();
    let term = |name: &str| statement[name].as_u64().expect("a count");
    assert_eq!(
        term("purchased_tokens"),
        term("remaining_tokens")
            + term("outstanding_tokens")
            + term("held_tokens")
            + term("spent_tokens")
    );
    assert_eq!(term("purchased_tokens"), PURCHASED_TOKENS);
}

#[test]
fn an_unstreamed_response_has_the_openai_format() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let response = fleet.chat(node, "r-1", &body(false, 5));
    assert_eq!(response.status, 200, "{response:?}");
    let json = response.json();
    assert_eq!(json["object"], "chat.completion");
    assert_eq!(json["usage"]["completion_tokens"], 5);
    assert!(
        !json["choices"][0]["message"]["content"]
            .as_str()
            .unwrap()
            .is_empty()
    );
}

#[test]
fn a_spent_budget_is_refused_with_402() {
    let mut fleet = TestFleet::start(40);
    let node = fleet.add_node("a");
    let response = fleet.chat(node, "r-1", &body(true, 200));
    assert_eq!(response.status, 402, "{response:?}");
    let error = &response.json()["error"];
    assert_eq!(error["code"], "budget_spent");
    assert_eq!(error["ran"], "no");
    assert!(fleet.engines.iter().all(|engine| engine.runs().is_empty()));
}

#[test]
fn unknown_keys_and_organisations_without_the_model_are_refused() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let address = fleet.nodes[node].callers_address();
    let post = |key: &str| {
        let authorization = format!("Bearer {key}");
        let headers = [("authorization", authorization.as_str())];
        super::http::send(
            address,
            "POST",
            "/v1/chat/completions",
            &headers,
            &body(true, 5),
        )
    };
    assert_eq!(post("tt_guild_wrong-secret").status, 401);
    assert_eq!(post("nonsense").status, 401);
    assert_eq!(post(SCHOOL_KEY).status, 403);
}

#[test]
fn a_call_that_may_not_be_repeated_runs_once() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let first = fleet.issue(node, "issue-1");
    assert_eq!(first.status, 200, "{first:?}");
    let again = fleet.issue(node, "issue-1");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(again.body, first.body, "the same response, not another run");
    assert_eq!(fleet.service.runs().len(), 1, "{:?}", fleet.service.runs());
    let other = fleet.issue(node, "issue-2");
    assert_eq!(other.status, 200, "{other:?}");
    assert_eq!(fleet.service.runs().len(), 2);
}

#[test]
fn a_call_in_progress_keeps_its_bill_when_a_chat_uses_its_id() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    fleet.service.set_run_time_ms(1_500);
    let address = fleet.nodes[node].callers_address();
    let issuing = std::thread::spawn(move || {
        let authorization = format!("Bearer {}", super::test_fleet::GUILD_KEY);
        let headers = [
            ("authorization", authorization.as_str()),
            ("idempotency-key", "both-1"),
        ];
        super::http::send(
            address,
            "POST",
            "/services/register/issuances",
            &headers,
            "{}",
        )
    });
    fleet.wait_until(|fleet| !fleet.service.runs().is_empty());
    let chat = fleet.chat(node, "both-1", &body(true, 5));
    assert_eq!(chat.status, 409, "{chat:?}");
    assert_eq!(chat.json()["error"]["code"], "in_progress");
    let issued = issuing.join().expect("the caller's thread ends");
    assert_eq!(issued.status, 200, "{issued:?}");
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == 5);
}
