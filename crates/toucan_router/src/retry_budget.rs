//! Limit on retries relative to successful requests.

use toucan_types::Permille;

/// Credit that one retry consumes.
const RETRY_COST_PERMILLE: u64 = 1_000;

/// Settings of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Retries earned per success.
    pub per_success: Permille,
    /// Retries earned per second regardless of successes, so that a service with few requests can
    /// retry.
    pub per_s: u32,
    /// Maximum number of saved retries.
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

/// Token bucket of retries that is refilled by successful requests.
///
/// During an overload few requests succeed and the bucket empties. Retries then add at most the
/// fraction [`RetryBudgetSettings::per_success`] to the load instead of multiplying it.
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
    credit_permille: u64,
    refilled_at_ms: u64,
}

impl RetryBudget {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings, now_ms: u64) -> Self {
        Self::with_saved(settings, settings.max_saved_retries, now_ms)
    }

    /// Creates a bucket with a number of saved retries.
    #[must_use]
    pub fn with_saved(settings: RetryBudgetSettings, saved: u32, now_ms: u64) -> Self {
        let saved = saved.min(settings.max_saved_retries);
        Self {
            settings,
            credit_permille: u64::from(saved) * RETRY_COST_PERMILLE,
            refilled_at_ms: now_ms,
        }
    }

    /// Changes the settings, for example when the number of VMs that share a budget changes.
    pub fn set_settings(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
        self.add_credit(0);
    }

    /// Returns whether a retry is saved, without the credit earned by time since the last
    /// [`Self::take`].
    #[must_use]
    pub const fn has_retry(&self) -> bool {
        self.credit_permille >= RETRY_COST_PERMILLE
    }

    /// Records the success of a first attempt or a retry.
    pub fn record_success(&mut self) {
        self.add_credit(u64::from(self.settings.per_success.0));
    }

    /// Takes one retry. Returns whether there was one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        // One retry per second is one permille of a retry per millisecond.
        self.add_credit(passed_ms.saturating_mul(u64::from(self.settings.per_s)));
        let Some(left) = self.credit_permille.checked_sub(RETRY_COST_PERMILLE) else {
            return false;
        };
        self.credit_permille = left;
        true
    }

    fn add_credit(&mut self, credit_permille: u64) {
        let max_credit_permille = u64::from(self.settings.max_saved_retries) * RETRY_COST_PERMILLE;
        self.credit_permille = self
            .credit_permille
            .saturating_add(credit_permille)
            .min(max_credit_permille);
    }
}
