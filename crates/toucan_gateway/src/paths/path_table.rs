//! Decides whether a target is connected to directly or by way of another gateway.

use toucan_types::{DataCentreName, FastHashMap, ServiceName, TargetName};

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
    /// The targets of one service in one data centre.
    Group,
}

impl Scope {
    const ALL: [Self; 4] = [
        Self::Everything,
        Self::Service,
        Self::DataCentre,
        Self::Group,
    ];
}

/// A scope that this VM is cut off from.
///
/// It holds targets of one service, or of any if there is none, in one data centre, or in any.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Cut {
    service: Option<ServiceName>,
    data_centre: Option<DataCentreName>,
}

impl Cut {
    /// Returns the scope of a kind that holds a target.
    fn new(scope: Scope, member: &PathEvidence) -> Self {
        let of_service = matches!(scope, Scope::Service | Scope::Group);
        let of_data_centre = matches!(scope, Scope::DataCentre | Scope::Group);
        Self {
            service: of_service.then(|| member.service.clone()),
            data_centre: of_data_centre.then(|| member.data_centre.clone()),
        }
    }

    fn has(&self, target: &PathEvidence) -> bool {
        let is_of_service = self.service.as_ref().is_none_or(|s| *s == target.service);
        let data_centre = self.data_centre.as_ref();
        is_of_service && data_centre.is_none_or(|d| *d == target.data_centre)
    }
}

/// Evidence of a scope, since the last connection to any of its targets.
#[derive(Clone, Copy, Debug, Default)]
struct ScopeEvidence {
    /// Targets that could not be connected to.
    failing: usize,
    /// How many of them were tried lately.
    tried_lately: usize,
    /// How many of these another gateway reaches.
    reached_by_others: usize,
    /// Whether they are of as many services and data centres as the scope is, so that no narrower scope has them
    /// all.
    is_widespread: bool,
}

