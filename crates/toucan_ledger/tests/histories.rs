//! Generated histories of a fleet with faults, and planted faults that they must find.
//!
//! `TOUCAN_HISTORIES` sets how many histories run, 2,000 if it is not set.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;
mod world;

use std::cell::Cell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use world::{
    BillTries, Fate, FundsElsewhere, Op, ReleaseOnTimer, Rules, Seen, Sound, TrustAnswers, World,
};

const DEFAULT_HISTORIES: u32 = 2_000;
const PLANTED_HISTORIES: u32 = 4_000;

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        1 => Just(Fate::Refused),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let node = 0_usize..9;
    prop_oneof![
        12 => (node.clone(), 1_u64..50).prop_map(|(node, cost)| Op::Request { node, cost }),
        10 => (node.clone(), 0_usize..4).prop_map(|(node, which)| Op::Finish { node, which }),
        4 => (0_usize..12, node.clone()).prop_map(|(request, node)| Op::Retry { request, node }),
        10 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, answer_lost)| Op::Send { node, answer_lost }),
        2 => (node.clone(), node.clone())
            .prop_map(|(node, holder)| Op::MoveHolder { node, holder }),
        10 => (node.clone(), fate()).prop_map(|(node, fate)| Op::Append { node, fate }),
        10 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, updates_lost)| Op::Read { node, updates_lost }),
        3 => (node.clone(), node.clone(), 1_u64..200)
            .prop_map(|(from, to, tokens)| Op::Give { from, to, tokens }),
        4 => (0_usize..4, any::<bool>()).prop_map(|(which, keep)| Op::Deliver { which, keep }),
        2 => (node.clone(), any::<bool>())
            .prop_map(|(node, destroyed)| Op::Crash { node, destroyed }),
        1 => (node.clone(), node.clone()).prop_map(|(by, target)| Op::Fence { by, target }),
        4 => (node.clone(), node.clone()).prop_map(|(by, target)| Op::Release { by, target }),
        1 => (node.clone(), 1_000_u64..2_000).prop_map(|(by, total)| Op::Fund { by, total }),
        8 => node.clone().prop_map(|node| Op::Pump { node }),
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

fn run<R: Rules>(histories: u32, seed: u8) -> Result<Seen, String> {
    let total = Cell::new(Seen::default());
    let outcome = runner(histories, seed).run(&prop::collection::vec(op(), 20..120), |ops| {
        let mut world = World::<R>::new();
        for op in ops {
            world.step(op);
        }
        world.settle();
        world.check();
        let mut sum = total.get();
        sum.add(world.seen());
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
        let run = |seed| scope.spawn(move || run::<Sound>(histories.div_ceil(workers), seed));
        let threads: Vec<_> = (1..=4).map(run).collect();
        let joined = threads.into_iter().map(|thread| thread.join().unwrap());
        joined.collect::<Vec<_>>()
    });
    let mut total = Seen::default();
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
        "a kind of fault never came about"
    );
}

/// Runs a planted fault and returns what the first history that found it showed.
fn found<R: Rules>() -> String {
    run::<R>(PLANTED_HISTORIES, 1)
        .map(|_| ())
        .expect_err("the planted fault must be found")
}

#[test]
fn a_release_on_a_timer_is_found() {
    assert!(found::<ReleaseOnTimer>().contains("more at hand than granted"));
}

#[test]
fn trust_in_the_answer_of_an_append_is_found() {
    assert!(found::<TrustAnswers>().contains("more at hand than granted"));
}

#[test]
fn top_ups_in_another_stream_are_found() {
    assert!(found::<FundsElsewhere>().contains("two folds of the same records differ"));
}

#[test]
fn billing_each_try_is_found() {
    assert!(found::<BillTries>().contains("billed twice"));
}
