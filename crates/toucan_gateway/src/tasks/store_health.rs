//! Availability of the store as observed by one task.

use std::time::Duration;

use toucan_router::Backoff;

/// Maximum delay after the first failure.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Maximum delay after repeated failures. Short, so that the end of an outage is noticed quickly.
const MAX_BACKOFF_MS: u64 = 500;

/// Counts consecutive failures and logs when the store becomes unavailable and available again.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    task: &'static str,
    failures: u32,
    failing_since_ms: u64,
    /// Randomises the delays, so that the VMs do not all retry at the same time after an outage.
    backoff: Backoff,
}

impl StoreHealth {
    /// Creates the health record of a task that has made no call yet.
    pub(crate) const fn new(task: &'static str) -> Self {
        Self {
            task,
            failures: 0,
            failing_since_ms: 0,
            backoff: Backoff::new(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS),
        }
    }

    /// Returns whether the last call failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful call; returns whether the call before it had failed.
    pub(crate) fn record_success(&mut self, now_ms: u64) -> bool {
        let was_failing = self.failures > 0;
        if was_failing {
            log::info!(
                target: "store",
                duty = self.task,
                failures = self.failures,
                lost_ms = now_ms.saturating_sub(self.failing_since_ms);
                "the store answers again"
            );
        }
        self.failures = 0;
        self.backoff.reset();
        was_failing
    }

    /// Records a failed call; returns the delay before the next one.
    pub(crate) fn record_failure(
        &mut self,
        error: &impl std::error::Error,
        now_ms: u64,
    ) -> Duration {
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
            log::warn!(target: "store", duty = self.task, error:% = error; "the store does not answer");
        }
        self.failures += 1;
        metrics::counter!("toucan_store_failures_total", "duty" => self.task).increment(1);
        Duration::from_millis(self.backoff.next_delay_ms(&mut rand::rng()))
    }
}
