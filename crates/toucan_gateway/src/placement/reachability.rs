//! Tracks whether the targets of a data centre can be reached.

use toucan_types::TargetName;

use super::CallOutcome;

/// Number of targets that fail to connect, without an answer from any target in between, after
/// which the whole data centre counts as unreachable.
const TARGETS_BEFORE_BACKOFF: usize = 2;
/// Time for which an unreachable data centre gets no calls before it is tried again.
const BACKOFF_MS: u64 = 1_000;

/// Failed connections to one data centre.
///
/// When a data centre is unreachable, each attempt at one of its targets costs a call the time of a
/// failed connection. Two different targets that fail in a row are sufficient evidence.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    unreachable: Vec<TargetName>,
    backoff_until_ms: u64,
}

impl Reachability {
    /// Records the outcome of a call to one of the targets; returns whether this starts or extends
    /// a backoff of the data centre.
    pub fn record(&mut self, target: &TargetName, outcome: CallOutcome, now_ms: u64) -> bool {
        match outcome {
            CallOutcome::Answered | CallOutcome::Errored | CallOutcome::Shed => {
                self.unreachable.clear();
                self.backoff_until_ms = 0;
                false
            }
            CallOutcome::Broken
            | CallOutcome::Lost
            | CallOutcome::Silent
            | CallOutcome::LocalFault => false,
            CallOutcome::NotConnected => {
                if self.unreachable.len() < TARGETS_BEFORE_BACKOFF
                    && !self.unreachable.contains(target)
                {
                    self.unreachable.push(target.clone());
                }
                if self.unreachable.len() < TARGETS_BEFORE_BACKOFF {
                    return false;
                }
                self.backoff_until_ms = now_ms + BACKOFF_MS;
                true
            }
        }
    }

    /// Returns whether the data centre is in backoff, so that its targets are avoided.
    #[must_use]
    pub const fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }
}
