//! Bound on retries as a share of the requests that succeed.

use toucan_types::Permille;

/// Parts in which retries are counted.
const PARTS_PER_RETRY: u64 = 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned per success.
    pub per_success: Permille,
    /// Retries earned per second whatever succeeds, so that a quiet service may retry.
    pub per_s: u32,
    /// Most retries saved up.
    pub max_saved_retries: u32,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            per_success: Permille(100),
            per_s: 1,
            max_saved_retries: 20,
        }
    }
}

/// Token bucket of retries, filled by successes.
///
/// In a brown-out successes get rare and the bucket runs dry, so that retries add at most the share
/// of [`RetryBudgetSettings::per_success`] to the load instead of multiplying it.
///
/// ```
/// use toucan_router::{RetryBudget, RetryBudgetSettings};
///
/// let settings = RetryBudgetSettings { max_saved_retries: 1, per_s: 0, ..Default::default() };
/// let mut budget = RetryBudget::new(settings, 0);
/// assert!(budget.take(0));
/// assert!(!budget.take(0));
/// for _ in 0..10 {
///     budget.record_success();
/// }
/// assert!(budget.take(0));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    parts: u64,
    filled_at_ms: u64,
}

impl RetryBudget {
    /// A full bucket.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, now_ms: u64) -> Self {
        Self::with_saved(settings, settings.max_saved_retries, now_ms)
    }

    /// A bucket with some retries saved up.
    #[must_use]
    pub fn with_saved(settings: RetryBudgetSettings, saved: u32, now_ms: u64) -> Self {
        let saved = saved.min(settings.max_saved_retries);
        Self {
            settings,
            parts: u64::from(saved) * PARTS_PER_RETRY,
            filled_at_ms: now_ms,
        }
    }

    /// Changes the settings, such as when the number of VMs that share an allowance changes.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
        self.add(0);
    }

    /// Whether [`Self::take`] would give a retry.
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.parts >= PARTS_PER_RETRY
    }

    /// Notes a success of a first attempt or a retry.
    pub fn record_success(&mut self) {
        self.add(u64::from(self.settings.per_success.0));
    }

    /// Takes one retry; false if there is none.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms);
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        // One retry a second is one part a millisecond.
        self.add(passed_ms.saturating_mul(u64::from(self.settings.per_s)));
        let Some(left) = self.parts.checked_sub(PARTS_PER_RETRY) else {
            return false;
        };
        self.parts = left;
        true
    }

    fn add(&mut self, parts: u64) {
        let most = u64::from(self.settings.max_saved_retries) * PARTS_PER_RETRY;
        self.parts = self.parts.saturating_add(parts).min(most);
    }
}
