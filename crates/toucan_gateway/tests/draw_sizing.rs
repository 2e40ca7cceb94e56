//! Tests of how many tokens a process draws and returns.

use test_case::test_case;
use toucan_gateway::budget::{
    DrawDecision, DrawInput, DrawSettings, GatewayProcess, GrantKey, GrantOwner, GrantRecord,
    GrantTable, decide_draw,
};
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

fn input() -> DrawInput {
    DrawInput {
        prepaid: Tokens(1_000_000),
        granted_to_all: Tokens(200_000),
        spent_or_lost: Tokens(200_000),
        available: Tokens(0),
        returnable: Tokens(0),
        is_holder: true,
        waiting: Tokens(0),
        rate_per_s: 1_000.0,
        others_rate_per_s: 7_000.0,
        holders: 8,
        remaining_accept_ms: None,
    }
}

fn drawn_tokens(input: &DrawInput) -> u64 {
    match decide_draw(input, &DrawSettings::default()) {
        DrawDecision::Draw(tokens) => tokens.0,
        DrawDecision::Keep => 0,
        DrawDecision::Return(tokens) => panic!("{tokens} returned"),
    }
}

#[test]
fn draw_covers_an_outage_with_evenly_spread_calls() {
    let drawn = drawn_tokens(&input());
    assert!((9_000..=20_000).contains(&drawn), "{drawn}");
}

#[test]
fn draw_covers_waiting_calls_when_little_is_left() {
    let input = DrawInput {
        granted_to_all: Tokens(995_000),
        waiting: Tokens(5_000),
        ..input()
    };
    assert_eq!(drawn_tokens(&input), 5_000);
}

#[test]
fn draw_never_exceeds_the_ungranted_tokens() {
    let input = DrawInput {
        granted_to_all: Tokens(999_000),
        waiting: Tokens(50_000),
        ..input()
    };
    assert_eq!(drawn_tokens(&input), 1_000);
}

#[test]
fn draws_shrink_as_the_budget_runs_out() {
    let at_start = drawn_tokens(&input());
    let near_end = drawn_tokens(&DrawInput {
        granted_to_all: Tokens(980_000),
        spent_or_lost: Tokens(980_000),
        ..input()
    });
    assert!(near_end * 4 < at_start, "{near_end} against {at_start}");
}

#[test_case(300_000, 0 => matches DrawDecision::Return(_); "idle tokens are returned")]
#[test_case(300_000, 1 => matches DrawDecision::Keep; "nothing is returned while a call waits")]
fn decision_for_surplus(available: u64, waiting: u64) -> DrawDecision {
    let input = DrawInput {
        available: Tokens(available),
        returnable: Tokens(available),
        waiting: Tokens(waiting),
        ..input()
    };
    decide_draw(&input, &DrawSettings::default())
}

#[test]
fn idle_tokens_are_returned_when_the_prepaid_total_is_lowered() {
    let input = DrawInput {
        prepaid: Tokens(100_000),
        available: Tokens(700),
        returnable: Tokens(700),
        ..input()
    };
    let decision = decide_draw(&input, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Return(Tokens(700)));
}

#[test]
fn stopping_process_keeps_only_what_its_last_calls_need() {
    let input = DrawInput {
        available: Tokens(100_000),
        returnable: Tokens(100_000),
        remaining_accept_ms: Some(2_500),
        ..input()
    };
    let decision = decide_draw(&input, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Return(Tokens(97_500)));
}

/// Returns the fraction of the budget that eight processes with equal rates hold together when
/// `spent_fraction` of it is spent.
fn held_fraction(spent_fraction: f64) -> f64 {
    let prepaid = 1_000_000.0;
    let input = DrawInput {
        granted_to_all: Tokens((prepaid * spent_fraction) as u64),
        spent_or_lost: Tokens((prepaid * spent_fraction) as u64),
        rate_per_s: 2_500.0,
        others_rate_per_s: 17_500.0,
        ..input()
    };
    drawn_tokens(&input) as f64 * 8.0 / prepaid
}

/// Largest fraction of a budget that may be lost when all processes crash after most of it was
/// spent, so that calls for 97 in 100 of its tokens are still served.
const MAX_LOST_FRACTION: f64 = 0.03;
/// An outage as a fraction of the time in which the budget is spent at a constant rate: 8 seconds
/// of a minute.
const OUTAGE_FRACTION: f64 = 8.0 / 60.0;

#[test]
fn nearly_spent_budget_loses_little_when_all_processes_crash() {
    assert!(
        held_fraction(0.7) <= MAX_LOST_FRACTION,
        "{}",
        held_fraction(0.7)
    );
}

#[test]
fn half_spent_budget_covers_most_of_an_outage() {
    let covered = held_fraction(0.45);
    assert!(covered >= OUTAGE_FRACTION * 0.75, "{covered}");
}

#[test]
fn gateway_that_is_no_holder_draws_only_for_calls_that_wait() {
    let input = DrawInput {
        is_holder: false,
        waiting: Tokens(3_000),
        ..input()
    };
    assert_eq!(drawn_tokens(&input), 3_000);
    let input = DrawInput {
        waiting: Tokens(0),
        ..input
    };
    assert_eq!(drawn_tokens(&input), 0);
}

#[test]
fn gateway_that_is_no_longer_a_holder_returns_what_it_drew() {
    let input = DrawInput {
        is_holder: false,
        available: Tokens(900),
        returnable: Tokens(600),
        ..input()
    };
    let decision = decide_draw(&input, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Return(Tokens(600)));
}

#[test]
fn borrowed_tokens_are_not_returned_to_the_store() {
    let input = DrawInput {
        is_holder: false,
        available: Tokens(900),
        ..input()
    };
    let decision = decide_draw(&input, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Keep);
}

#[test]
fn gateway_with_all_the_calls_holds_no_more_than_the_budget_allows() {
    // All calls of the organisation reach one of eight gateways, which already holds a third of the
    // unspent tokens. The budget is nearly spent, so that a crash must lose little of it.
    let input = DrawInput {
        granted_to_all: Tokens(800_000),
        spent_or_lost: Tokens(700_000),
        available: Tokens(100_000),
        returnable: Tokens(100_000),
        rate_per_s: 20_000.0,
        others_rate_per_s: 0.0,
        ..input()
    };
    let decision = decide_draw(&input, &DrawSettings::default());
    assert!(
        matches!(decision, DrawDecision::Return(tokens) if tokens >= Tokens(70_000)),
        "{decision:?}"
    );
}

#[test]
fn tokens_that_former_processes_held_are_not_unspent() {
    let organisation = OrganisationName::from("organisation");
    let record = |drawn, spent| GrantRecord {
        drawn: Tokens(drawn),
        returned: Tokens(50),
        spent: Tokens(spent),
        rate_per_s: 0,
        config_version: DocumentVersion(1),
        prepaid: Tokens(1_000),
    };
    let key = |owner| GrantKey {
        organisation: organisation.clone(),
        owner,
    };
    let process = GatewayProcess {
        vm: VmName::from("vm"),
        start_id: 2,
    };
    let mut grants = GrantTable::default();
    grants.apply(key(GrantOwner::FormerProcesses), Some(record(450, 100)));
    grants.apply(key(GrantOwner::Process(process)), Some(record(250, 70)));
    assert_eq!(grants.spent_or_lost(&organisation), Tokens(400 + 70));
}
