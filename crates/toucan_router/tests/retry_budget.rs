//! Tests of a retry budget whose settings change while it is in use.

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
fn a_smaller_capacity_discards_saved_retries() {
    let mut budget = RetryBudget::new(settings(10), 0);
    budget.set_settings(settings(2));
    assert!(budget.take(0) && budget.take(0));
    assert!(!budget.has_retry());
    assert!(!budget.take(0));
}

#[test]
fn a_larger_capacity_adds_no_retries_by_itself() {
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
fn retries_never_exceed_the_earned_ones_plus_the_capacity() {
    let mut budget = RetryBudget::new(settings(7), 0);
    let mut taken = 0;
    for call in 0..1_000_u64 {
        budget.record_success();
        taken += u64::from(budget.take(call));
    }
    assert!(taken <= 7 + 200, "{taken}");
}
