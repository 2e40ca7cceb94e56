//! Whether a call that failed at a target is sent to another one.

use crate::{Refusal, config::RouteKind, placement::CallEnd};

use super::exchange::ExchangeFailure;

/// Connections that may fail for one call before it is refused.
const MOST_UNSENT_TRIES: u32 = 4;
/// Time that must be left for another target to be worth trying.
const LEAST_LEFT_MS: u64 = 20;

/// What became of one call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallProgress {
    /// Targets that it was sent to.
    pub(crate) sends: u32,
    /// Targets that it could not be sent to.
    pub(crate) unsent: u32,
    /// Whether a target may have run it.
    pub(crate) may_have_run: bool,
}

/// What is done after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Try another target, which takes nothing from the allowance of retries.
    TryUnsent,
    /// Send it again if the allowance of retries permits, else refuse it so.
    SendAgainOr(Refusal),
    /// Refuse it.
    Refuse(Refusal),
}

/// Decides the next step; `progress` includes the failure.
pub(crate) fn next_step(
    failure: ExchangeFailure,
    progress: CallProgress,
    kind: RouteKind,
    most_targets: u32,
    left_ms: u64,
) -> NextStep {
    let refusal = refusal_for(failure, progress);
    if left_ms < LEAST_LEFT_MS {
        return NextStep::Refuse(refusal);
    }
    let may_send_again = progress.sends < most_targets;
    match failure {
        ExchangeFailure::NotSent(_) if progress.unsent < MOST_UNSENT_TRIES => NextStep::TryUnsent,
        ExchangeFailure::NotRun if may_send_again => NextStep::SendAgainOr(refusal),
        ExchangeFailure::MayHaveRun(_) if may_send_again && kind.may_run_again() => {
            NextStep::SendAgainOr(refusal)
        }
        _ => NextStep::Refuse(refusal),
    }
}

/// The refusal that is true after a failure.
fn refusal_for(failure: ExchangeFailure, progress: CallProgress) -> Refusal {
    match failure {
        ExchangeFailure::MayHaveRun(CallEnd::Silent) => Refusal::TargetSilent,
        _ if progress.may_have_run => Refusal::TargetFailed,
        ExchangeFailure::NotRun => Refusal::TargetFull,
        _ => Refusal::NoTarget,
    }
}
