//! Availability of the store as observed by one task.

use std::time::Duration;

use toucan_router::Backoff;

/// Maximum delay after the first failure.
const FIRST_PAUSE_MS: u64 = 200;
/// Maximum delay after repeated failures. Short, so that the end of an outage is noticed quickly.
const MOST_PAUSE_MS: u64 = 500;

/// Counts consecutive failures and logs when the store becomes unavailable and available again.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    duty: &'static str,
    failures: u32,
    lost_at_ms: u64,
    /// Randomises the delays, so that the VMs do not all retry at the same time after an outage.
    backoff: Backoff,
}

impl StoreHealth {
    /// Creates the health record of a task that has made no call yet.
    pub(crate) const fn new(duty: &'static str) -> Self {
        Self {
            duty,
            failures: 0,
            lost_at_ms: 0,
            backoff: Backoff::new(FIRST_PAUSE_MS, MOST_PAUSE_MS),
        }
    }

    /// Returns whether the last call failed.
    pub(crate) const fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful call; returns whether the call before it had failed.
    pub(crate) fn answered(&mut self, now_ms: u64) -> bool {
        let was_lost = self.failures > 0;
        if was_lost {
            log::info!(
                target: "store",
                duty = self.duty,
                failures = self.failures,
                lost_ms = now_ms.saturating_sub(self.lost_at_ms);
                "the store answers again"
            );
        }
        self.failures = 0;
        self.backoff.reset();
        was_lost
    }

    /// Records a failed call; returns the delay before the next one.
    pub(crate) fn failed(&mut self, error: &impl std::error::Error, now_ms: u64) -> Duration {
        if self.failures == 0 {
            self.lost_at_ms = now_ms;
            log::warn!(target: "store", duty = self.duty, error:% = error; "the store does not answer");
        }
        self.failures += 1;
        metrics::counter!("toucan_store_failures_total", "duty" => self.duty).increment(1);
        Duration::from_millis(self.backoff.next_delay_ms(&mut rand::rng()))
    }
}
