//! Decides whether a target is connected to directly or by way of another gateway.

use toucan_types::{FastHashMap, TargetName};

use crate::config::TargetEntry;

use super::{DirectResult, TunnelResult, path_evidence::PathEvidence};

/// Number of targets that cannot be connected to, without a connection to another one in between, from which
/// this VM may be cut off.
const MIN_FAILING_TARGETS: usize = 2;
/// Consecutive failed connects to one target from which this VM may be cut off from it alone.
const MIN_FAILURES: u32 = 2;
/// Age up to which a connect is evidence.
const EVIDENCE_MS: u64 = 4_000;
/// Interval between connects that find out whether a cut is over.
const PROBE_INTERVAL_MS: u64 = 400;
/// Number of targets above which those without recent evidence are removed.
const MAX_TARGETS: usize = 2_048;

/// Way to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Connect from this VM.
    Direct,
    /// Connect from this VM, and by way of another gateway if that fails.
    DirectOrTunnel,
    /// Connect by way of another gateway.
    Tunnel,
}

/// What a cut may concern.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    Everything,
    Service,
    DataCentre,
}

impl Scope {
    const ALL: [Self; 3] = [Self::Everything, Self::Service, Self::DataCentre];

    /// Returns whether two targets are in the same scope of this kind.
    fn has_both(self, one: &PathEvidence, other: &PathEvidence) -> bool {
        match self {
            Self::Everything => true,
            Self::Service => one.service == other.service,
            Self::DataCentre => one.data_centre == other.data_centre,
        }
    }
}

/// Evidence of a scope.
#[derive(Clone, Copy, Debug, Default)]
struct ScopeEvidence {
    /// Targets that could not be connected to since the last connection to any of the scope.
    failing: usize,
    /// How many of them another gateway reaches.
    reached_by_others: usize,
}

impl ScopeEvidence {
    const fn is_suspected(self) -> bool {
        self.failing >= MIN_FAILING_TARGETS
    }

    /// A target that another gateway reaches shows that the targets are alive.
    const fn is_cut(self) -> bool {
        self.is_suspected() && self.reached_by_others > 0
    }
}

/// Connects to targets, and whether they show that this VM is cut off from some or all of them.
///
/// Failed connects alone do not tell a cut link from targets that have ended: both look the same from here. What
/// tells them apart is a gateway that reaches a target that this one does not.
#[derive(Debug, Default)]
pub struct PathTable {
    targets: FastHashMap<TargetName, PathEvidence>,
    /// When a connect from this VM last failed.
    failed_at_ms: Option<u64>,
    probed_at_ms: u64,
}

impl PathTable {
    /// Records a connect from this VM; returns the targets of the cut that it ends.
    pub fn record_direct(
        &mut self,
        target: &TargetEntry,
        result: DirectResult,
        now_ms: u64,
    ) -> Vec<TargetName> {
        let ended = match result {
            DirectResult::Connected => self.end_cuts(&target.name, now_ms),
            DirectResult::Failed => Vec::new(),
        };
        let evidence = self.evidence(target, now_ms);
        match result {
            DirectResult::Connected => {
                evidence.clear();
                evidence.connected_at_ms = Some(now_ms);
            }
            DirectResult::Failed => {
                evidence.record_failure(now_ms);
                self.failed_at_ms = Some(now_ms);
            }
        }
        ended
    }

    /// Records a connect by way of another gateway; returns the targets that failed because of a cut, if it shows
    /// one that was not known.
    pub fn record_tunnelled(
        &mut self,
        target: &TargetEntry,
        result: TunnelResult,
        now_ms: u64,
    ) -> Vec<TargetName> {
        let was_cut = self.is_cut(now_ms);
        self.evidence(target, now_ms).tunnelled = Some((result, now_ms));
        if was_cut || !self.is_cut(now_ms) {
            return Vec::new();
        }
        let since_ms = now_ms.saturating_sub(EVIDENCE_MS);
        let failing = self.targets.iter();
        failing
            .filter(|(_name, evidence)| evidence.fails_since(since_ms))
            .map(|(name, _evidence)| name.clone())
            .collect()
    }