impl ScopeEvidence {
    const fn is_suspected(self) -> bool {
        self.failing >= MIN_FAILING_TARGETS && self.tried_lately > 0 && self.is_widespread
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
                // The others of the cut may be reached again too.
                self.probed_at_ms = 0;
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
        if fails_alone && evidence.is_reached_by_others(now_ms) {
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

    /// Returns whether any target is reached by way of another gateway.
    #[must_use]
    pub fn is_cut(&self, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(EVIDENCE_MS);
        self.has_failures(now_ms)
            && self.targets.values().any(|evidence| {
                evidence.fails_since(since_ms)
                    && evidence.is_reached_by_others(now_ms)
                    && (evidence.failures >= MIN_FAILURES
                        || Scope::ALL
                            .iter()
                            .any(|scope| self.scope_evidence(*scope, evidence, now_ms).is_cut()))
            })
    }

    /// Returns the targets to which connects from this VM are to be tried now, to find out how far a cut goes and
    /// whether it is over.
    ///
    /// One of them is the target that another gateway has reached last, which is most probably alive. The other one
    /// is the one that was not tried for longest, since a cut may be narrower than it seems, or end for some targets
    /// alone.
    #[must_use]
    pub fn next_probes(&mut self, now_ms: u64) -> Vec<TargetName> {
        if now_ms < self.probed_at_ms + PROBE_INTERVAL_MS || !self.is_cut(now_ms) {
            return Vec::new();
        }
        self.probed_at_ms = now_ms;
        let cuts = self.cuts(now_ms);
        let reached = self
            .targets
            .iter()
            .filter(|(_name, evidence)| evidence.is_reached_by_others(now_ms));
        let latest = reached.max_by_key(|(_name, evidence)| evidence.tunnelled_at_ms());
        let tunnelled = self.targets.iter().filter(|(_name, evidence)| {
            evidence.is_reached_by_others(now_ms) || cuts.iter().any(|cut| cut.has(evidence))
        });
        let longest = tunnelled.min_by_key(|(_name, evidence)| evidence.tried_at_ms());
        let mut names: Vec<TargetName> = [latest, longest]
            .into_iter()
            .flatten()
            .map(|(name, _evidence)| name.clone())
            .collect();
        names.dedup();
        for name in &names {
            if let Some(evidence) = self.targets.get_mut(name) {
                evidence.probed_at_ms = now_ms;
            }
        }
        names
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

    /// Sums up what is known of the targets in the scope of this kind that holds `member`.
    fn scope_evidence(&self, scope: Scope, member: &PathEvidence, now_ms: u64) -> ScopeEvidence {
        let scope = Cut::new(scope, member);
        let in_scope = || self.targets.values().filter(|other| scope.has(other));
        let connected_ms = in_scope().filter_map(|other| other.connected_at_ms).max();
        let after_connection_ms = connected_ms.map_or(0, |at_ms| at_ms + 1);
        let lately_ms = now_ms.saturating_sub(EVIDENCE_MS);
        let mut sum = ScopeEvidence::default();
        let failing = || in_scope().filter(|other| other.fails_since(after_connection_ms));
        for other in failing() {
            let is_tried_lately = other.fails_since(lately_ms);
            let is_reached = other.is_reached_by_others(now_ms);
            sum.failing += 1;
            sum.tried_lately += usize::from(is_tried_lately);
            sum.reached_by_others += usize::from(is_tried_lately && is_reached);
        }
        sum.is_widespread = are_as_widespread(failing(), in_scope());
        sum
    }

    /// Forgets the failed connects to all targets in the cuts that a connection to `name` ends, so that they are
    /// connected to directly at once. Returns those targets.
    ///
    /// A connection to a target that could not be connected to before shows that the cut is over. One to another
    /// target shows only that the cut is narrower than it seemed.
    fn end_cuts(&mut self, name: &TargetName, now_ms: u64) -> Vec<TargetName> {
        let connected = self.targets.get(name).cloned();
        let Some(connected) = connected.filter(|evidence| evidence.failures > 0) else {
            return Vec::new();
        };
        let mut ended = self.cuts(now_ms);
        ended.retain(|cut| cut.has(&connected));
        let mut names = Vec::new();
        for (name, other) in &mut self.targets {
            if other.failures > 0 && ended.iter().any(|cut| cut.has(other)) {
                other.clear();
                names.push(name.clone());
            }
        }
        names
    }

    /// Returns the scopes that this VM is cut off from.
    fn cuts(&self, now_ms: u64) -> Vec<Cut> {
        let mut cuts = Vec::new();
        let targets = self.targets.values();
        for evidence in targets.filter(|evidence| evidence.is_reached_by_others(now_ms)) {
            for scope in Scope::ALL {
                let cut = Cut::new(scope, evidence);
                if !cuts.contains(&cut) && self.scope_evidence(scope, evidence, now_ms).is_cut() {
                    cuts.push(cut);
                }
            }
        }
        cuts
    }
}

/// Returns whether `some` of the targets are of several services if `all` are, and in several data centres if `all`
/// are.
fn are_as_widespread<'a>(
    some: impl Iterator<Item = &'a PathEvidence> + Clone,
    all: impl Iterator<Item = &'a PathEvidence> + Clone,
) -> bool {
    let have_one_service = !differ_in(all.clone(), |target| &target.service);
    let have_one_data_centre = !differ_in(all, |target| &target.data_centre);
    (have_one_service || differ_in(some.clone(), |target| &target.service))
        && (have_one_data_centre || differ_in(some, |target| &target.data_centre))
}

/// Returns whether targets differ in a property.
fn differ_in<'a, T: PartialEq + 'a>(
    mut targets: impl Iterator<Item = &'a PathEvidence>,
    property: impl Fn(&'a PathEvidence) -> &'a T,
) -> bool {
    targets
        .next()
        .is_some_and(|first| targets.any(|other| property(other) != property(first)))
}
