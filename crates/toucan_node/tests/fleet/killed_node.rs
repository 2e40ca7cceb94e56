//! What a caller receives when its node is killed during the request.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use super::{
    http::{self, Response},
    test_fleet::{GUILD_KEY, TestFleet},
};

const PURCHASED_TOKENS: u64 = 20_000_000;
const BODY: &str = r#"{"model":"drafter","messages":[{"role":"user","content":"Draft."}],
    "max_tokens":8,"stream":true}"#;
/// Number of callers whose responses wait for their bills at the same time.
const CALLERS: usize = 24;
/// Time within which the engine generates the complete response, well below the time for which a
/// response waits for its bill.
const GENERATION_TIME: Duration = Duration::from_millis(1_000);

/// Starts callers at once, numbered from `first` on.
fn start_callers(address: SocketAddr, first: usize) -> Vec<JoinHandle<Response>> {
    let send = move |number: usize| {
        let authorization = format!("Bearer {GUILD_KEY}");
        let id = format!("r-{number}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("x-request-id", id.as_str()),
        ];
        http::send(address, "POST", "/v1/chat/completions", &headers, BODY)
    };
    (first..first + CALLERS)
        .map(|number| thread::spawn(move || send(number)))
        .collect()
}

fn is_complete(response: &Response) -> bool {
    response.events().contains(&"[DONE]")
}

#[test]
fn a_response_without_a_durable_bill_is_incomplete_when_the_node_is_killed() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let address = fleet.nodes[node].callers_address();
    for caller in start_callers(address, 0) {
        let response = caller.join().expect("the caller ends");
        assert!(is_complete(&response), "{response:?}");
    }
    let runs = |fleet: &TestFleet| -> usize {
        let runs = fleet.engines.iter().map(|engine| engine.runs().len());
        runs.sum()
    };
    // From here on no bill becomes durable.
    fleet.platform.log.set_down(true);
    let callers = start_callers(address, CALLERS);
    thread::sleep(GENERATION_TIME);
    assert!(runs(&fleet) > CALLERS, "the engines have run some requests");
    fleet.nodes.remove(node).kill();
    for caller in callers {
        let response = caller.join().expect("the caller ends");
        assert!(!is_complete(&response), "{response:?}");
    }
}
