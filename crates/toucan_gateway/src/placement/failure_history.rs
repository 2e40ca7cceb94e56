//! Failures of one target, and how long it is avoided for them.

/// How a call ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It answered as it should.
    Answered,
    /// It answered with an error of its own.
    Errored,
    /// It refused the call because it was full.
    Shed,
    /// It could not be connected to.
    NotConnected,
    /// The connection broke, or the answer was none.
    Broken,
    /// It did not answer in time.
    Silent,
}

/// Weight of one call in the average of failures.
const AVERAGE_WEIGHT: f64 = 0.1;
/// First time for which a target is avoided; doubled with each further failure in a row.
const FIRST_PAUSE_MS: u64 = 400;
/// Longest time for which a target is avoided before it is tried again.
const MOST_PAUSE_MS: u64 = 5_000;
/// Failures in a row after which a target that can be connected to is avoided.
const FAULTS_BEFORE_PAUSE: u32 = 2;

/// Recent failures of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureHistory {
    failure_rate: f64,
    in_a_row: u32,
    backoff_until_ms: u64,
}

impl FailureHistory {
    /// Notes how a call ended; true if the target is avoided from now on.
    pub fn record(&mut self, end: CallOutcome, now_ms: u64) -> bool {
        let weight = match end {
            CallOutcome::Answered => 0.0,
            // Errors of a service's own calls are usual; they only count against the others' rate.
            CallOutcome::Errored => 0.5,
            CallOutcome::Shed => 0.3,
            CallOutcome::NotConnected | CallOutcome::Broken | CallOutcome::Silent => 1.0,
        };
        self.failure_rate += AVERAGE_WEIGHT * (weight - self.failure_rate);
        match end {
            CallOutcome::Answered | CallOutcome::Errored => {
                self.in_a_row = 0;
                self.backoff_until_ms = 0;
                false
            }
            CallOutcome::Shed => false,
            CallOutcome::NotConnected | CallOutcome::Broken | CallOutcome::Silent => {
                self.in_a_row += 1;
                let free = match end {
                    CallOutcome::NotConnected => 0,
                    _ => FAULTS_BEFORE_PAUSE - 1,
                };
                if self.in_a_row <= free {
                    return false;
                }
                let doublings = (self.in_a_row - free - 1).min(8);
                let pause_ms = (FIRST_PAUSE_MS << doublings).min(MOST_PAUSE_MS);
                self.backoff_until_ms = now_ms + pause_ms;
                true
            }
        }
    }

    /// Part of the calls of late that failed, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the target is avoided.
    #[must_use]
    pub const fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// When the target is tried again.
    #[must_use]
    pub const fn backoff_until_ms(&self) -> u64 {
        self.backoff_until_ms
    }
}
