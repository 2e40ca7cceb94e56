//! Decides what is done with a call that failed at a target.

use crate::{Refusal, config::RouteKind, placement::CallOutcome};

/// Number of failures to send a call at which it is refused.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Number of failures to send a call at which it is refused while this VM is the cause. Each may take as long
/// as a retransmitted SYN.
const MAX_LOCAL_FAULTS: u32 = 2;
/// Shortest remaining time in which another target is tried.
const MIN_REMAINING_MS: u64 = 20;

/// Why a call got no usable answer from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The call was certainly not sent.
    NotSent(CallOutcome),
    /// The call was not sent because its target left, or was excluded, while the call waited for a connection.
    Withdrawn,
    /// The target reported that it did not run the call.
    NotRun,
    /// The call may have run.
    MayHaveRun(CallOutcome),
}

impl SendFailure {
    /// Returns the outcome that is recorded for the target.
    #[must_use]
    pub const fn call_outcome(self) -> CallOutcome {
        match self {
            Self::NotSent(outcome) | Self::MayHaveRun(outcome) => outcome,
            Self::Withdrawn => CallOutcome::LocalFault,
            Self::NotRun => CallOutcome::Shed,
        }
    }
}

/// Attempts to send one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    /// Number of targets that the call was sent to.
    pub sends: u32,
    /// Number of failures to send the call.
    pub unsent: u32,
    /// Whether a target may have run the call.
    pub may_have_run: bool,
}

/// What is done with a call after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target, without using the retry budget.
    TryUnsent,
    /// Retry the call if the retry budget permits; otherwise refuse it for the given reason.
    SendAgainOr(Refusal),
    /// Refuse the call for the given reason.
    Refuse(Refusal),
}

/// Decides the next step after a failure, which `progress` already includes.
#[must_use]
pub fn next_step(
    failure: SendFailure,
    progress: CallProgress,
    kind: RouteKind,
    max_targets: u32,
    remaining_ms: u64,
) -> NextStep {
    let refusal = refusal_for(failure, progress);
    if remaining_ms < MIN_REMAINING_MS {
        return NextStep::Refuse(refusal);
    }
    let may_send_again = progress.sends < max_targets;
    match failure {
        SendFailure::NotSent(CallOutcome::LocalFault) if progress.unsent >= MAX_LOCAL_FAULTS => {
            NextStep::Refuse(refusal)
        }
        SendFailure::Withdrawn => NextStep::TryUnsent,
        SendFailure::NotSent(_) if progress.unsent < MAX_UNSENT_ATTEMPTS => NextStep::TryUnsent,
        SendFailure::NotRun if may_send_again => NextStep::SendAgainOr(refusal),
        SendFailure::MayHaveRun(_) if may_send_again && kind.may_run_again() => {
            NextStep::SendAgainOr(refusal)
        }
        _ => NextStep::Refuse(refusal),
    }
}

/// Returns the refusal after a failure; it reports the call as not run only if that is certain.
fn refusal_for(failure: SendFailure, progress: CallProgress) -> Refusal {
    match failure {
        SendFailure::MayHaveRun(CallOutcome::Silent) => Refusal::TargetSilent,
        _ if progress.may_have_run => Refusal::TargetFailed,
        SendFailure::NotRun => Refusal::TargetFull,
        SendFailure::NotSent(CallOutcome::LocalFault) => Refusal::CannotConnect,
        _ => Refusal::NoTarget,
    }
}
