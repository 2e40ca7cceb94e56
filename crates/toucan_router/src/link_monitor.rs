//! Detection of silent connections, as distinct from slow targets.

/// Settings of a [`LinkMonitor`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkMonitorSettings {
    /// Time without progress after which a probe is due.
    pub probe_after_ms: u64,
    /// Time within which a probe must be answered.
    pub probe_timeout_ms: u64,
    /// Number of consecutive unanswered probes after which the link counts as silent.
    pub probes_until_silent: u32,
    /// Time that a token may be in transit. If the target is ahead of what arrived, the link counts
    /// as silent only once nothing has arrived for this long.
    pub ahead_grace_ms: u64,
    /// Longest time between probes of a link that answers probes but makes no progress.
    pub max_probe_interval_ms: u64,
}

impl Default for LinkMonitorSettings {
    fn default() -> Self {
        Self {
            probe_after_ms: 1_000,
            probe_timeout_ms: 750,
            probes_until_silent: 2,
            ahead_grace_ms: 500,
            max_probe_interval_ms: 4_000,
        }
    }
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkState {
    /// Makes progress, answers its probes, or is idle.
    Healthy,
    /// Made no progress for a while. Probes are in flight or due.
    Suspect,
    /// Delivers nothing any more. Close it, then resume the stream or retry the request elsewhere.
    Silent,
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProbeAnswer {
    /// The answer arrived on the monitored connection itself, such as an HTTP/2 ping.
    LinkAlive,
    /// The target reported over another connection that it has sent nothing beyond what arrived. It
    /// is slow.
    TargetNotAhead,
    /// The target reported over another connection that it has sent tokens that did not arrive. The
    /// link lost them.
    TargetAhead,
}

/// Monitors one connection with a request in flight.
///
/// Time without progress alone does not make a link silent. It takes unanswered probes, or a target
/// that is ahead of what the link delivered. A link whose target is slow but answers probes stays
/// open without a time limit.
///
/// ```
/// use toucan_router::{LinkMonitor, LinkMonitorSettings, LinkState, ProbeAnswer};
///
/// let mut monitor = LinkMonitor::new(LinkMonitorSettings::default());
/// monitor.record_request(0);
/// assert!(monitor.is_probe_due(1_000));
/// monitor.record_probe(1_000);
/// monitor.record_probe_answer(ProbeAnswer::TargetNotAhead, 1_002);
/// assert_eq!(monitor.state(1_500), LinkState::Healthy);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LinkMonitor {
    settings: LinkMonitorSettings,
    busy: bool,
    /// Time of the last progress or answered probe.
    last_activity_ms: u64,
    probe_interval_ms: u64,
    probe_sent_ms: Option<u64>,
    unanswered_probes: u32,
    /// Time since which the target is known to be ahead of what arrived.
    ahead_since_ms: Option<u64>,
}

impl LinkMonitor {
    /// Creates a monitor of an idle connection.
    #[must_use]
    pub const fn new(settings: LinkMonitorSettings) -> Self {
        Self {
            probe_interval_ms: settings.probe_after_ms,
            settings,
            busy: false,
            last_activity_ms: 0,
            probe_sent_ms: None,
            unanswered_probes: 0,
            ahead_since_ms: None,
        }
    }

    /// Records that a request was written.
    pub fn record_request(&mut self, now_ms: u64) {
        self.busy = true;
        self.record_activity(now_ms);
    }

    /// Records that bytes of the answer arrived.
    pub fn record_progress(&mut self, now_ms: u64) {
        self.record_activity(now_ms);
    }

    /// Records that the answer is complete.
    pub fn record_response_end(&mut self, now_ms: u64) {
        self.busy = false;
        self.record_activity(now_ms);
    }

    /// Returns whether a probe should be sent now.
    #[must_use]
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        if !self.busy || self.ahead_since_ms.is_some() {
            return false;
        }
        match self.probe_sent_ms {
            Some(sent_ms) => {
                self.has_timed_out(sent_ms, now_ms)
                    && self.unanswered_probes + 1 < self.settings.probes_until_silent
            }
            None => now_ms.saturating_sub(self.last_activity_ms) >= self.probe_interval_ms,
        }
    }

    /// Records that a probe was sent.
    pub fn record_probe(&mut self, now_ms: u64) {
        if let Some(sent_ms) = self.probe_sent_ms
            && self.has_timed_out(sent_ms, now_ms)
        {
            self.unanswered_probes += 1;
        }
        self.probe_sent_ms = Some(now_ms);
    }

    /// Records the answer to a probe.
    pub fn record_probe_answer(&mut self, answer: ProbeAnswer, now_ms: u64) {
        if answer == ProbeAnswer::TargetAhead {
            // Without an outstanding probe the answer is outdated: progress has cleared the probe.
            if self.probe_sent_ms.is_some() {
                self.ahead_since_ms = Some(now_ms);
            }
            return;
        }
        self.last_activity_ms = now_ms;
        self.probe_sent_ms = None;
        self.unanswered_probes = 0;
        self.probe_interval_ms =
            (self.probe_interval_ms * 2).min(self.settings.max_probe_interval_ms);
    }

    /// Returns the state of the connection.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> LinkState {
        if !self.busy {
            return LinkState::Healthy;
        }
        let unanswered_probes = match self.probe_sent_ms {
            Some(sent_ms) if self.has_timed_out(sent_ms, now_ms) => self.unanswered_probes + 1,
            _ => self.unanswered_probes,
        };
        let is_behind = self.ahead_since_ms.is_some_and(|since_ms| {
            now_ms.saturating_sub(since_ms) >= self.settings.ahead_grace_ms
        });
        if is_behind || unanswered_probes >= self.settings.probes_until_silent {
            return LinkState::Silent;
        }
        if now_ms.saturating_sub(self.last_activity_ms) >= self.probe_interval_ms {
            return LinkState::Suspect;
        }
        LinkState::Healthy
    }

    /// Returns the next time at which the state changes or a probe becomes due unless something is
    /// recorded before, or [`None`] if the connection is idle.
    #[must_use]
    pub fn next_check_ms(&self) -> Option<u64> {
        if !self.busy {
            return None;
        }
        Some(match (self.ahead_since_ms, self.probe_sent_ms) {
            (Some(since_ms), _) => since_ms + self.settings.ahead_grace_ms,
            (None, Some(sent_ms)) => sent_ms + self.settings.probe_timeout_ms,
            (None, None) => self.last_activity_ms + self.probe_interval_ms,
        })
    }

    fn record_activity(&mut self, now_ms: u64) {
        self.last_activity_ms = now_ms;
        self.probe_interval_ms = self.settings.probe_after_ms;
        self.probe_sent_ms = None;
        self.unanswered_probes = 0;
        self.ahead_since_ms = None;
    }

    const fn has_timed_out(&self, sent_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(sent_ms) >= self.settings.probe_timeout_ms
    }
}
