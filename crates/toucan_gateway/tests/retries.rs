//! Tests of which failed calls are retried, and of what refusals promise.

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

fn step_after(failure: SendFailure, kind: RouteKind, sends: u32, max_targets: u32) -> NextStep {
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
fn step_if_the_call_may_have_run(kind: RouteKind, outcome: CallOutcome) -> NextStep {
    step_after(SendFailure::MayHaveRun(outcome), kind, 1, 3)
}

#[test]
fn call_that_a_target_did_not_run_is_retried() {
    let step = step_after(SendFailure::NotRun, NON_IDEMPOTENT, 1, 2);
    assert_eq!(step, NextStep::SendAgainOr(Refusal::TargetFull));
    let step = step_after(SendFailure::NotRun, NON_IDEMPOTENT, 2, 2);
    assert_eq!(step, NextStep::Refuse(Refusal::TargetFull));
}

#[test]
fn unsent_call_uses_no_retry() {
    let step = step_after(
        SendFailure::NotSent(CallOutcome::NotConnected),
        NON_IDEMPOTENT,
        0,
        1,
    );
    assert_eq!(step, NextStep::TryUnsent);
}

/// Fails if a call tries target after target while the link of this VM is the cause.
#[test]
fn call_that_this_vm_cannot_send_is_refused_after_two_attempts() {
    let step = |unsent| {
        let progress = CallProgress {
            sends: 0,
            unsent,
            may_have_run: false,
        };
        let failure = SendFailure::NotSent(CallOutcome::LocalFault);
        next_step(failure, progress, NON_IDEMPOTENT, 1, 1_000)
    };
    assert_eq!(step(1), NextStep::TryUnsent);
    assert_eq!(step(2), NextStep::Refuse(Refusal::CannotConnect));
}

#[test]
fn refusal_does_not_claim_not_run_if_an_earlier_target_may_have_run_the_call() {
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
fn call_without_time_left_is_refused() {
    let progress = CallProgress::default();
    let failure = SendFailure::NotSent(CallOutcome::NotConnected);
    let step = next_step(failure, progress, RouteKind::Idempotent, 3, 5);
    assert_eq!(step, NextStep::Refuse(Refusal::NoTarget));
}

#[test]
fn only_refusals_of_calls_that_did_not_run_have_a_retry_after() {
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

/// An error of a library, with its cause.
#[derive(Debug)]
struct Wrapped(std::io::ErrorKind, Option<std::io::Error>);

impl Wrapped {
    fn of(kind: std::io::ErrorKind) -> Self {
        Self(kind, Some(kind.into()))
    }
}

impl std::fmt::Display for Wrapped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "connection error: {}", self.0)
    }
}

impl std::error::Error for Wrapped {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.1.as_ref().map(|error| error as _)
    }
}

/// A partition must not look as if the targets behind it had ended.
#[test_case(std::io::ErrorKind::TimedOut => CallOutcome::Lost; "timed out")]
#[test_case(std::io::ErrorKind::HostUnreachable => CallOutcome::Lost; "unreachable")]
#[test_case(std::io::ErrorKind::ConnectionReset => CallOutcome::Broken; "reset")]
#[test_case(std::io::ErrorKind::UnexpectedEof => CallOutcome::Broken; "closed")]
fn connection_that_times_out_is_told_from_one_that_its_target_closes(
    kind: std::io::ErrorKind,
) -> CallOutcome {
    CallOutcome::of_connection_error(&Wrapped::of(kind))
}
