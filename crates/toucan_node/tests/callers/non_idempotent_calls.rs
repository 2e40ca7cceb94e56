//! Non-idempotent calls run at most once under retries.

use std::collections::BTreeMap;

use super::{
    http::Response,
    single_node::{SingleNode, assert_refused},
    test_fleet::TestFleet,
};

const ISSUANCES: &str = "/services/register/issuances";

fn runs_by_key(fleet: &TestFleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in fleet.service.runs() {
        *runs
            .entry(run.idempotency_key.unwrap_or_default())
            .or_default() += 1;
    }
    runs
}

/// Retries until the response is other than 503 or `in_progress`.
fn issue_until_decided(fleet: &TestFleet, node: usize, key: &str) -> Response {
    let last_response = std::cell::RefCell::new(None);
    fleet.wait_until(|fleet| {
        let current = fleet.issue(node, key);
        let json = current.json();
        let is_decided = current.status != 503 && json["error"]["code"] != "in_progress";
        *last_response.borrow_mut() = Some(current);
        is_decided
    });
    last_response.into_inner().expect("a response")
}

#[test]
fn a_retry_gets_the_response_of_the_first_attempt() {
    let mut node = SingleNode::start("");
    let first = node.fleet.issue(0, "issue-1");
    assert_eq!(first.status, 200, "{first:?}");
    let again = node.fleet.issue(0, "issue-1");
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert!(node.counter("toucan_replayed_answers_total", &[]) >= 1);
    // A different call with the same key is not run and does not get the first call's response.
    let other = node.send(
        "POST",
        ISSUANCES,
        &[("idempotency-key", "issue-1")],
        "{\"a\":1}",
    );
    assert_refused(&other, 409, "already_answered", "no");
    // Another node does not have the response.
    let elsewhere = node.fleet.add_node("a");
    let response = issue_until_decided(&node.fleet, elsewhere, "issue-1");
    assert_refused(&response, 409, "already_answered", "unknown");
    assert_eq!(
        runs_by_key(&node.fleet),
        BTreeMap::from([("issue-1".to_owned(), 1)])
    );
}

#[test]
fn responses_over_the_limit_are_not_cached() {
    let node = SingleNode::start(r#""replay": { "held_bytes": 0 },"#);
    assert_eq!(node.fleet.issue(0, "issue-1").status, 200);
    let again = node.fleet.issue(0, "issue-1");
    assert_refused(&again, 409, "already_answered", "unknown");
    assert_eq!(node.fleet.service.runs().len(), 1);
}

#[test]
fn a_retry_after_a_lost_response_does_not_run_again() {
    let mut node = SingleNode::start("");
    node.fleet.service.set_response_loss_permille(1_000);
    let first = node.fleet.issue(0, "lost-1");
    assert_refused(&first, 409, "outcome_unknown", "unknown");
    node.fleet.service.set_response_loss_permille(0);
    for _ in 0..3 {
        let again = issue_until_decided(&node.fleet, 0, "lost-1");
        assert_refused(&again, 409, "outcome_unknown", "unknown");
    }
    let elsewhere = node.fleet.add_node("a");
    let again = issue_until_decided(&node.fleet, elsewhere, "lost-1");
    assert_refused(&again, 409, "outcome_unknown", "unknown");
    assert_eq!(node.fleet.service.runs().len(), 1);
}

#[test]
fn retries_from_many_callers_run_each_key_at_most_once() {
    let mut node = SingleNode::start("");
    let other = node.fleet.add_node("a");
    node.fleet.service.set_response_loss_permille(200);
    let fleet = &node.fleet;
    std::thread::scope(|scope| {
        for caller in 0..6 {
            scope.spawn(move || {
                for key in 0..6 {
                    let at = if (caller + key) % 2 == 0 { 0 } else { other };
                    for _try in 0..3 {
                        let response = fleet.issue(at, &format!("many-{key}"));
                        let ran = response.json()["error"]["ran"].clone();
                        assert!(
                            response.status == 200 || ran == "no" || ran == "unknown",
                            "{response:?}"
                        );
                    }
                }
            });
        }
    });
    let runs = runs_by_key(fleet);
    assert!(!runs.is_empty());
    assert!(
        runs.values().all(|runs| *runs == 1),
        "{runs:?}: {:?}",
        fleet.service.runs()
    );
}

#[test]
fn a_call_whose_node_crashes_before_responding_is_not_run_again() {
    let mut node = SingleNode::start("");
    let other = node.fleet.add_node("a");
    node.fleet.service.set_run_time_ms(1_500);
    let request = format!(
        "POST {ISSUANCES} HTTP/1.1\r\nhost: node\r\nauthorization: {}\r\n\
         idempotency-key: dies-1\r\ncontent-length: 2\r\n\r\n{{}}",
        super::single_node::authorization()
    );
    let held = super::single_node::send_and_keep_open(node.callers, request.as_bytes());
    node.fleet
        .wait_until(|fleet| fleet.service.runs().len() == 1);
    let crashed = node.fleet.nodes.remove(0);
    crashed.kill();
    drop(held);
    let again = issue_until_decided(&node.fleet, other - 1, "dies-1");
    assert_refused(&again, 409, "outcome_unknown", "unknown");
    assert_eq!(node.fleet.service.runs().len(), 1);
}

#[test]
fn a_running_call_retried_at_another_node_is_still_billed() {
    let mut node = SingleNode::start("");
    let other = node.fleet.add_node("a");
    node.fleet.service.set_run_time_ms(1_000);
    let fleet = &node.fleet;
    std::thread::scope(|scope| {
        let first = scope.spawn(|| fleet.issue(0, "billed-1"));
        fleet.wait_until(|fleet| fleet.service.runs().len() == 1);
        let again = fleet.issue(other, "billed-1");
        assert_refused(&again, 409, "outcome_unknown", "unknown");
        let first = first.join().expect("a response");
        assert_eq!(first.status, 200, "{first:?}");
    });
    fleet.wait_until(|fleet| fleet.statement()["spent_tokens"] == 5);
}
