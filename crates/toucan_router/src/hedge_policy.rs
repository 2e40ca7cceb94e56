//! Policy for hedged requests: a second attempt is sent while the first one is still running.

use toucan_types::Permille;

/// Settings of a [`HedgePolicy`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeSettings {
    /// Whether hedging is enabled.
    pub enabled: bool,
    /// Quantile of the time to first token after which a hedge is sent.
    pub quantile: Permille,
    /// Shortest delay before a hedge.
    pub least_wait_ms: u64,
    /// Highest number of hedges as a share of the requests.
    pub most_share: Permille,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            quantile: Permille(950),
            least_wait_ms: 50,
            most_share: Permille(20),
        }
    }
}

/// Decides when to hedge idempotent requests whose first token is late.
///
/// Keeps a running estimate of a quantile of the time to first token, which each answer moves up or
/// down by a small step, and limits the share of hedged requests.
#[derive(Clone, Copy, Debug)]
pub struct HedgePolicy {
    settings: HedgeSettings,
    quantile_ms: f64,
    answers: u64,
    credit_permille: u64,
}

/// Step by which an answer moves the estimate, as a share of the estimate.
const STEP: f64 = 0.02;
/// Number of answers before the estimate is used.
const LEAST_ANSWERS: u64 = 50;
/// Credit that one hedge consumes.
const HEDGE_COST_PERMILLE: u64 = 1_000;

impl HedgePolicy {
    /// Creates a policy without an estimate.
    #[must_use]
    pub const fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            quantile_ms: 0.0,
            answers: 0,
            credit_permille: 0,
        }
    }

    /// Records the time to first token of an answer.
    pub fn answered(&mut self, first_token_ms: u64) {
        let value = first_token_ms as f64;
        self.answers += 1;
        let credit = self.credit_permille + u64::from(self.settings.most_share.0);
        self.credit_permille = credit.min(10 * HEDGE_COST_PERMILLE);
        if self.answers == 1 {
            self.quantile_ms = value;
            return;
        }
        let quantile = f64::from(self.settings.quantile.0) / 1_000.0;
        let step = (self.quantile_ms * STEP).max(0.1);
        self.quantile_ms += if value > self.quantile_ms {
            step * quantile
        } else {
            -step * (1.0 - quantile)
        };
    }

    /// Returns the delay after dispatch at which a hedge may be sent, or [`None`] if none is allowed.
    #[must_use]
    pub fn wait_ms(&self, idempotent: bool) -> Option<u64> {
        let known = self.answers >= LEAST_ANSWERS;
        let allowed = self.settings.enabled && idempotent && known;
        allowed.then(|| (self.quantile_ms.ceil() as u64).max(self.settings.least_wait_ms))
    }

    /// Takes credit for one hedge of a request that has no token after `waited_ms`.
    ///
    /// Returns whether the hedge may be sent.
    pub fn take(&mut self, idempotent: bool, waited_ms: u64) -> bool {
        let due = self
            .wait_ms(idempotent)
            .is_some_and(|wait_ms| waited_ms >= wait_ms);
        let Some(left) = self.credit_permille.checked_sub(HEDGE_COST_PERMILLE) else {
            return false;
        };
        if due {
            self.credit_permille = left;
        }
        due
    }
}
