//! Exponentially weighted average rate.

/// Exponentially weighted average rate over a short and a long time, of which the larger counts.
///
/// The short one responds to a burst at once; the long one keeps the rate up through a quiet
/// period, so that the grant is not returned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateMeter {
    short_per_s: f64,
    long_per_s: f64,
    updated_at_ms: u64,
}

/// Time constant of the short average, in seconds.
const SHORT_TIME_CONSTANT_S: f64 = 5.0;
/// Time constant of the long average, in seconds.
const LONG_TIME_CONSTANT_S: f64 = 60.0;

impl RateMeter {
    /// Adds an amount at a time.
    pub fn add(&mut self, amount: u64, now_ms: u64) {
        self.decay(now_ms);
        self.short_per_s += amount as f64 / SHORT_TIME_CONSTANT_S;
        self.long_per_s += amount as f64 / LONG_TIME_CONSTANT_S;
    }

    /// Returns the larger of the two averages as of a time, per second.
    #[must_use]
    pub fn per_s(mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.short_per_s.max(self.long_per_s)
    }

    /// Returns the average over the long time as of a time, per second.
    #[must_use]
    pub fn long_per_s(mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.long_per_s
    }

    fn decay(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1000.0;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        self.short_per_s *= (-passed_s / SHORT_TIME_CONSTANT_S).exp();
        self.long_per_s *= (-passed_s / LONG_TIME_CONSTANT_S).exp();
    }
}
