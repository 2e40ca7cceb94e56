//! What connects to one target have shown.

use toucan_types::{DataCentreName, ServiceName};

use crate::config::TargetEntry;

/// Age up to which a tunnel shows that its target lives.
const TUNNEL_EVIDENCE_MS: u64 = 6_000;

/// Result of a connect from this VM to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectResult {
    /// The connection was established.
    Connected,
    /// It was refused or reset, or nothing came back in time.
    Failed,
}

/// Result of a connect to a target by way of another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelResult {
    /// The other gateway is connected to the target, which is therefore alive.
    Connected,
    /// The other gateway cannot connect to the target either.
    Failed,
}

/// Latest connects to one target.
#[derive(Clone, Debug)]
pub(super) struct PathEvidence {
    pub(super) service: ServiceName,
    pub(super) data_centre: DataCentreName,
    /// Consecutive connects from this VM that failed.
    pub(super) failures: u32,
    /// Time of the first of them.
    pub(super) failing_since_ms: u64,
    /// Time of the last of them.
    pub(super) failed_at_ms: u64,
    pub(super) connected_at_ms: Option<u64>,
    /// Latest connect by way of another gateway, with its time.
    pub(super) tunnelled: Option<(TunnelResult, u64)>,
    /// When a connect from this VM was last tried to find out whether the cut is over.
    pub(super) probed_at_ms: u64,
}

impl PathEvidence {
    pub(super) fn new(target: &TargetEntry) -> Self {
        Self {
            service: target.service.clone(),
            data_centre: target.data_centre.clone(),
            failures: 0,
            failing_since_ms: 0,
            failed_at_ms: 0,
            connected_at_ms: None,
            tunnelled: None,
            probed_at_ms: 0,
        }
    }

    /// Returns whether the latest connect from this VM failed, at or after `since_ms`.
    pub(super) const fn fails_since(&self, since_ms: u64) -> bool {
        self.failures > 0 && self.failed_at_ms >= since_ms
    }

    /// Returns whether another gateway has lately reached the target, which this VM does not.
    pub(super) const fn is_reached_by_others(&self, now_ms: u64) -> bool {
        let Some((TunnelResult::Connected, at_ms)) = self.tunnelled else {
            return false;
        };
        self.failures > 0 && at_ms >= self.failing_since_ms && now_ms <= at_ms + TUNNEL_EVIDENCE_MS
    }

    /// Records a connect from this VM that failed.
    pub(super) const fn record_failure(&mut self, now_ms: u64) {
        if self.failures == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures = self.failures.saturating_add(1);
        self.failed_at_ms = now_ms;
    }

    /// Returns when another gateway last tried to reach the target; 0 if none has.
    pub(super) fn tunnelled_at_ms(&self) -> u64 {
        self.tunnelled.map_or(0, |(_result, at_ms)| at_ms)
    }

    /// Returns when a connect from this VM was last tried; 0 if none was.
    pub(super) fn tried_at_ms(&self) -> u64 {
        let connected_ms = self.connected_at_ms.unwrap_or(0);
        self.failed_at_ms.max(connected_ms).max(self.probed_at_ms)
    }

    /// Returns the time of the latest evidence.
    pub(super) fn latest_ms(&self) -> u64 {
        let connected_ms = self.connected_at_ms.unwrap_or(0);
        self.failed_at_ms
            .max(self.tunnelled_at_ms())
            .max(connected_ms)
    }

    /// Forgets the failed connects, after it was found that the cut is over.
    pub(super) const fn clear(&mut self) {
        self.failures = 0;
        self.tunnelled = None;
    }
}
