//! How many tokens a second are asked for.

use toucan_types::Tokens;

/// Time constant of the average.
const AVERAGE_MS: f64 = 8_000.0;

/// Shortest time that the first calls are averaged over.
const LEAST_AVERAGE_MS: f64 = 2_000.0;

/// Exponentially decaying average of a flow of tokens.
///
/// The average is taken over the time since the first call, until that exceeds the time constant.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    decayed_per_s: f64,
    at_ms: u64,
    first_at_ms: Option<u64>,
}

impl RateMeter {
    /// Counts tokens that were asked for.
    pub fn add(&mut self, tokens: Tokens, now_ms: u64) {
        self.decayed_per_s = self.decayed(now_ms) + tokens.0 as f64 * 1_000.0 / AVERAGE_MS;
        self.at_ms = now_ms;
        self.first_at_ms.get_or_insert(now_ms);
    }

    /// Tokens a second.
    #[must_use]
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let Some(first_at_ms) = self.first_at_ms else {
            return 0.0;
        };
        let age_ms = (now_ms.saturating_sub(first_at_ms) as f64).max(LEAST_AVERAGE_MS);
        let covered_part = 1.0 - (-age_ms / AVERAGE_MS).exp();
        self.decayed(now_ms) / covered_part
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.decayed_per_s * (-passed_ms / AVERAGE_MS).exp()
    }
}
