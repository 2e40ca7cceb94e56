//! Tests of the memory that is held for callers and targets.
//!
//! Guards against a process that is killed because slow callers make it hold more than its VM has, and
//! against slow callers of one organisation that leave nothing for others.

use std::collections::BTreeMap;

use proptest::prelude::*;
use test_case::test_case;
use toucan_gateway::buffers::{
    BufferKind, ByteAccounts, ByteBudget, ByteClaim, ByteLimits, LimitReached, ReaderId,
    ReaderTable,
};
use toucan_types::OrganisationName;

const MIB: u64 = 1024 * 1024;
/// Time between two steps of a history.
const STEP_MS: u64 = 100;
/// Memory of the process apart from what is held, as the limits assume it.
const PROCESS_BYTES: u64 = 20 * MIB;

fn organisation(at: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{at}"))
}

#[test_case(88; "smallest VM")]
#[test_case(96; "small VM")]
#[test_case(512; "largest VM")]
fn what_is_held_and_the_process_stay_under_their_part_of_the_memory(memory_mib: u64) {
    let limits = ByteLimits::for_memory(Some(memory_mib * MIB));
    assert!((limits.total_bytes + PROCESS_BYTES) * 10 <= memory_mib * MIB * 6);
    assert!(
        limits.organisation_bytes >= 4 * MIB,
        "the largest body fits"
    );
}

#[test]
fn slow_callers_leave_room_for_bodies_and_for_other_organisations() {
    let limits = ByteLimits::for_memory(None);
    let budget = ByteBudget::new(limits);
    let mut claims: Vec<ByteClaim> = Vec::new();
    for at in 0..1_000 {
        let mut claim = budget.claim(BufferKind::ReadAhead, organisation(0));
        if claim.set(64 * 1024).is_err() {
            assert!(at > 10, "{at} answers are held");
            break;
        }
        claims.push(claim);
    }
    let mut claim = |kind, at| {
        let mut claim = budget.claim(kind, organisation(at));
        let result = claim.set(MIB);
        claims.push(claim);
        result
    };
    assert_eq!(
        claim(BufferKind::ReadAhead, 0),
        Err(LimitReached::Organisation)
    );
    assert_eq!(claim(BufferKind::RequestBody, 0), Ok(()));
    assert_eq!(claim(BufferKind::ReadAhead, 1), Ok(()));
    drop(claims);
    assert_eq!(budget.accounts().total_bytes(), 0);
}

#[test]
fn events_are_not_read_ahead_into_the_room_for_calls_that_arrive() {
    let limits = ByteLimits::for_memory(None);
    let budget = ByteBudget::new(limits);
    let mut connections = budget.claim(BufferKind::Connection, organisation(0));
    let most = limits.total_bytes - limits.arrival_bytes;
    assert_eq!(connections.set(most), Ok(()));
    let mut events = budget.claim(BufferKind::ReadAhead, organisation(0));
    assert_eq!(events.set(1), Err(LimitReached::Total));
    let mut body = budget.claim(BufferKind::RequestBody, organisation(0));
    assert_eq!(body.set(limits.arrival_bytes), Ok(()));
    assert_eq!(connections.set(most + 1), Err(LimitReached::Total));
}

#[test]
fn refused_call_is_asked_to_return_when_its_bytes_are_released() {
    let mut accounts = ByteAccounts::new(ByteLimits::for_memory(None));
    let name = organisation(0);
    for now_ms in (0..5_000).step_by(10) {
        accounts.observe(now_ms);
        let added = accounts.add(BufferKind::RequestBody, &name, 10_000);
        added.expect("there is room");
        accounts.remove(BufferKind::RequestBody, &name, 10_000);
    }
    let wait_ms = accounts.return_ms(MIB, 5_000);
    assert!((900..1_200).contains(&wait_ms), "{wait_ms} ms");
}

#[test]
fn answer_whose_caller_has_read_least_for_longest_is_ended() {
    let mut readers = ReaderTable::default();
    let names = ["slow", "stopped", "never", "steady", "nothing held", "new"];
    let ids: Vec<ReaderId> = names[..5]
        .iter()
        .map(|name| readers.begin(*name, 0))
        .collect();
    for now_ms in (0..10_000).step_by(100) {
        readers.record_taken(ids[0], 100, now_ms);
        readers.record_taken(ids[3], 100_000, now_ms);
        if now_ms < 5_000 {
            readers.record_taken(ids[1], 100_000, now_ms);
        }
    }
    let new = readers.begin(names[5], 9_000);
    for id in ids[..4].iter().chain([&new]) {
        readers.set_held(*id, 1_000);
    }
    let mut ended = Vec::new();
    while let Some(reader) = readers.take_slowest(10_000) {
        ended.push(reader.handle);
    }
    assert_eq!(ended, ["never", "slow", "stopped", "steady"]);
}

