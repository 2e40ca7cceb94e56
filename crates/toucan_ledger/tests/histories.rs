//! Generated histories of a simulated fleet with failures, and injected faults that the checks must
//! detect.
//!
//! `TOUCAN_HISTORIES` sets the number of histories, 2,000 by default.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod simulation;
mod support;

use std::cell::Cell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{
    AppendResult, BillEachAttempt, Coverage, FundsInOtherStream, Op, ProductRules, ReleaseOnTimer,
    Rules, Simulation, TrustAppendResponses,
};

const DEFAULT_HISTORIES: u32 = 2_000;
const FAULT_HISTORIES: u32 = 4_000;

fn append_result() -> impl Strategy<Value = AppendResult> {
    prop_oneof![
        6 => Just(AppendResult::Appended),
        2 => Just(AppendResult::ResponseLost),
        1 => Just(AppendResult::RequestLost),
        1 => Just(AppendResult::Refused),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0_usize..9;
    prop_oneof![
        12 => (node.clone(), 1_u64..50).prop_map(|(node, cost)| Op::Request { node, cost }),
        10 => (node.clone(), 0_usize..4).prop_map(|(node, which)| Op::Finish { node, which }),
        4 => (0_usize..12, node.clone()).prop_map(|(request, node)| Op::Retry { request, node }),
        10 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, response_lost)| Op::Send { node, response_lost }),
        2 => (node.clone(), node.clone())
            .prop_map(|(node, holder)| Op::ChangeHolder { node, holder }),
        10 => (node.clone(), append_result())
            .prop_map(|(node, result)| Op::Append { node, result }),
        10 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, updates_lost)| Op::Read { node, updates_lost }),
        3 => (node.clone(), node.clone(), 1_u64..200)
            .prop_map(|(from, to, tokens)| Op::Transfer { from, to, tokens }),
        4 => (0_usize..4, any::<bool>())
            .prop_map(|(which, keep)| Op::DeliverTransfer { which, keep }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, destroyed)| Op::Crash { node, destroyed }),
        1 => (node.clone(), node.clone()).prop_map(|(by, target)| Op::Fence { by, target }),
        4 => (node.clone(), node.clone()).prop_map(|(by, target)| Op::Release { by, target }),
        1 => (node.clone(), 1_000_u64..2_000).prop_map(|(by, total)| Op::Fund { by, total }),
        8 => node.clone().prop_map(|node| Op::Sync { node }),
        1 => node.prop_map(|by| Op::Snapshot { by }),
        1 => Just(Op::Expire),
        1 => (1_u64..200).prop_map(|ms| Op::Wait { ms }),
    ]
}

fn runner(histories: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases: histories,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

fn run<R: Rules>(histories: u32, seed: u8) -> Result<Coverage, String> {
    let total = Cell::new(Coverage::default());
    let outcome = runner(histories, seed).run(&prop::collection::vec(op(), 20..120), |ops| {
        let mut simulation = Simulation::<R>::new();
        for op in ops {
            simulation.step(op);
        }
        simulation.settle();
        simulation.check();
        let mut sum = total.get();
        sum.add(simulation.coverage());
        total.set(sum);
        Ok(())
    });
    outcome.map_err(|error| error.to_string())?;
    Ok(total.get())
}

#[test]
fn no_history_overspends_bills_twice_or_loses_a_bill() {
    let histories = std::env::var("TOUCAN_HISTORIES");
    let histories = histories.map_or(DEFAULT_HISTORIES, |count| count.parse().unwrap());
    let workers = 4;
    let outcomes = std::thread::scope(|scope| {
        let run =
            |seed| scope.spawn(move || run::<ProductRules>(histories.div_ceil(workers), seed));
        let threads: Vec<_> = (1..=4).map(run).collect();
        let joined = threads.into_iter().map(|thread| thread.join().unwrap());
        joined.collect::<Vec<_>>()
    });
    let mut total = Coverage::default();
    for outcome in outcomes {
        total.add(outcome.unwrap());
    }
    println!("{histories} histories: {total:?}");
    let counts = [
        total.delivered,
        total.releases,
        total.duplicate_records,
        total.duplicate_bills,
        total.transfers,
        total.snapshots_loaded,
        total.closed_wallets,
    ];
    assert!(
        counts.iter().all(|count| *count > 0),
        "some kind of failure never occurred"
    );
}

/// Runs rules with an injected fault and returns the failure that the first history showed.
fn detect<R: Rules>() -> String {
    run::<R>(FAULT_HISTORIES, 1)
        .map(|_| ())
        .expect_err("the injected fault must be detected")
}

#[test]
fn a_release_on_a_timer_is_detected() {
    assert!(detect::<ReleaseOnTimer>().contains("wallet holds more than granted"));
}

#[test]
fn a_grant_on_a_successful_append_is_detected() {
    assert!(detect::<TrustAppendResponses>().contains("wallet holds more than granted"));
}

#[test]
fn top_ups_in_another_stream_are_detected() {
    assert!(detect::<FundsInOtherStream>().contains("two replays of the same records differ"));
}

#[test]
fn billing_each_attempt_is_detected() {
    assert!(detect::<BillEachAttempt>().contains("billed twice"));
}
