//! Guards against a limit that an answer lifts which the target wrote before it named the limit, and against
//! one that is kept although the target has named none since.

use test_case::test_case;
use toucan_gateway::limits::{CallRate, LimitRecord, LimitStatement, StatedLimit};

fn rate(per_s: f64) -> CallRate {
    CallRate::from_per_s(per_s).expect("the rate is a number")
}

/// Applies an answer to a call, in which the target names a limit or none.
fn answer(
    record: &mut LimitRecord,
    per_s: Option<f64>,
    sent_at_ms: u64,
    received_at_ms: u64,
) -> bool {
    let stated = per_s.map_or(StatedLimit::Absent, |per_s| StatedLimit::Rate(rate(per_s)));
    let statement = stated.statement(sent_at_ms, received_at_ms);
    record.apply(statement.expect("the limit can be read"))
}

#[test_case(None, 1_001, 1_400 => None; "no limit, to a later call")]
#[test_case(None, 950, 1_900 => Some(1.0); "no limit, to a call that was sent before and answered late")]
#[test_case(Some(3.0), 1_001, 1_400 => Some(3.0); "another limit, to a later call")]
#[test_case(Some(3.0), 950, 1_200 => Some(3.0); "another limit, received later")]
#[test_case(Some(3.0), 800, 990 => Some(1.0); "another limit, received before")]
fn the_later_statement_of_a_target_counts(
    per_s: Option<f64>,
    sent_at_ms: u64,
    received_at_ms: u64,
) -> Option<f64> {
    let mut record = LimitRecord::default();
    assert!(answer(&mut record, Some(1.0), 900, 1_000));
    answer(&mut record, per_s, sent_at_ms, received_at_ms);
    record.rate().map(CallRate::per_s)
}

#[test]
fn a_limit_that_is_named_again_counts() {
    let mut record = LimitRecord::default();
    answer(&mut record, Some(1.0), 900, 1_000);
    assert!(answer(&mut record, None, 1_100, 1_200));
    assert!(answer(&mut record, Some(2.0), 1_150, 1_300));
    assert_eq!(record.rate(), Some(rate(2.0)));
    assert!(
        !answer(&mut record, Some(2.0), 1_350, 1_400),
        "it is the same limit"
    );
}

#[test]
fn a_limit_that_cannot_be_read_says_nothing() {
    assert_eq!(StatedLimit::Unreadable.statement(1, 2), None);
}

/// Returns a limit of 1 as another gateway tells it.
fn told(stated_at_ms: u64) -> LimitStatement {
    LimitStatement {
        rate: Some(rate(1.0)),
        stated_at_ms,
    }
}

/// Gateways tell each other a limit many times a second; each message adds its delay to the time of the limit.
#[test]
fn a_limit_that_is_told_again_and_again_can_still_be_lifted() {
    let mut record = LimitRecord::default();
    answer(&mut record, Some(1.0), 900, 1_000);
    for delay_ms in 1..=500 {
        record.apply_told(told(1_000 + delay_ms));
    }
    assert!(answer(&mut record, None, 1_100, 1_500));
    assert!(!record.apply_told(told(1_050)), "it is older");
    assert_eq!(record.rate(), None);
}
