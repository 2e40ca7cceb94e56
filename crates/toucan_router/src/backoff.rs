//! Exponential backoff with jitter.

use rand::Rng;

/// Exponential backoff with jitter.
///
/// The bound of the delay doubles with each attempt up to a limit. Each delay is drawn at random
/// between half of its bound and the bound.
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
    /// Creates a backoff whose first delay is at most `base_ms` and whose delays never exceed `limit_ms`.
    #[must_use]
    pub const fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self {
            base_ms,
            limit_ms,
            bound_ms: base_ms,
        }
    }

    /// Returns the delay before the next attempt, in milliseconds, and doubles the bound.
    pub fn next_delay_ms(&mut self, rng: &mut impl Rng) -> u64 {
        let bound_ms = self.bound_ms.min(self.limit_ms);
        self.bound_ms = bound_ms.saturating_mul(2).min(self.limit_ms);
        rng.random_range(bound_ms / 2..=bound_ms)
    }

    /// Resets the bound after a successful attempt.
    pub fn reset(&mut self) {
        self.bound_ms = self.base_ms;
    }
}
