//! Whether the targets of a data centre can be reached.

use toucan_types::TargetName;

use super::CallOutcome;

/// Targets that could not be connected to, without an answer of another one in between, after
/// which the whole data centre counts as cut off.
const TARGETS_BEFORE_PAUSE: usize = 2;
/// Time for which a data centre that is cut off gets no calls before it is tried again.
const PAUSE_MS: u64 = 1_000;

/// Failed connections to one data centre.
///
/// When a data centre is cut off, each of its targets costs a call the time of a failed connection.
/// Two different ones that fail in a row tell as much as all of them.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    failed: Vec<TargetName>,
    backoff_until_ms: u64,
}

impl Reach {
    /// Notes how a call to one of the targets ended; true if the data centre is avoided from now on.
    pub fn record(&mut self, target: &TargetName, end: CallOutcome, now_ms: u64) -> bool {
        match end {
            CallOutcome::Answered | CallOutcome::Errored | CallOutcome::Shed => {
                self.failed.clear();
                self.backoff_until_ms = 0;
                false
            }
            CallOutcome::Broken | CallOutcome::Silent => false,
            CallOutcome::NotConnected => {
                if self.failed.len() < TARGETS_BEFORE_PAUSE && !self.failed.contains(target) {
                    self.failed.push(target.clone());
                }
                if self.failed.len() < TARGETS_BEFORE_PAUSE {
                    return false;
                }
                self.backoff_until_ms = now_ms + PAUSE_MS;
                true
            }
        }
    }

    /// Whether the data centre is avoided.
    #[must_use]
    pub const fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }
}
