//! Tests of which gateways hold an organisation's tokens.
//!
//! Guards against a large fleet in which every gateway draws from every budget: each holding is
//! then smaller than a call, and calls are refused although the budget covers them.

mod support;

use std::collections::BTreeSet;

use support::{location, members_seen_by};
use test_case::test_case;
use toucan_types::{OrganisationName, VmName};

/// Time after which a silent gateway no longer counts as live, with a margin.
const SILENT_MS: u64 = 20_000;

fn organisation(at: usize) -> OrganisationName {
    OrganisationName::from(format!("organisation-{at}"))
}

#[test]
fn all_gateways_of_a_data_centre_name_the_same_holders() {
    let named: BTreeSet<Vec<VmName>> = (0..60)
        .step_by(6)
        .map(|at| members_seen_by(at, 60, 6).local_holders(&organisation(1), &location(at, 6), 0))
        .collect();
    assert_eq!(named.len(), 1, "{named:?}");
}

#[test_case(195, 6 => 12; "large fleet")]
#[test_case(9, 4 => 8; "small fleet, one data centre of three gateways")]
#[test_case(3, 3 => 3; "one gateway in each data centre")]
#[test_case(1, 1 => 1; "single gateway")]
fn holders_of_one_organisation(gateways: usize, data_centres: usize) -> usize {
    let holders: Vec<VmName> = (0..gateways)
        .filter(|at| {
            let members = members_seen_by(*at, gateways, data_centres);
            members.is_holder(&organisation(1), &location(*at, data_centres), 0)
        })
        .map(|at| location(at, data_centres).vm)
        .collect();
    let counted =
        members_seen_by(0, gateways, data_centres).holder_count(&location(0, data_centres), 0);
    assert_eq!(holders.len(), counted as usize, "{holders:?}");
    holders.len()
}

#[test]
fn organisations_are_spread_over_gateways() {
    let members = members_seen_by(0, 195, 6);
    let holders: BTreeSet<VmName> = (0..40)
        .flat_map(|at| members.local_holders(&organisation(at), &location(0, 6), 0))
        .collect();
    assert!(
        holders.len() >= 20,
        "{} hold 40 organisations",
        holders.len()
    );
}

#[test]
fn second_holder_takes_over_when_the_first_one_is_silent() {
    let local = location(0, 1);
    let mut members = members_seen_by(0, 10, 1);
    let before = members.local_holders(&organisation(3), &local, 0);
    let (first, second) = (&before[0], &before[1]);
    for at in 1..10 {
        let vm = location(at, 1).vm;
        if vm != *first
            && let Some(member) = members.get_mut(&vm)
        {
            member.last_seen_ms = SILENT_MS;
        }
    }
    let after = members.local_holders(&organisation(3), &local, SILENT_MS);
    assert_eq!(&after[0], second);
    assert!(!after.contains(first));
}

#[test]
fn gateway_that_hears_a_minority_counts_the_holders_of_the_whole_fleet() {
    let mut members = members_seen_by(0, 60, 6);
    for at in (6..60).step_by(6) {
        if let Some(member) = members.get_mut(&location(at, 6).vm) {
            member.last_seen_ms = SILENT_MS;
        }
    }
    assert_eq!(members.holder_count(&location(0, 6), SILENT_MS), 12);
}

#[test]
fn lenders_of_the_own_data_centre_are_asked_first() {
    let local = location(0, 6);
    let members = members_seen_by(0, 195, 6);
    let holders = members.local_holders(&organisation(5), &local, 0);
    let lenders = members.lenders(&organisation(5), &local, 0);
    assert_eq!(lenders[..holders.len()], holders[..]);
    assert_eq!(lenders.len(), 12);
    assert!(!lenders.contains(&local.vm));
}

#[test]
fn borrowers_spread_their_requests_over_other_data_centres() {
    let first_elsewhere: BTreeSet<VmName> = (0..60)
        .step_by(6)
        .map(|at| members_seen_by(at, 60, 6).lenders(&organisation(5), &location(at, 6), 0))
        .map(|lenders| lenders[2].clone())
        .collect();
    assert!(first_elsewhere.len() >= 4, "{first_elsewhere:?}");
}