#[test]
fn answer_that_waits_ends_only_that_of_a_much_slower_caller() {
    let mut readers = ReaderTable::default();
    let [slow, equal, never] = ["slow", "equal", "never"].map(|name| readers.begin(name, 0));
    for now_ms in (0..5_000).step_by(100) {
        readers.record_taken(slow, 1_000, now_ms);
        readers.record_taken(equal, 1_200, now_ms);
    }
    for id in [slow, equal, never] {
        readers.set_held(id, 1_000);
    }
    assert_eq!(readers.take_much_slower(never, 5_000), None);
    let ended = readers.take_much_slower(slow, 5_000);
    assert_eq!(ended.map(|reader| reader.handle), Some("never"));
    assert_eq!(readers.take_much_slower(equal, 5_000), None);
}

/// A caller of a simulated fleet.
#[derive(Clone, Debug)]
struct SimulatedCaller {
    organisation: usize,
    body_bytes: u64,
    answer_bytes: u64,
    written_bytes_per_step: u64,
    read_bytes_per_step: u64,
    begins_at_step: u64,
}

fn caller() -> impl Strategy<Value = SimulatedCaller> {
    let speed = prop_oneof![Just(0), 1..200_u64, 1_000..2_000_000_u64];
    let sizes = (0..4 * MIB, 1..6 * MIB, 1_000..MIB);
    (0..6_usize, sizes, speed, 0..40_u64).prop_map(
        |(organisation, (body, answer, written), read, begins_at_step)| SimulatedCaller {
            organisation,
            body_bytes: body,
            answer_bytes: answer,
            written_bytes_per_step: written,
            read_bytes_per_step: read,
            begins_at_step,
        },
    )
}

struct SimulatedCall {
    caller: SimulatedCaller,
    id: ReaderId,
    _body: ByteClaim,
    held: ByteClaim,
    read_bytes: u64,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 10_000, ..ProptestConfig::default() })]

    #[test]
    fn no_history_holds_more_than_the_budget(
        callers in proptest::collection::vec(caller(), 1..40),
        memory_mib in 1..128_u64,
    ) {
        let limits = ByteLimits::for_memory(Some(memory_mib * MIB));
        let budget = ByteBudget::new(limits);
        let mut readers = ReaderTable::default();
        let mut calls: BTreeMap<usize, SimulatedCall> = BTreeMap::new();
        for step in 0..60 {
            let now_ms = step * STEP_MS;
            for (at, caller) in callers.iter().enumerate() {
                if caller.begins_at_step != step {
                    continue;
                }
                let name = organisation(caller.organisation);
                let mut body = budget.claim(BufferKind::RequestBody, name.clone());
                if body.set(caller.body_bytes).is_err() {
                    if let Some(ended) = readers.take_slowest(now_ms) {
                        calls.remove(&ended.handle);
                    }
                    continue;
                }
                let call = SimulatedCall {
                    caller: caller.clone(),
                    id: readers.begin(at, now_ms),
                    _body: body,
                    held: budget.claim(BufferKind::ReadAhead, name),
                    read_bytes: 0,
                };
                calls.insert(at, call);
            }
            let mut ended = Vec::new();
            for (at, call) in &mut calls {
                let unread = call.caller.answer_bytes - call.read_bytes;
                let wanted = call.caller.written_bytes_per_step.min(unread);
                let held = call.held.bytes() + wanted;
                if held <= limits.answer_bytes && call.held.set(held).is_ok() {
                    call.read_bytes += wanted;
                }
                let taken = call.caller.read_bytes_per_step.min(call.held.bytes());
                prop_assert_eq!(call.held.set(call.held.bytes() - taken), Ok(()));
                if taken > 0 {
                    readers.record_taken(call.id, taken, now_ms);
                }
                readers.set_held(call.id, call.held.bytes());
                if call.read_bytes == call.caller.answer_bytes && call.held.bytes() == 0 {
                    ended.push(*at);
                }
            }
            let accounts = budget.accounts();
            prop_assert!(accounts.total_bytes() <= limits.total_bytes);
            let read_ahead = accounts.held_bytes(BufferKind::ReadAhead);
            prop_assert!(read_ahead <= limits.read_ahead_bytes);
            drop(accounts);
            for at in 0..6 {
                let of_organisation = calls.values().filter(|call| call.caller.organisation == at);
                let held: u64 = of_organisation.map(|call| call.held.bytes()).sum();
                prop_assert!(held <= limits.organisation_read_ahead_bytes);
            }
            for at in ended {
                if let Some(call) = calls.remove(&at) {
                    readers.end(call.id);
                }
            }
        }
        calls.clear();
        prop_assert_eq!(budget.accounts().total_bytes(), 0);
    }
}
