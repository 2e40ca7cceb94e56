//! Whether a call that failed at a target is sent to another one.

use crate::{Refusal, config::RouteKind, placement::CallOutcome};

/// Connections that may fail for one call before it is refused.
const MOST_UNSENT_TRIES: u32 = 4;
/// Time that must be left for another target to be worth trying.
const LEAST_LEFT_MS: u64 = 20;

/// Why a call has no usable answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// It was certainly not sent.
    NotSent(CallOutcome),
    /// The target says that it did not run it.
    NotRun,
    /// It may have run.
    MayHaveRun(CallOutcome),
}

impl SendFailure {
    /// What it tells about the target.
    #[must_use]
    pub const fn call_outcome(self) -> CallOutcome {
        match self {
            Self::NotSent(end) | Self::MayHaveRun(end) => end,
            Self::NotRun => CallOutcome::Shed,
        }
    }
}

/// What became of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    /// Targets that it was sent to.
    pub sends: u32,
    /// Targets that it could not be sent to.
    pub unsent: u32,
    /// Whether a target may have run it.
    pub may_have_run: bool,
}

/// What is done after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target, which takes nothing from the allowance of retries.
    TryUnsent,
    /// Send it again if the allowance of retries permits, else refuse it so.
    SendAgainOr(Refusal),
    /// Refuse it.
    Refuse(Refusal),
}

/// Decides the next step; `progress` includes the failure.
#[must_use]
pub fn next_step(
    failure: SendFailure,
    progress: CallProgress,
    kind: RouteKind,
    max_targets: u32,
    left_ms: u64,
) -> NextStep {
    let refusal = refusal_for(failure, progress);
    if left_ms < LEAST_LEFT_MS {
        return NextStep::Refuse(refusal);
    }
    let may_send_again = progress.sends < max_targets;
    match failure {
        SendFailure::NotSent(_) if progress.unsent < MOST_UNSENT_TRIES => NextStep::TryUnsent,
        SendFailure::NotRun if may_send_again => NextStep::SendAgainOr(refusal),
        SendFailure::MayHaveRun(_) if may_send_again && kind.may_run_again() => {
            NextStep::SendAgainOr(refusal)
        }
        _ => NextStep::Refuse(refusal),
    }
}

/// The refusal that is true after a failure.
fn refusal_for(failure: SendFailure, progress: CallProgress) -> Refusal {
    match failure {
        SendFailure::MayHaveRun(CallOutcome::Silent) => Refusal::TargetSilent,
        _ if progress.may_have_run => Refusal::TargetFailed,
        SendFailure::NotRun => Refusal::TargetFull,
        _ => Refusal::NoTarget,
    }
}
