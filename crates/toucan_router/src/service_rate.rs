//! Observed service rate of a backlogged queue.

/// Exponentially decayed average of the cost served per millisecond of backlog.
///
/// Without a backlog the dispatch rate shows the demand, not the capacity. Time without a backlog
/// is therefore not counted, and earlier observations decay during it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRate {
    window_ms: u64,
    cost: f64,
    busy_ms: f64,
    last_ms: Option<u64>,
}

/// Shortest busy time, after decay, for which a rate is reported.
const MIN_BUSY_MS: f64 = 300.0;

impl ServiceRate {
    /// Creates an empty average with the decay time `window_ms`.
    #[must_use]
    pub const fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            cost: 0.0,
            busy_ms: 0.0,
            last_ms: None,
        }
    }

    /// Accounts for the time since the last call, which counts as busy if `backlogged`.
    pub fn advance(&mut self, now_ms: u64, backlogged: bool) {
        let Some(last_ms) = self.last_ms.replace(now_ms) else {
            return;
        };
        let passed_ms = now_ms.saturating_sub(last_ms) as f64;
        if passed_ms <= 0.0 {
            return;
        }
        let decay = (-passed_ms / self.window_ms.max(1) as f64).exp();
        self.cost *= decay;
        self.busy_ms *= decay;
        if backlogged {
            self.busy_ms += passed_ms;
        }
    }

    /// Records served cost.
    pub fn record_served(&mut self, cost: u64) {
        self.cost += cost as f64;
    }

    /// Returns the cost served per millisecond of backlog, or [`None`] if too little was observed.
    #[must_use]
    pub fn per_ms(&self) -> Option<f64> {
        (self.busy_ms >= MIN_BUSY_MS).then(|| self.cost / self.busy_ms)
    }

    /// Returns the time to serve `cost`, or [`None`] if the rate is unknown.
    #[must_use]
    pub fn time_ms(&self, cost: u64) -> Option<u64> {
        if cost == 0 {
            return Some(0);
        }
        let per_ms = self.per_ms()?;
        // A rate of 0 gives infinity, which the cast saturates to `u64::MAX`.
        Some((cost as f64 / per_ms) as u64)
    }
}
