//! Health of a target as observed by this node's own attempts.

/// Backoff after the first failure; each further failure doubles it.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Maximum backoff.
const MAX_BACKOFF_MS: u64 = 10_000;

/// Consecutive failures of a target and the backoff they cause.
///
/// After the backoff, one request probes the target. A failure doubles the backoff, a success ends
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetHealth {
    failures: u32,
    backoff_until_ms: u64,
}

impl TargetHealth {
    /// Returns whether the target may get requests.
    #[must_use]
    pub const fn is_available(self, now_ms: u64) -> bool {
        now_ms >= self.backoff_until_ms
    }

    /// Returns whether the last attempt failed.
    #[must_use]
    pub const fn is_suspect(self) -> bool {
        self.failures > 0
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed attempt: the connection was refused, broke or timed out.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        let doublings = (self.failures - 1).min(16);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        self.backoff_until_ms = now_ms.saturating_add(backoff_ms);
    }

    /// Records that a probe was sent, so that no second one is sent before its outcome is known.
    pub fn record_probe(&mut self, now_ms: u64) {
        if self.failures > 0 {
            self.backoff_until_ms = now_ms.saturating_add(MAX_BACKOFF_MS);
        }
    }
}
