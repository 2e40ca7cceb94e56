//! What a caller gets of a node that ends while it works.

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
/// Callers whose answers wait for their bills at the same time.
const CALLERS: usize = 24;
/// Time in which the engine has made the whole answer, well before the wait for the bill is over.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Starts callers at once, numbered from `first` on.
fn start_callers(address: SocketAddr, first: usize) -> Vec<JoinHandle<Response>> {
    let ask = move |number: usize| {
        let authorization = format!("Bearer {GUILD_KEY}");
        let id = format!("r-{number}");
        let headers = [
            ("authorization", authorization.as_str()),
            ("x-request-id", id.as_str()),
        ];
        http::send(address, "POST", "/v1/chat/completions", &headers, BODY)
    };
    (first..first + CALLERS)
        .map(|number| thread::spawn(move || ask(number)))
        .collect()
}

fn is_complete(answer: &Response) -> bool {
    answer.events().contains(&"[DONE]")
}

#[test]
fn an_answer_whose_bill_is_not_known_outside_does_not_look_complete_when_the_node_ends() {
    let mut fleet = TestFleet::start(PURCHASED_TOKENS);
    let node = fleet.add_node("a");
    let address = fleet.nodes[node].callers_address();
    for caller in start_callers(address, 0) {
        let answer = caller.join().expect("the caller ends");
        assert!(is_complete(&answer), "{answer:?}");
    }
    let runs = |fleet: &TestFleet| -> usize {
        let runs = fleet.engines.iter().map(|engine| engine.runs().len());
        runs.sum()
    };
    // From here on no bill gets out of the node.
    fleet.platform.log.set_down(true);
    let callers = start_callers(address, CALLERS);
    thread::sleep(ANSWER_TIME);
    assert!(runs(&fleet) > CALLERS, "engines have run some");
    fleet.nodes.remove(node).kill();
    for caller in callers {
        let answer = caller.join().expect("the caller ends");
        assert!(!is_complete(&answer), "{answer:?}");
    }
}
