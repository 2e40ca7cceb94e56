//! Whether the store answers, as one duty sees it.

use std::time::Duration;

use toucan_router::Backoff;

/// Longest pause after the first failed call.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause between failed calls; short, so that an end of an outage is noticed at once.
const MOST_PAUSE_MS: u64 = 500;

/// Counts failures in a row and logs when the store is lost and regained.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    duty: &'static str,
    failures: u32,
    lost_at_ms: u64,
    /// Spreads the pauses, so that VMs which lost the store together do not come back in one wave.
    backoff: Backoff,
}

impl StoreHealth {
    /// The health of a duty that has made no call.
    pub(crate) const fn new(duty: &'static str) -> Self {
        Self {
            duty,
            failures: 0,
            lost_at_ms: 0,
            backoff: Backoff::new(FIRST_PAUSE_MS, MOST_PAUSE_MS),
        }
    }

    /// Whether the last call failed.
    pub(crate) const fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// A call was answered; true if it is the first after a failure.
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

    /// A call failed; returns the pause before the next one.
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