    /// Returns the way to a target.
    #[must_use]
    pub fn path_to(&self, target: &TargetEntry, now_ms: u64) -> Path {
        if !self.has_failures(now_ms) {
            return Path::Direct;
        }
        let unknown = PathEvidence::new(target);
        let evidence = self.targets.get(&target.name).unwrap_or(&unknown);
        let since_ms = now_ms.saturating_sub(EVIDENCE_MS);
        let fails_alone = evidence.failures >= MIN_FAILURES && evidence.fails_since(since_ms);
        if fails_alone && evidence.is_reached_by_others() {
            return Path::Tunnel;
        }
        let scopes = Scope::ALL.map(|scope| self.scope_evidence(scope, evidence, now_ms));
        if scopes.into_iter().any(ScopeEvidence::is_cut) {
            return Path::Tunnel;
        }
        // This VM may just have failed to connect to the target for the first time.
        let is_suspected = scopes.into_iter().any(ScopeEvidence::is_suspected);
        if fails_alone || is_suspected {
            Path::DirectOrTunnel
        } else {
            Path::Direct
        }
    }

    /// Returns whether this VM is cut off from all targets, as far as connects show.
    #[must_use]
    pub fn is_cut_from_all(&self, now_ms: u64) -> bool {
        let mut targets = self.targets.values();
        targets
            .next()
            .is_some_and(|any| self.scope_evidence(Scope::Everything, any, now_ms).is_cut())
    }

    /// Returns whether any target is reached by way of another gateway.
    #[must_use]
    pub fn is_cut(&self, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(EVIDENCE_MS);
        self.has_failures(now_ms)
            && self.targets.values().any(|evidence| {
                evidence.fails_since(since_ms)
                    && evidence.is_reached_by_others()
                    && (evidence.failures >= MIN_FAILURES
                        || Scope::ALL
                            .iter()
                            .any(|scope| self.scope_evidence(*scope, evidence, now_ms).is_cut()))
            })
    }

    /// Returns the target to which a connect from this VM is to be tried now, to find out whether a cut is over.
    #[must_use]
    pub fn next_probe(&mut self, now_ms: u64) -> Option<TargetName> {
        if now_ms < self.probed_at_ms + PROBE_INTERVAL_MS || !self.is_cut(now_ms) {
            return None;
        }
        self.probed_at_ms = now_ms;
        let failing = self.targets.iter_mut();
        let (name, evidence) = failing
            .filter(|(_name, evidence)| evidence.failures > 0)
            .min_by_key(|(name, evidence)| (evidence.probed_at_ms, (*name).clone()))?;
        evidence.probed_at_ms = now_ms;
        Some(name.clone())
    }

    /// Removes the targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.targets.retain(|name, _evidence| is_known(name));
    }

    fn has_failures(&self, now_ms: u64) -> bool {
        self.failed_at_ms
            .is_some_and(|at_ms| now_ms <= at_ms + EVIDENCE_MS)
    }

    fn evidence(&mut self, target: &TargetEntry, now_ms: u64) -> &mut PathEvidence {
        if self.targets.len() >= MAX_TARGETS {
            self.targets
                .retain(|_name, evidence| now_ms <= evidence.latest_ms() + EVIDENCE_MS);
        }
        self.targets
            .entry(target.name.clone())
            .or_insert_with(|| PathEvidence::new(target))
    }

    /// Sums up what is known of the targets in the same scope as `member`.
    fn scope_evidence(&self, scope: Scope, member: &PathEvidence, now_ms: u64) -> ScopeEvidence {
        let in_scope = || {
            self.targets
                .values()
                .filter(|other| scope.has_both(member, other))
        };
        let connected_ms = in_scope().filter_map(|other| other.connected_at_ms).max();
        let after_connection_ms = connected_ms.map_or(0, |at_ms| at_ms + 1);
        let since_ms = now_ms.saturating_sub(EVIDENCE_MS).max(after_connection_ms);
        let mut sum = ScopeEvidence::default();
        for other in in_scope().filter(|other| other.fails_since(since_ms)) {
            sum.failing += 1;
            sum.reached_by_others += usize::from(other.is_reached_by_others());
        }
        sum
    }

    /// Forgets the failed connects to all targets in the cuts that a connection to `name` ends, so that they are
    /// connected to directly at once. Returns those targets.
    fn end_cuts(&mut self, name: &TargetName, now_ms: u64) -> Vec<TargetName> {
        let Some(connected) = self.targets.get(name).cloned() else {
            return Vec::new();
        };
        let ended: Vec<Scope> = Scope::ALL
            .into_iter()
            .filter(|scope| self.scope_evidence(*scope, &connected, now_ms).is_cut())
            .collect();
        let mut names = Vec::new();
        for (name, other) in &mut self.targets {
            if other.failures > 0 && ended.iter().any(|scope| scope.has_both(&connected, other)) {
                other.clear();
                names.push(name.clone());
            }
        }
        names
    }
}
