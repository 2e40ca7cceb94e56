//! What is sent again, and which refusals are true.

use test_case::test_case;
use toucan_gateway::{
    Refusal,
    config::RouteKind,
    placement::CallOutcome,
    retries::{CallProgress, NextStep, SendFailure, next_step},
};

const NON_IDEMPOTENT: RouteKind = RouteKind::NonIdempotent;
const STREAM: RouteKind = RouteKind::Streaming { resumable: false };
const RESUMABLE: RouteKind = RouteKind::Streaming { resumable: true };

fn after(failure: SendFailure, kind: RouteKind, sends: u32, max_targets: u32) -> NextStep {
    let progress = CallProgress {
        sends,
        unsent: 0,
        may_have_run: matches!(failure, SendFailure::MayHaveRun(_)),
    };
    next_step(failure, progress, kind, max_targets, 1_000)
}

#[test_case(NON_IDEMPOTENT, CallOutcome::Broken => NextStep::Refuse(Refusal::TargetFailed))]
#[test_case(NON_IDEMPOTENT, CallOutcome::Silent => NextStep::Refuse(Refusal::TargetSilent))]
#[test_case(STREAM, CallOutcome::Broken => NextStep::Refuse(Refusal::TargetFailed))]
#[test_case(RESUMABLE, CallOutcome::Broken => NextStep::SendAgainOr(Refusal::TargetFailed))]
#[test_case(RouteKind::Idempotent, CallOutcome::Broken => NextStep::SendAgainOr(Refusal::TargetFailed))]
fn a_call_that_may_have_run(kind: RouteKind, end: CallOutcome) -> NextStep {
    after(SendFailure::MayHaveRun(end), kind, 1, 3)
}

#[test]
fn what_a_target_refused_may_be_sent_to_another_one() {
    let step = after(SendFailure::NotRun, NON_IDEMPOTENT, 1, 2);
    assert_eq!(step, NextStep::SendAgainOr(Refusal::TargetFull));
    let step = after(SendFailure::NotRun, NON_IDEMPOTENT, 2, 2);
    assert_eq!(step, NextStep::Refuse(Refusal::TargetFull));
}

#[test]
fn an_unsent_call_takes_no_retry() {
    let step = after(
        SendFailure::NotSent(CallOutcome::NotConnected),
        NON_IDEMPOTENT,
        0,
        1,
    );
    assert_eq!(step, NextStep::TryUnsent);
}

#[test]
fn a_refusal_promises_nothing_once_a_target_may_have_run_the_call() {
    let progress = CallProgress {
        sends: 2,
        unsent: 0,
        may_have_run: true,
    };
    let step = next_step(
        SendFailure::NotRun,
        progress,
        RouteKind::Idempotent,
        2,
        1_000,
    );
    assert_eq!(step, NextStep::Refuse(Refusal::TargetFailed));
    assert!(!Refusal::TargetFailed.is_not_run());
}

#[test]
fn without_time_nothing_is_tried() {
    let progress = CallProgress::default();
    let failure = SendFailure::NotSent(CallOutcome::NotConnected);
    let step = next_step(failure, progress, RouteKind::Idempotent, 3, 5);
    assert_eq!(step, NextStep::Refuse(Refusal::NoTarget));
}

#[test]
fn only_refusals_that_promise_carry_a_time_to_return() {
    for refusal in [Refusal::TargetFailed, Refusal::TargetSilent] {
        assert_eq!(refusal.retry_after(), None);
        assert!(refusal.status().as_u16() == 502 || refusal.status().as_u16() == 504);
    }
    for refusal in [Refusal::BudgetInUse, Refusal::NoTarget, Refusal::Stopping] {
        assert!(refusal.is_not_run());
        assert!(refusal.retry_after().is_some());
        assert_eq!(refusal.status().as_u16(), 503);
    }
}
