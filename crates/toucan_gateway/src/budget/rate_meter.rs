//! How many tokens a second are asked for.

use toucan_types::Tokens;

/// Time constant of the average.
const AVERAGE_MS: f64 = 4_000.0;

/// Exponentially decaying average of a flow of tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    per_s: f64,
    at_ms: u64,
}

impl RateMeter {
    /// Counts tokens that were asked for.
    pub fn add(&mut self, tokens: Tokens, now_ms: u64) {
        self.per_s = self.per_s(now_ms) + tokens.0 as f64 * 1_000.0 / AVERAGE_MS;
        self.at_ms = now_ms;
    }

    /// Tokens a second.
    #[must_use]
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-passed_ms / AVERAGE_MS).exp()
    }
}
