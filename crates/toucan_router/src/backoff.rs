//! Delay between attempts.

use rand::Rng;

/// Delay between attempts: doubles up to a limit, each drawn at random below its bound.
///
/// ```
/// use rand::SeedableRng;
/// use toucan_router::Backoff;
///
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let mut backoff = Backoff::new(100, 1_000);
/// assert!(backoff.next_delay_ms(&mut rng) <= 100);
/// assert!(backoff.next_delay_ms(&mut rng) <= 200);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    base_ms: u64,
    limit_ms: u64,
    bound_ms: u64,
}

impl Backoff {
    /// A backoff whose first delay is at most `base_ms` and none above `limit_ms`.
    #[must_use]
    pub const fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self {
            base_ms,
            limit_ms,
            bound_ms: base_ms,
        }
    }

    /// The delay before the next attempt, in milliseconds, at least half of its bound.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let bound_ms = self.bound_ms.min(self.limit_ms);
        self.bound_ms = bound_ms.saturating_mul(2).min(self.limit_ms);
        rng.random_range(bound_ms / 2..=bound_ms)
    }

    /// Starts anew after a success.
    pub fn reset(&mut self) {
        self.bound_ms = self.base_ms;
    }
}
