//! The permits that one gateway grants for the calls to one target.

/// Time over whose permits a bucket saves up those that nobody asked for.
const MAX_SAVED_MS: f64 = 100.0;

/// Token bucket of permits. It begins empty, since another gateway may have granted permits until a
/// moment ago.
#[derive(Clone, Copy, Debug)]
pub struct PermitBucket {
    available: f64,
    updated_at_ms: u64,
}

impl PermitBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            available: 0.0,
            updated_at_ms: now_ms,
        }
    }

    /// Takes up to `wanted` permits, of which `per_s` come into being each second, and returns their
    /// number.
    pub fn take(&mut self, wanted: u32, per_s: f64, now_ms: u64) -> u32 {
        let passed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        let capacity = (per_s * MAX_SAVED_MS / 1_000.0).max(1.0);
        self.available = (self.available + passed_ms * per_s / 1_000.0).min(capacity);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let taken = f64::from(wanted).min(self.available.floor());
        self.available -= taken;
        taken as u32
    }

    /// Returns the time from the last [`Self::take`] until there is a permit.
    #[must_use]
    pub fn next_permit_ms(&self, per_s: f64) -> u64 {
        let missing = (1.0 - self.available).max(0.0);
        (missing * 1_000.0 / per_s).ceil() as u64
    }
}
