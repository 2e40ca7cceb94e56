//! Token bucket that limits the rate of calls to a stand-in.

/// Number of full bursts per second at the rate: a burst is at most a quarter of a second's calls.
const BURSTS_PER_S: f64 = 4.0;

/// Token bucket that admits calls up to a rate.
pub(crate) struct RateLimiter {
    calls_per_s: u64,
    available_calls: f64,
    updated_at_ms: u64,
}

impl RateLimiter {
    /// Creates a limiter of this many calls per second; 0 admits all calls.
    pub(crate) fn new(calls_per_s: u64) -> Self {
        Self {
            calls_per_s,
            available_calls: 1.0,
            updated_at_ms: 0,
        }
    }

    /// Returns whether a call may pass now, and counts it if so.
    pub(crate) fn admit(&mut self, now_ms: u64) -> bool {
        if self.calls_per_s == 0 {
            return true;
        }
        let rate_per_s = self.calls_per_s as f64;
        let elapsed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1_000.0;
        let burst = (rate_per_s / BURSTS_PER_S).max(1.0);
        self.available_calls = (self.available_calls + elapsed_s * rate_per_s).min(burst);
        self.updated_at_ms = now_ms;
        if self.available_calls < 1.0 {
            return false;
        }
        self.available_calls -= 1.0;
        true
    }
}
