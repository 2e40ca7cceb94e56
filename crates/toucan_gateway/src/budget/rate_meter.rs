//! Measures how many tokens per second calls ask for.

use toucan_types::Tokens;

/// Time constant of the exponential decay.
const TIME_CONSTANT_MS: f64 = 8_000.0;

/// Shortest time over which the first calls are averaged.
const MIN_AVERAGING_MS: f64 = 2_000.0;

/// Exponentially decaying average of tokens per second.
///
/// While the time since the first call is short, the average covers only that time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    decayed_per_s: f64,
    updated_at_ms: u64,
    first_at_ms: Option<u64>,
}

impl RateMeter {
    /// Adds tokens that a call asks for.
    pub fn add(&mut self, tokens: Tokens, now_ms: u64) {
        self.decayed_per_s = self.decayed(now_ms) + tokens.0 as f64 * 1_000.0 / TIME_CONSTANT_MS;
        self.updated_at_ms = now_ms;
        self.first_at_ms.get_or_insert(now_ms);
    }

    /// Returns when a call last asked for tokens.
    #[must_use]
    pub const fn updated_at_ms(&self) -> u64 {
        self.updated_at_ms
    }

    /// Returns the average in tokens per second.
    #[must_use]
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let Some(first_at_ms) = self.first_at_ms else {
            return 0.0;
        };
        let age_ms = (now_ms.saturating_sub(first_at_ms) as f64).max(MIN_AVERAGING_MS);
        let covered_fraction = 1.0 - (-age_ms / TIME_CONSTANT_MS).exp();
        self.decayed(now_ms) / covered_fraction
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.decayed_per_s * (-passed_ms / TIME_CONSTANT_MS).exp()
    }
}
