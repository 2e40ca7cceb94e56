//! Failures of one target, and how long they make it avoided.

use std::{error::Error, io};

/// Outcome of a call at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target answered with a server error.
    Errored,
    /// The target shed the call, or all connections to it were in use.
    Shed,
    /// The connection to the target failed.
    NotConnected,
    /// The target closed the connection, or the answer was not valid.
    Broken,
    /// The connection timed out: nothing arrives from the target, which may live behind a network
    /// partition.
    Lost,
    /// The target did not answer in time.
    Silent,
    /// The connection failed because of this VM, for example because its link is overloaded. It says
    /// nothing about the target.
    LocalFault,
}

impl CallOutcome {
    /// Returns the outcome of a call whose connection failed with `error`.
    #[must_use]
    pub fn of_connection_error(error: &(impl Error + 'static)) -> Self {
        let mut cause: Option<&(dyn Error + 'static)> = Some(error);
        while let Some(error) = cause {
            if let Some(error) = error.downcast_ref::<io::Error>()
                && is_unreachable(error.kind())
            {
                return Self::Lost;
            }
            cause = error.source();
        }
        Self::Broken
    }
}

const fn is_unreachable(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::NetworkDown
    )
}

/// Weight of the latest call in the moving average of failures.
const SMOOTHING_FACTOR: f64 = 0.1;
/// First backoff; it doubles with each further consecutive failure.
const INITIAL_BACKOFF_MS: u64 = 400;
/// Longest backoff.
const MAX_BACKOFF_MS: u64 = 5_000;
/// Consecutive failures at which the backoff starts. A failed connection starts it at once.
const FAILURES_BEFORE_BACKOFF: u32 = 2;

/// Recent failures of a target and the resulting backoff.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureHistory {
    failure_rate: f64,
    consecutive_failures: u32,
    backoff_until_ms: u64,
}

impl FailureHistory {
    /// Records the outcome of a call; returns whether this starts or extends a backoff.
    pub fn record(&mut self, outcome: CallOutcome, now_ms: u64) -> bool {
        if outcome == CallOutcome::LocalFault {
            return false;
        }
        let weight = match outcome {
            CallOutcome::Answered | CallOutcome::LocalFault => 0.0,
            // Services also answer valid calls with errors, so an error only raises the failure
            // rate, by which targets are compared.
            CallOutcome::Errored => 0.5,
            CallOutcome::Shed => 0.3,
            CallOutcome::NotConnected
            | CallOutcome::Broken
            | CallOutcome::Lost
            | CallOutcome::Silent => 1.0,
        };
        self.failure_rate += SMOOTHING_FACTOR * (weight - self.failure_rate);
        match outcome {
            CallOutcome::Answered | CallOutcome::Errored => {
                self.consecutive_failures = 0;
                self.backoff_until_ms = 0;
                false
            }
            CallOutcome::Shed | CallOutcome::LocalFault => false,
            CallOutcome::NotConnected
            | CallOutcome::Broken
            | CallOutcome::Lost
            | CallOutcome::Silent => {
                self.consecutive_failures += 1;
                let tolerated = match outcome {
                    CallOutcome::NotConnected => 0,
                    _ => FAILURES_BEFORE_BACKOFF - 1,
                };
                if self.consecutive_failures <= tolerated {
                    return false;
                }
                let doublings = (self.consecutive_failures - tolerated - 1).min(8);
                let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
                self.backoff_until_ms = now_ms + backoff_ms;
                true
            }
        }
    }

    /// Takes back the last failed connection and ends the backoff.
    pub fn excuse_failed_connect(&mut self) {
        let before = (self.failure_rate - SMOOTHING_FACTOR) / (1.0 - SMOOTHING_FACTOR);
        self.failure_rate = before.max(0.0);
        self.consecutive_failures = self.consecutive_failures.saturating_sub(1);
        self.backoff_until_ms = 0;
    }

    /// Returns the weighted fraction of recent calls that failed, from 0 to 1.
    #[must_use]
    pub const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns whether the target is in backoff, so that it is avoided.
    #[must_use]
    pub const fn is_in_backoff(&self, now_ms: u64) -> bool {
        now_ms < self.backoff_until_ms
    }

    /// Returns when the backoff ends.
    #[must_use]
    pub const fn backoff_until_ms(&self) -> u64 {
        self.backoff_until_ms
    }
}
