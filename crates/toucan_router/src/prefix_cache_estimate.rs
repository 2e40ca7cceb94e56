//! Confidence in what is known of one target's prefix cache.

use toucan_types::Permille;

/// Settings of a [`PrefixCacheEstimate`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixCacheEstimateSettings {
    /// Initial retention time of a block, until responses correct it.
    pub initial_retention_ms: u64,
    /// Minimum retention time of a block.
    pub min_retention_ms: u64,
    /// Maximum retention time of a block.
    pub max_retention_ms: u64,
    /// Confidence in blocks observed before a gap in the cache events.
    pub gap_confidence: Permille,
    /// Maximum delay of cache events. A removal does not apply to a block that this node used
    /// within this time, because the removal may be older than the use.
    pub event_lag_ms: u64,
}

impl Default for PrefixCacheEstimateSettings {
    fn default() -> Self {
        Self {
            initial_retention_ms: 600_000,
            min_retention_ms: 5_000,
            max_retention_ms: 3_600_000,
            gap_confidence: Permille(700),
            event_lag_ms: 1_000,
        }
    }
}

/// Confidence that blocks observed at one target are still cached there.
///
/// Confidence falls with the time since a block was last observed, relative to a retention time
/// that is adjusted by the engine's responses, and with a gap in the sequence numbers of the cache
/// events.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixCacheEstimate {
    settings: PrefixCacheEstimateSettings,
    last_sequence: Option<u64>,
    cleared_at_ms: Option<u64>,
    gap_at_ms: u64,
    gap_confidence_permille: u32,
    retention_ms: u64,
    gaps: u64,
}

const FULL_CONFIDENCE_PERMILLE: u32 = 1_000;

impl PrefixCacheEstimate {
    /// Creates an estimate before any event.
    #[must_use]
    pub const fn new(settings: PrefixCacheEstimateSettings) -> Self {
        Self {
            retention_ms: settings.initial_retention_ms,
            settings,
            last_sequence: None,
            cleared_at_ms: None,
            gap_at_ms: 0,
            gap_confidence_permille: FULL_CONFIDENCE_PERMILLE,
            gaps: 0,
        }
    }

    /// Records the sequence number of an event; returns `false` if the event is old and must not
    /// be applied.
    ///
    /// A skipped sequence number lowers the confidence in everything observed before.
    pub fn observe_sequence(&mut self, sequence: u64, now_ms: u64) -> bool {
        let Some(last) = self.last_sequence else {
            self.last_sequence = Some(sequence);
            return true;
        };
        if sequence <= last {
            return false;
        }
        self.last_sequence = Some(sequence);
        if sequence > last + 1 {
            self.record_gap(now_ms);
        }
        true
    }

    /// Records that the engine restarted: its sequence numbers start over and its cache is empty.
    pub fn reset(&mut self, now_ms: u64) {
        self.last_sequence = None;
        self.clear(now_ms);
    }

    /// Records that the engine evicted all blocks.
    pub fn clear(&mut self, now_ms: u64) {
        self.cleared_at_ms = Some(now_ms);
    }

    /// Returns the sequence number of the last event, after which the next page starts.
    #[must_use]
    pub const fn last_sequence(&self) -> Option<u64> {
        self.last_sequence
    }

    /// Returns the number of gaps so far.
    #[must_use]
    pub const fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns the estimated retention time of a block.
    #[must_use]
    pub const fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Returns the probability that a block last observed at `seen_ms` is still cached.
    #[must_use]
    pub fn confidence(&self, seen_ms: u64, now_ms: u64) -> Permille {
        if self
            .cleared_at_ms
            .is_some_and(|cleared_ms| seen_ms <= cleared_ms)
        {
            return Permille(0);
        }
        let age_ms = now_ms.saturating_sub(seen_ms);
        let left_ms = self.retention_ms.saturating_sub(age_ms / 2);
        let by_age = left_ms.min(self.retention_ms) * u64::from(FULL_CONFIDENCE_PERMILLE)
            / self.retention_ms.max(1);
        let by_gap = if self.gap_at_ms > 0 && seen_ms <= self.gap_at_ms {
            u64::from(self.gap_confidence_permille)
        } else {
            u64::from(FULL_CONFIDENCE_PERMILLE)
        };
        Permille(u32::try_from(by_age * by_gap / 1_000).unwrap_or(FULL_CONFIDENCE_PERMILLE))
    }

    /// Returns whether the use of a block at `seen_ms` may be later than a removal received now.
    #[must_use]
    pub const fn may_postdate_removal(&self, seen_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(seen_ms) <= self.settings.event_lag_ms
    }

    /// Records that a block last observed `age_ms` ago was still cached.
    pub fn record_hit(&mut self, age_ms: u64) {
        let sample_ms = age_ms.saturating_mul(2).min(self.settings.max_retention_ms);
        if sample_ms > self.retention_ms {
            self.retention_ms += (sample_ms - self.retention_ms) / 4;
        }
    }

    /// Records that a block last observed `age_ms` ago was evicted.
    pub fn record_miss(&mut self, age_ms: u64) {
        let sample_ms = age_ms.max(self.settings.min_retention_ms);
        if sample_ms < self.retention_ms {
            self.retention_ms -= (self.retention_ms - sample_ms) / 4;
        }
    }

    fn record_gap(&mut self, now_ms: u64) {
        self.gaps += 1;
        // Blocks observed before several gaps are only discounted once. A single factor for all
        // blocks is coarse, but needs no state per block.
        self.gap_confidence_permille = self.settings.gap_confidence.0;
        self.gap_at_ms = now_ms;
    }
}
