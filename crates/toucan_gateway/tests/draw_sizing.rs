//! How much is drawn and returned.

use test_case::test_case;
use toucan_gateway::budget::{DrawDecision, DrawSettings, DrawView, decide_draw};
use toucan_types::Tokens;

fn view() -> DrawView {
    DrawView {
        prepaid: Tokens(1_000_000),
        granted_to_all: Tokens(200_000),
        available: Tokens(0),
        waiting: Tokens(0),
        rate_per_s: 1_000.0,
        others_rate_per_s: 7_000.0,
        processes: 8,
        remaining_accept_ms: None,
    }
}

fn drawn(view: &DrawView) -> u64 {
    match decide_draw(view, &DrawSettings::default()) {
        DrawDecision::Draw(tokens) => tokens.0,
        DrawDecision::Keep => 0,
        DrawDecision::Return(tokens) => panic!("{tokens} returned"),
    }
}

#[test]
fn a_process_with_an_even_share_of_calls_holds_enough_for_an_outage() {
    let drawn = drawn(&view());
    assert!((9_000..=20_000).contains(&drawn), "{drawn}");
}

#[test]
fn waiting_calls_get_their_tokens_though_little_is_left() {
    let view = DrawView {
        granted_to_all: Tokens(995_000),
        waiting: Tokens(5_000),
        ..view()
    };
    assert_eq!(drawn(&view), 5_000);
}

#[test]
fn a_draw_never_exceeds_what_is_left() {
    let view = DrawView {
        granted_to_all: Tokens(999_000),
        waiting: Tokens(50_000),
        ..view()
    };
    assert_eq!(drawn(&view), 1_000);
}

#[test]
fn holdings_shrink_as_the_budget_runs_out() {
    let plenty = drawn(&view());
    let scarce = drawn(&DrawView {
        granted_to_all: Tokens(980_000),
        ..view()
    });
    assert!(scarce * 4 < plenty, "{scarce} against {plenty}");
}

#[test_case(300_000, 0 => matches DrawDecision::Return(_); "idle tokens go back")]
#[test_case(300_000, 1 => matches DrawDecision::Keep; "not while a call waits")]
fn surplus(available: u64, waiting: u64) -> DrawDecision {
    let view = DrawView {
        available: Tokens(available),
        waiting: Tokens(waiting),
        ..view()
    };
    decide_draw(&view, &DrawSettings::default())
}

#[test]
fn everything_idle_goes_back_when_a_lower_total_is_in_force() {
    let view = DrawView {
        prepaid: Tokens(100_000),
        available: Tokens(700),
        ..view()
    };
    let decision = decide_draw(&view, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Return(Tokens(700)));
}

#[test]
fn a_process_that_stops_keeps_only_what_its_last_calls_need() {
    let view = DrawView {
        available: Tokens(100_000),
        remaining_accept_ms: Some(2_500),
        ..view()
    };
    let decision = decide_draw(&view, &DrawSettings::default());
    assert_eq!(decision, DrawDecision::Return(Tokens(97_500)));
}

/// Part of the budget that eight even processes hold together when `spent_part` of it is spent.
fn held_part(spent_part: f64) -> f64 {
    let prepaid = 1_000_000.0;
    let view = DrawView {
        granted_to_all: Tokens((prepaid * spent_part) as u64),
        rate_per_s: 2_500.0,
        others_rate_per_s: 17_500.0,
        ..view()
    };
    drawn(&view) as f64 * 8.0 / prepaid
}

/// Most of a budget that may be lost when all processes end, once most of it is spent: calls that
/// fit into 97 in 100 of it are still to be served.
const MOST_LOST: f64 = 0.03;
/// Seconds of an outage that a budget must last which is spent evenly over a minute.
const OUTAGE_PART: f64 = 8.0 / 60.0;

#[test]
fn a_budget_that_runs_out_soon_loses_little_when_all_processes_end() {
    assert!(held_part(0.7) <= MOST_LOST, "{}", held_part(0.7));
}

#[test]
fn a_budget_that_is_half_spent_lasts_for_most_of_an_outage() {
    let bridged = held_part(0.45);
    assert!(bridged >= OUTAGE_PART * 0.75, "{bridged}");
}
