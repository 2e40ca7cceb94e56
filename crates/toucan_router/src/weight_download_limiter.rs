//! This node's share of the weight store's rate.

/// Settings of a [`WeightDownloadLimiter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightDownloadSettings {
    /// Downloads a minute that the store allows to all together.
    pub downloads_per_minute: u32,
}

impl Default for WeightDownloadSettings {
    fn default() -> Self {
        Self {
            downloads_per_minute: 30,
        }
    }
}

/// Smallest and largest factor on the even share.
const LEAST_FACTOR: f64 = 1.0 / 16.0;
const MOST_FACTOR: f64 = 8.0;
/// Growth of the factor per download that the store allowed.
const GROWTH: f64 = 0.1;
/// Most downloads saved up.
const MOST_SAVED: f64 = 1.0;

/// Rate of downloads that this node may start, found without a coordinator.
///
/// Starts from an even share among the nodes that give orders. Each allowed download raises it a
/// little, as others may not use their share; each refusal halves it. Nodes that compete so converge
/// on equal shares of what the store allows.
#[derive(Clone, Copy, Debug)]
pub struct WeightDownloadLimiter {
    settings: WeightDownloadSettings,
    deciders: u32,
    factor: f64,
    saved: f64,
    filled_at_ms: u64,
    not_before_ms: u64,
}

impl WeightDownloadLimiter {
    /// An even share among `deciders` nodes.
    #[must_use]
    pub fn new(settings: WeightDownloadSettings, deciders: u32, now_ms: u64) -> Self {
        Self {
            settings,
            deciders: deciders.max(1),
            factor: 1.0,
            saved: MOST_SAVED,
            filled_at_ms: now_ms,
            not_before_ms: 0,
        }
    }

    /// Tells how many nodes give orders: at most one per data centre and service.
    pub fn set_deciders(&mut self, deciders: u32) {
        self.deciders = deciders.max(1);
    }

    /// Takes the right to start one download; false if it has to wait.
    pub fn try_acquire(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        if now_ms < self.not_before_ms || self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// The store allowed a download.
    pub fn record_allowed(&mut self) {
        self.factor = (self.factor + GROWTH).min(MOST_FACTOR);
    }

    /// The store refused a download over its rate.
    pub fn record_refused(&mut self, retry_after_ms: u64, now_ms: u64) {
        self.fill(now_ms);
        self.factor = (self.factor / 2.0).max(LEAST_FACTOR);
        self.saved = self.saved.min(0.0);
        self.not_before_ms = self
            .not_before_ms
            .max(now_ms.saturating_add(retry_after_ms));
    }

    /// Downloads a minute that this node may start at present.
    #[must_use]
    pub fn downloads_per_minute(&self) -> f64 {
        f64::from(self.settings.downloads_per_minute) / f64::from(self.deciders) * self.factor
    }

    fn fill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_at_ms) as f64;
        self.filled_at_ms = self.filled_at_ms.max(now_ms);
        let earned = passed_ms * self.downloads_per_minute() / 60_000.0;
        self.saved = (self.saved + earned).min(MOST_SAVED);
    }
}
