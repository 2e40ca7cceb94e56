//! Tests that all gateways together stay within the fleet's limits, whichever gateways crash, join
//! or are isolated by a network partition.

use std::net::SocketAddrV4;

use test_case::test_case;
use toucan_gateway::{
    Bounds,
    peers::{MemberEntry, Members},
    retries::{connection_share, initial_retry_budget, retry_share},
};
use toucan_router::RetryBudget;
use toucan_types::{DataCentreName, VmName};

const GATEWAYS: usize = 8;
/// Maximum number of connections that one target accepts from all gateways together.
const MAX_CONNECTIONS: u32 = 370;
/// Time after which a silent gateway no longer counts as live, with a margin.
const SILENT_MS: u64 = 20_000;

const fn bounds() -> Bounds {
    Bounds {
        stop_ms: 8_000,
        drain_ms: 2_000,
        contact_ms: 3_000,
        heartbeat_ms: 1_200,
        retry_ratio: 0.2,
        retry_slack: 56,
        most_partitions: 1,
        evacuate_ms: None,
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
        data_centre: DataCentreName::from("a"),
    }
}

/// Returns the number of gateways that gateway `at` counts at `now_ms`, if all registered at 0 and
/// it has since received datagrams only from those for which `hears` returns true.
fn counted_gateways(at: usize, hears: impl Fn(usize) -> bool, now_ms: u64) -> u32 {
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

/// Network partition of each gateway; only gateways of the same partition hear each other.
type NetworkPartitions<'a> = &'a [usize];

/// Returns the number of gateways that each gateway counts in a partitioned fleet.
fn counted_by_each(partitions: NetworkPartitions<'_>) -> Vec<u32> {
    let count =
        |at: usize| counted_gateways(at, |other| partitions[other] == partitions[at], SILENT_MS);
    (0..GATEWAYS).map(count).collect()
}

const UNDIVIDED: NetworkPartitions<'static> = &[0; GATEWAYS];
const ONE_ISOLATED: NetworkPartitions<'static> = &[0, 0, 0, 0, 0, 0, 0, 1];
const TWO_ISOLATED: NetworkPartitions<'static> = &[0, 0, 0, 0, 0, 0, 1, 1];
const HALVES: NetworkPartitions<'static> = &[0, 0, 0, 0, 1, 1, 1, 1];
const ALL_ISOLATED: NetworkPartitions<'static> = &[0, 1, 2, 3, 4, 5, 6, 7];

#[test_case(UNDIVIDED)]
#[test_case(ONE_ISOLATED)]
#[test_case(TWO_ISOLATED)]
#[test_case(HALVES)]
#[test_case(ALL_ISOLATED)]
fn partitioned_fleet_keeps_its_limits_on_retries_and_connections(
    partitions: NetworkPartitions<'_>,
) {
    let processes = counted_by_each(partitions);
    let bounds = bounds();
    let retries: u32 = processes
        .iter()
        .map(|processes| retry_share(&bounds, *processes).max_saved_retries)
        .sum();
    assert!(retries <= bounds.retry_slack, "{retries} {processes:?}");
    let connections: u32 = processes
        .iter()
        .map(|processes| connection_share(MAX_CONNECTIONS, *processes))
        .sum();
    assert!(
        connections <= MAX_CONNECTIONS,
        "{connections} {processes:?}"
    );
}

#[test]
fn gateways_that_ended_free_their_share() {
    let processes = counted_gateways(0, |other| other < 6, SILENT_MS);
    assert_eq!(processes, 6);
}

/// Takes retries until none is left, and returns their number.
fn take_all(budget: &mut RetryBudget) -> u32 {
    (0..).take_while(|_taken| budget.take(0)).count() as u32
}

#[test]
fn restarted_fleet_does_not_get_a_second_retry_budget_in_one_window() {
    let bounds = bounds();
    let processes = GATEWAYS as u32;
    let mut taken = 0;
    for _gateway in 0..GATEWAYS {
        let mut old_budget = RetryBudget::new(retry_share(&bounds, processes), 0);
        taken += take_all(&mut old_budget);
        taken += take_all(&mut initial_retry_budget(&bounds, processes, 0));
    }
    assert!(taken <= bounds.retry_slack, "{taken}");
}
