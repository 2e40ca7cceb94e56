//! An allowance of retries whose settings change while it is used.

use toucan_router::{RetryBudget, RetryBudgetSettings};
use toucan_types::Permille;

fn settings(max_saved_retries: u32) -> RetryBudgetSettings {
    RetryBudgetSettings {
        per_success: Permille(200),
        per_s: 0,
        max_saved_retries,
    }
}

#[test]
fn a_smaller_share_takes_saved_retries_away() {
    let mut budget = RetryBudget::new(settings(10), 0);
    budget.set_settings(settings(2));
    assert!(budget.take(0) && budget.take(0));
    assert!(!budget.has_retry());
    assert!(!budget.take(0));
}

#[test]
fn a_larger_share_gives_no_retries_at_once() {
    let mut budget = RetryBudget::new(settings(1), 0);
    assert!(budget.take(0));
    budget.set_settings(settings(10));
    assert!(!budget.has_retry());
    for _call in 0..5 {
        budget.record_success();
    }
    assert!(budget.take(0));
}

#[test]
fn a_window_never_has_more_than_the_ratio_and_the_share() {
    let mut budget = RetryBudget::new(settings(7), 0);
    let mut taken = 0;
    for call in 0..1_000_u64 {
        budget.record_success();
        taken += u64::from(budget.take(call));
    }
    assert!(taken <= 7 + 200, "{taken}");
}
