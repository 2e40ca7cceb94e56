//! What all gateways do together stays within the fleet's bounds, whoever dies, joins or is cut off.

use std::net::SocketAddrV4;

use test_case::test_case;
use toucan_gateway::{
    Bounds,
    peers::{MemberEntry, Members},
    retries::{connection_share, initial_retry_budget, retry_share},
};
use toucan_router::RetryBudget;
use toucan_types::VmName;

const GATEWAYS: usize = 8;
/// Connections that one target accepts from all gateways.
const MOST_CONNECTIONS: u32 = 370;
/// Time without a word after which a gateway that ended is noticed, with a margin.
const LONG_MS: u64 = 20_000;

const fn bounds() -> Bounds {
    Bounds {
        stop_ms: 8_000,
        drain_ms: 2_000,
        retry_ratio: 0.2,
        retry_slack: 56,
        most_partitions: 1,
    }
}

fn vm(at: usize) -> VmName {
    VmName::from(format!("vm-{at}").as_str())
}

fn entry() -> MemberEntry {
    MemberEntry {
        start: 1,
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        key: [0; 32],
    }
}

/// What gateway `at` counts at `now_ms`, if all registered at 0 and only those for which `hears`
/// holds are heard of since.
fn counted(at: usize, hears: impl Fn(usize) -> bool, now_ms: u64) -> u32 {
    let mut members = Members::default();
    for other in (0..GATEWAYS).filter(|other| *other != at) {
        members.register(vm(other), entry(), 0);
    }
    for other in (0..GATEWAYS).filter(|other| hears(*other)) {
        if let Some(member) = members.get_mut(&vm(other)) {
            member.last_seen_ms = now_ms;
        }
    }
    members.process_count(now_ms)
}

/// Gateways by the group within which they hear each other.
type Groups<'a> = &'a [usize];

/// What each gateway counts when the fleet is split into groups that do not hear each other.
fn counted_by_all(groups: Groups<'_>) -> Vec<u32> {
    let count = |at: usize| counted(at, |other| groups[other] == groups[at], LONG_MS);
    (0..GATEWAYS).map(count).collect()
}

const WHOLE: Groups<'static> = &[0; GATEWAYS];
const ONE_ALONE: Groups<'static> = &[0, 0, 0, 0, 0, 0, 0, 1];
const TWO_ZONES: Groups<'static> = &[0, 0, 0, 0, 0, 0, 1, 1];
const HALVES: Groups<'static> = &[0, 0, 0, 0, 1, 1, 1, 1];
const ALL_ALONE: Groups<'static> = &[0, 1, 2, 3, 4, 5, 6, 7];

#[test_case(WHOLE)]
#[test_case(ONE_ALONE)]
#[test_case(TWO_ZONES)]
#[test_case(HALVES)]
#[test_case(ALL_ALONE)]
fn retries_and_connections_of_a_split_fleet_stay_within_its_bounds(groups: Groups<'_>) {
    let processes = counted_by_all(groups);
    let bounds = bounds();
    let retries: u32 = processes
        .iter()
        .map(|processes| retry_share(&bounds, *processes).max_saved_retries)
        .sum();
    assert!(retries <= bounds.retry_slack, "{retries} {processes:?}");
    let connections: u32 = processes
        .iter()
        .map(|processes| connection_share(MOST_CONNECTIONS, *processes))
        .sum();
    assert!(
        connections <= MOST_CONNECTIONS,
        "{connections} {processes:?}"
    );
}

#[test]
fn gateways_that_ended_leave_their_share_to_the_others() {
    let processes = counted(0, |other| other < 6, LONG_MS);
    assert_eq!(processes, 6);
}

/// Takes retries until none is left.
fn drain(budget: &mut RetryBudget) -> u32 {
    (0..).take_while(|_taken| budget.take(0)).count() as u32
}

#[test]
fn a_fleet_that_restarts_does_not_get_a_second_allowance_in_one_window() {
    let bounds = bounds();
    let processes = GATEWAYS as u32;
    let mut taken = 0;
    for _gateway in 0..GATEWAYS {
        let mut before = RetryBudget::new(retry_share(&bounds, processes), 0);
        taken += drain(&mut before);
        taken += drain(&mut initial_retry_budget(&bounds, processes, 0));
    }
    assert!(taken <= bounds.retry_slack, "{taken}");
}
