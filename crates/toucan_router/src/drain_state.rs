//! Drain state of a target.

/// Source that reports a target as draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DrainSource {
    /// The platform's list of VMs.
    Platform,
    /// The target's own load report.
    Target,
    /// An operator, in the configuration document.
    Operator,
}

/// Drain state of a target, combined from three sources. One source suffices to drain the target.
///
/// The choice of a target reads this state for each request, so the target gets no new requests once
/// the first source reports it as draining. The delay until then is at most that of the slowest
/// source. The node polls each source at least once every [`DRAIN_POLL_MS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainState {
    platform: bool,
    target: bool,
    operator: bool,
    since_ms: Option<u64>,
}

/// Longest time between two polls of a source. New requests stop within 3 s of the report.
pub const DRAIN_POLL_MS: u64 = 1_000;

impl DrainState {
    /// Records the report of a source. Returns whether the target starts or stops draining by it.
    ///
    /// A source withdraws only its own report: a target that no longer reports itself as draining
    /// keeps draining while the platform reports it.
    pub fn observe(&mut self, source: DrainSource, leaving: bool, now_ms: u64) -> bool {
        let before = self.is_draining();
        match source {
            DrainSource::Platform => self.platform = leaving,
            DrainSource::Target => self.target = leaving,
            DrainSource::Operator => self.operator = leaving,
        }
        let after = self.is_draining();
        if before != after {
            self.since_ms = after.then_some(now_ms);
        }
        before != after
    }

    /// Returns whether the target is draining and gets no new requests.
    #[must_use]
    pub const fn is_draining(self) -> bool {
        self.platform || self.target || self.operator
    }

    /// Returns the time at which the target started to drain, or [`None`] if it is not draining.
    #[must_use]
    pub const fn since_ms(self) -> Option<u64> {
        self.since_ms
    }
}
