//! Rate limiter for downloads from the weight store, without a coordinator.

/// Settings of a [`WeightDownloadLimiter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightDownloadSettings {
    /// Downloads per minute that the store allows to all nodes together.
    pub downloads_per_minute: u32,
}

impl Default for WeightDownloadSettings {
    fn default() -> Self {
        Self {
            downloads_per_minute: 30,
        }
    }
}

/// Bounds of the factor on the even share.
const MIN_FACTOR: f64 = 1.0 / 16.0;
const MAX_FACTOR: f64 = 8.0;
/// Increase of the factor per download that the store allowed.
const FACTOR_INCREASE: f64 = 0.1;
/// Maximum credit in downloads.
const MAX_CREDIT: f64 = 1.0;

/// Rate limiter for the downloads that this node starts, by additive increase and multiplicative
/// decrease.
///
/// Starts with an even share among the nodes that give orders. Each allowed download raises the
/// rate slightly, because other nodes may not use their shares; each refusal halves it. Competing
/// nodes converge to equal shares of the store's limit.
#[derive(Clone, Copy, Debug)]
pub struct WeightDownloadLimiter {
    settings: WeightDownloadSettings,
    deciders: u32,
    factor: f64,
    credit: f64,
    refilled_at_ms: u64,
    not_before_ms: u64,
}

impl WeightDownloadLimiter {
    /// Creates a limiter with an even share among `deciders` nodes.
    #[must_use]
    pub fn new(settings: WeightDownloadSettings, deciders: u32, now_ms: u64) -> Self {
        Self {
            settings,
            deciders: deciders.max(1),
            factor: 1.0,
            credit: MAX_CREDIT,
            refilled_at_ms: now_ms,
            not_before_ms: 0,
        }
    }

    /// Sets the number of nodes that give orders: at most one per data centre and service.
    pub fn set_deciders(&mut self, deciders: u32) {
        self.deciders = deciders.max(1);
    }

    /// Acquires permission for one download; returns `false` if the download has to wait.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if now_ms < self.not_before_ms || self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Records that the store allowed a download.
    pub fn record_allowed(&mut self) {
        self.factor = (self.factor + FACTOR_INCREASE).min(MAX_FACTOR);
    }

    /// Records that the store refused a download over its rate limit.
    pub fn record_refused(&mut self, retry_after_ms: u64, now_ms: u64) {
        self.refill(now_ms);
        self.factor = (self.factor / 2.0).max(MIN_FACTOR);
        self.credit = self.credit.min(0.0);
        self.not_before_ms = self
            .not_before_ms
            .max(now_ms.saturating_add(retry_after_ms));
    }

    /// Returns the downloads per minute that this node may currently start.
    #[must_use]
    pub fn downloads_per_minute(&self) -> f64 {
        f64::from(self.settings.downloads_per_minute) / f64::from(self.deciders) * self.factor
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let added = elapsed_ms * self.downloads_per_minute() / 60_000.0;
        self.credit = (self.credit + added).min(MAX_CREDIT);
    }
}
