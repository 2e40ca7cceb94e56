//! Detection of silent connections, as distinct from slow targets.

/// Settings of a [`ProgressWatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressWatchSettings {
    /// Time without progress after which a probe is due.
    pub quiet_ms: u64,
    /// Time within which a probe must be answered.
    pub probe_timeout_ms: u64,
    /// Number of consecutive unanswered probes after which the link counts as silent.
    pub silent_probes: u32,
    /// Time that a token may be in transit. If the target is ahead of what arrived, the link counts as
    /// silent only after nothing arrived for this long.
    pub ahead_grace_ms: u64,
    /// Longest time between probes of a link that answers probes but makes no progress.
    pub most_quiet_ms: u64,
}

impl Default for ProgressWatchSettings {
    fn default() -> Self {
        Self {
            quiet_ms: 1_000,
            probe_timeout_ms: 750,
            silent_probes: 2,
            ahead_grace_ms: 500,
            most_quiet_ms: 4_000,
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
    /// The target reported over another connection that it has sent nothing beyond what arrived. It is
    /// slow.
    TargetNotAhead,
    /// The target reported over another connection that it has sent tokens that did not arrive. The
    /// link lost them.
    TargetAhead,
}

/// Monitors one connection with a request in flight.
///
/// Time without progress alone does not make a link silent. It takes unanswered probes, or a target
/// that is ahead of what the link delivered. A link whose target is slow but answers probes stays open
/// without a time limit.
///
/// ```
/// use toucan_router::{LinkState, ProbeAnswer, ProgressWatch, ProgressWatchSettings};
///
/// let mut watch = ProgressWatch::new(ProgressWatchSettings::default());
/// watch.request_sent(0);
/// assert!(watch.wants_probe(1_000));
/// watch.probe_sent(1_000);
/// watch.probe_answered(ProbeAnswer::TargetNotAhead, 1_002);
/// assert_eq!(watch.state(1_500), LinkState::Healthy);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ProgressWatch {
    settings: ProgressWatchSettings,
    busy: bool,
    /// Time of the last progress or answered probe.
    seen_ms: u64,
    quiet_ms: u64,
    probe_sent_ms: Option<u64>,
    unanswered: u32,
    /// Time since which the target is known to be ahead of what arrived.
    ahead_since_ms: Option<u64>,
}

impl ProgressWatch {
    /// Creates a monitor of an idle connection.
    #[must_use]
    pub const fn new(settings: ProgressWatchSettings) -> Self {
        Self {
            quiet_ms: settings.quiet_ms,
            settings,
            busy: false,
            seen_ms: 0,
            probe_sent_ms: None,
            unanswered: 0,
            ahead_since_ms: None,
        }
    }

    /// Records that a request was written.
    pub fn request_sent(&mut self, now_ms: u64) {
        self.busy = true;
        self.heard(now_ms);
    }

    /// Records that bytes of the answer arrived.
    pub fn progress(&mut self, now_ms: u64) {
        self.heard(now_ms);
    }

    /// Records that the answer is complete.
    pub fn request_ended(&mut self, now_ms: u64) {
        self.busy = false;
        self.heard(now_ms);
    }

    /// Returns whether a probe should be sent now.
    #[must_use]
    pub fn wants_probe(&self, now_ms: u64) -> bool {
        if !self.busy || self.ahead_since_ms.is_some() {
            return false;
        }
        match self.probe_sent_ms {
            Some(sent_ms) => {
                self.timed_out(sent_ms, now_ms) && self.unanswered + 1 < self.settings.silent_probes
            }
            None => now_ms.saturating_sub(self.seen_ms) >= self.quiet_ms,
        }
    }

    /// Records that a probe was sent.
    pub fn probe_sent(&mut self, now_ms: u64) {
        if let Some(sent_ms) = self.probe_sent_ms
            && self.timed_out(sent_ms, now_ms)
        {
            self.unanswered += 1;
        }
        self.probe_sent_ms = Some(now_ms);
    }

    /// Records the answer to a probe.
    pub fn probe_answered(&mut self, answer: ProbeAnswer, now_ms: u64) {
        if answer == ProbeAnswer::TargetAhead {
            // Ignore an outdated answer: progress since the probe was sent has cleared the probe.
            if self.probe_sent_ms.is_some() {
                self.ahead_since_ms = Some(now_ms);
            }
            return;
        }
        self.seen_ms = now_ms;
        self.probe_sent_ms = None;
        self.unanswered = 0;
        self.quiet_ms = (self.quiet_ms * 2).min(self.settings.most_quiet_ms);
    }

    /// Returns the state of the connection.
    #[must_use]
    pub fn state(&self, now_ms: u64) -> LinkState {
        if !self.busy {
            return LinkState::Healthy;
        }
        let unanswered = match self.probe_sent_ms {
            Some(sent_ms) if self.timed_out(sent_ms, now_ms) => self.unanswered + 1,
            _ => self.unanswered,
        };
        let is_behind = self.ahead_since_ms.is_some_and(|since_ms| {
            now_ms.saturating_sub(since_ms) >= self.settings.ahead_grace_ms
        });
        if is_behind || unanswered >= self.settings.silent_probes {
            return LinkState::Silent;
        }
        if now_ms.saturating_sub(self.seen_ms) >= self.quiet_ms {
            return LinkState::Suspect;
        }
        LinkState::Healthy
    }

    /// Returns the next time at which the state changes or a probe becomes due if nothing is recorded
    /// until then, or [`None`] if the connection is idle.
    #[must_use]
    pub fn next_check_ms(&self) -> Option<u64> {
        if !self.busy {
            return None;
        }
        Some(match (self.ahead_since_ms, self.probe_sent_ms) {
            (Some(since_ms), _) => since_ms + self.settings.ahead_grace_ms,
            (None, Some(sent_ms)) => sent_ms + self.settings.probe_timeout_ms,
            (None, None) => self.seen_ms + self.quiet_ms,
        })
    }

    fn heard(&mut self, now_ms: u64) {
        self.seen_ms = now_ms;
        self.quiet_ms = self.settings.quiet_ms;
        self.probe_sent_ms = None;
        self.unanswered = 0;
        self.ahead_since_ms = None;
    }

    const fn timed_out(&self, sent_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(sent_ms) >= self.settings.probe_timeout_ms
    }
}
