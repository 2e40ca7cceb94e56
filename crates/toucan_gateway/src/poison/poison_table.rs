//! What this gateway knows of fingerprints that may end targets.

use toucan_types::FastHashMap;

use super::{
    Fingerprint, PoisonVerdict, SuspectCall, TargetEnd, TargetInstance,
    first_ends::FirstEnds,
    suspicion::{SuspectEnd, Suspicion},
};

/// Time since the last end of a target after which a suspicion is forgotten, and an end can no longer
/// be refuted.
const MAX_SUSPICION_AGE_MS: u64 = 600_000;
/// Time after the end of a target from which a registration that it writes shows that it lives. One
/// that it wrote before may still be read until then.
const REFUTABLE_AFTER_MS: u64 = 2_000;
/// Time between two such registrations that show it. A single one may have been delayed.
const REGISTRATION_GAP_MS: u64 = 1_000;
/// Maximum number of fingerprints that were near at several ends or are condemned.
const MAX_FINGERPRINTS: usize = 1_024;

/// Whether a call may be sent, as far as its fingerprints are concerned. A later variant
/// outweighs an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PoisonCheck {
    /// It may be sent.
    Clear,
    /// It may be sent as the only one with a suspected fingerprint.
    Trial,
    /// It has to wait until the result of another call with a suspected fingerprint is known.
    Wait,
    /// It must not be sent again: it may have ended a target.
    Suspected,
    /// It must not be sent: it has a fingerprint that ends targets.
    Condemned {
        /// Time until the fingerprint is tried again, in milliseconds.
        return_ms: u64,
    },
}

/// What an answer that is complete has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoundOutcome {
    /// Fingerprints that were suspected or condemned.
    pub cleared: Vec<Fingerprint>,
    /// Those of them that were condemned.
    pub lifted: Vec<Fingerprint>,
    /// Condemned fingerprints that always came with one of them and now stand alone.
    pub narrowed: Vec<Fingerprint>,
}

/// Suspected and condemned fingerprints.
///
/// A target that ends holds many calls, of which one may have ended it. So a fingerprint is condemned only if
/// several targets ended under it one after the other and no answer was completed on it in between.
/// Fingerprints that always came together are condemned together: a call is refused only if it has all of
/// them, and the first complete answer on one of them leaves the others.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    /// Fingerprints that were near at the ends of several targets, or are condemned.
    pub(super) by_fingerprint: FastHashMap<Fingerprint, Suspicion>,
    /// Fingerprints that were near at the end of one target.
    first_ends: FirstEnds,
    /// When the targets ended that the suspicions rest on.
    ended: FastHashMap<TargetInstance, EndedInstance>,
    /// Spreads what all gateways would do at the same time.
    seed: u64,
}

/// A target that is taken for ended.
#[derive(Clone, Copy, Debug)]
struct EndedInstance {
    ended_at_ms: u64,
    /// When a registration was read that it may have written since.
    registered_at_ms: Option<u64>,
}

impl PoisonTable {
    /// Creates an empty table; `seed` is random for this process.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Records the end of a target, seen here or told by another gateway. Returns the fingerprints that are
    /// condemned by it.
    pub fn record_end(&mut self, end: &TargetEnd, now_ms: u64) -> Vec<Fingerprint> {
        self.forget_old(now_ms);
        self.ended
            .entry(end.instance.clone())
            .or_insert(EndedInstance {
                ended_at_ms: end.ended_at_ms,
                registered_at_ms: None,
            });
        let mut reached = Vec::new();
        for call in &end.suspects {
            self.record_suspect(call, end, &mut reached);
        }
        // The verdict on a whole call may explain the ends of the parts beside it.
        let (calls, parts) = reached.into_iter().partition(Fingerprint::is_call);
        let mut condemned = self.condemn_unexplained(calls, now_ms);
        condemned.extend(self.condemn_unexplained(parts, now_ms));
        self.forget_explained();
        condemned
    }

    /// Condemns those of the fingerprints whose ends no other verdict explains, and returns them.
    fn condemn_unexplained(
        &mut self,
        mut fingerprints: Vec<Fingerprint>,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        fingerprints.retain(|fingerprint| {
            let suspicion = self.by_fingerprint.get(fingerprint);
            suspicion.is_some_and(|suspicion| !self.is_explained(*fingerprint, suspicion))
        });
        for fingerprint in &fingerprints {
            if let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) {
                suspicion.condemn(0, true, now_ms, self.seed);
            }
        }
        fingerprints
    }

    /// Records a call that may have ended a target, and adds the fingerprints to `reached` that may be
    /// condemned by it.
    fn record_suspect(
        &mut self,
        call: &SuspectCall,
        end: &TargetEnd,
        reached: &mut Vec<Fingerprint>,
    ) {
        self.begin_suspicions(call, end);
        for fingerprint in &call.fingerprints {
            let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) else {
                continue;
            };
            let suspect_end = SuspectEnd {
                instance: end.instance.clone(),
                sent_at_ms: call.sent_at_ms,
                ended_at_ms: end.ended_at_ms,
            };
            let is_reached = suspicion.record_end(suspect_end, &call.fingerprints);
            if is_reached {
                reached.push(*fingerprint);
            }
        }
        let by_fingerprint = &self.by_fingerprint;
        let fresh = call.fingerprints.iter().copied();
        let fresh = fresh.filter(|fingerprint| !by_fingerprint.contains_key(fingerprint));
        self.first_ends.record(call, fresh, end);
    }

    /// Begins a suspicion of each fingerprint of a call that was near at the end of one other target, with
    /// that end.
    fn begin_suspicions(&mut self, call: &SuspectCall, end: &TargetEnd) {
        let sights = self.first_ends.earlier_sights(call, end);
        let begun = call.fingerprints.iter().zip(&sights);
        for (fingerprint, sight) in begun.filter_map(|(key, sight)| Some((key, (*sight)?))) {
            let Some(first_end) = self.first_ends.end_of(sight) else {
                continue;
            };
            // One that is suspected already may have been in the earlier call too.
            let companions: Vec<Fingerprint> = call
                .fingerprints
                .iter()
                .zip(&sights)
                .filter(|(other, other_sight)| {
                    other_sight.map_or_else(
                        || self.by_fingerprint.contains_key(other),
                        |other_sight| other_sight.is_in_same_call(sight),
                    )
                })
                .map(|(other, _sight)| *other)
                .collect();
            let mut suspicion = Suspicion::new(companions.clone());
            suspicion.record_end(first_end, &companions);
            self.insert(*fingerprint, suspicion);
        }
        for fingerprint in &call.fingerprints {
            if self.by_fingerprint.contains_key(fingerprint) {
                self.first_ends.remove(fingerprint);
            }
        }
    }

    /// Adds a suspicion, in place of the one with the least evidence if there are too many.
    fn insert(&mut self, fingerprint: Fingerprint, suspicion: Suspicion) {
        if !self.by_fingerprint.contains_key(&fingerprint)
            && self.by_fingerprint.len() >= MAX_FINGERPRINTS
        {
            self.evict();
        }
        self.by_fingerprint.insert(fingerprint, suspicion);
    }

    /// Records that an answer to a call with these fingerprints is complete, so that none of them ends
    /// targets.
    pub fn record_sound(&mut self, fingerprints: &[Fingerprint]) -> SoundOutcome {
        let mut sound = SoundOutcome::default();
        if self.is_empty() {
            return sound;
        }
        for fingerprint in fingerprints {
            if self.first_ends.remove(fingerprint) {
                sound.cleared.push(*fingerprint);
            }
            let Some(suspicion) = self.by_fingerprint.remove(fingerprint) else {
                continue;
            };
            sound.cleared.push(*fingerprint);
            if suspicion.is_condemned() {
                sound.lifted.push(*fingerprint);
            }
        }
        if !sound.cleared.is_empty() {
            for (fingerprint, suspicion) in &mut self.by_fingerprint {
                if suspicion.exclude(&sound.cleared) && suspicion.is_condemned() {
                    sound.narrowed.push(*fingerprint);
                }
            }
        }
        sound
    }

    /// Records that a target wrote a registration. One that goes on to write has not ended. Returns the
    /// fingerprints whose verdicts this lifts.
    pub fn record_registration(
        &mut self,
        instance: &TargetInstance,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let Some(ended) = self.ended.get_mut(instance) else {
            return Vec::new();
        };
        if now_ms < ended.ended_at_ms + REFUTABLE_AFTER_MS {
            return Vec::new();
        }
        let first_ms = *ended.registered_at_ms.get_or_insert(now_ms);
        if now_ms < first_ms + REGISTRATION_GAP_MS {
            return Vec::new();
        }
        self.ended.remove(instance);
        self.first_ends.refute_end(instance);
        let mut lifted = Vec::new();
        for (fingerprint, suspicion) in &mut self.by_fingerprint {
            if suspicion.refute_end(instance) {
                lifted.push(*fingerprint);
            }
        }
        self.by_fingerprint.retain(|_fingerprint, suspicion| {
            suspicion.is_condemned() || suspicion.ended_targets() > 0
        });
        lifted
    }

    /// Decides whether a call may be sent. `may_have_run` tells whether a target may have run it before.
    #[must_use]
    pub fn check(
        &self,
        fingerprints: &[Fingerprint],
        may_have_run: bool,
        now_ms: u64,
    ) -> PoisonCheck {
        if self.by_fingerprint.is_empty() {
            return PoisonCheck::Clear;
        }
        fingerprints
            .iter()
            .filter_map(|fingerprint| self.by_fingerprint.get(fingerprint))
            .filter(|suspicion| suspicion.applies_to(fingerprints))
            .map(|suspicion| suspicion.check(may_have_run, now_ms))
            .max()
            .unwrap_or(PoisonCheck::Clear)
    }

    /// Begins a trial of a call's fingerprints. Returns the fingerprints that are on trial by it.
    pub fn begin_trial(&mut self, fingerprints: &[Fingerprint], now_ms: u64) -> Vec<Fingerprint> {
        let mut tried = Vec::new();
        for fingerprint in fingerprints {
            let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) else {
                continue;
            };
            if suspicion.is_restricted() && suspicion.applies_to(fingerprints) {
                suspicion.begin_trial(now_ms, self.seed);
                tried.push(*fingerprint);
            }
        }
        tried
    }

    /// Records that another gateway has begun or ended a trial of fingerprints.
    pub fn record_trial(&mut self, fingerprints: &[Fingerprint], has_begun: bool, now_ms: u64) {
        for fingerprint in fingerprints {
            let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) else {
                continue;
            };
            if has_begun {
                suspicion.begin_trial(now_ms, self.seed);
            } else {
                suspicion.end_trial();
            }
        }
    }

    /// Records that a target broke off the call of a trial.
    pub fn break_trial(&mut self, fingerprints: &[Fingerprint], now_ms: u64) {
        for fingerprint in fingerprints {
            if let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) {
                suspicion.break_trial(now_ms);
            }
        }
    }

    /// Ends a trial that a target broke off and lives.
    pub fn settle_trial(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            if let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) {
                suspicion.settle_trial();
            }
        }
    }

    /// Ends a trial of this gateway that has shown nothing or whose answer is complete.
    pub fn end_trial(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            if let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint) {
                suspicion.end_trial();
            }
        }
    }

    /// Applies a verdict of another gateway, or of an earlier process, that is `age_ms` old. Returns the
    /// fingerprints whose verdicts are explained by others: those that this one makes needless, or itself if it
    /// is not applied.
    pub fn apply_verdict(
        &mut self,
        verdict: &PoisonVerdict,
        age_ms: u64,
        now_ms: u64,
    ) -> Vec<Fingerprint> {
        let known = self.by_fingerprint.remove(&verdict.fingerprint);
        let mut suspicion = known.unwrap_or_else(|| Suspicion::new(verdict.companions.clone()));
        suspicion.narrow(&verdict.companions);
        suspicion.record_told_ends(&verdict.ended);
        if self.is_explained(verdict.fingerprint, &suspicion) {
            return vec![verdict.fingerprint];
        }
        if !suspicion.is_condemned() || suspicion.trials() < verdict.trials {
            let is_own = suspicion.is_condemned_by_own_evidence();
            let since_ms = now_ms.saturating_sub(age_ms);
            suspicion.condemn(verdict.trials, is_own, since_ms, self.seed);
        }
        self.insert(verdict.fingerprint, suspicion);
        self.lift_explained()
    }

    /// Forgets a fingerprint, because another gateway or an operator has lifted its verdict. Returns whether it
    /// was condemned.
    pub fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        self.by_fingerprint
            .remove(&fingerprint)
            .is_some_and(|suspicion| suspicion.is_condemned())
    }

    /// Returns the verdict on a fingerprint, as it is told and stored.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, unix_ms: u64) -> Option<PoisonVerdict> {
        let suspicion = self.by_fingerprint.get(&fingerprint)?;
        suspicion.is_condemned().then(|| PoisonVerdict {
            fingerprint,
            companions: suspicion.companions().to_vec(),
            ended_targets: suspicion.ended_targets() as u32,
            ended: suspicion.ended_instances().cloned().collect(),
            trials: suspicion.trials(),
            written_at_unix_ms: unix_ms,
        })
    }

    /// Returns whether a fingerprint is condemned.
    #[must_use]
    pub fn is_condemned(&self, fingerprint: Fingerprint) -> bool {
        let suspicion = self.by_fingerprint.get(&fingerprint);
        suspicion.is_some_and(Suspicion::is_condemned)
    }

    /// Returns whether a verdict, which was applied, has all that is known here: the trials since, and the
    /// companions that were ruled out.
    #[must_use]
    pub fn knows_no_more_than(&self, verdict: &PoisonVerdict) -> bool {
        self.by_fingerprint
            .get(&verdict.fingerprint)
            .is_none_or(|suspicion| {
                suspicion.trials() <= verdict.trials
                    && suspicion.companions().len() == verdict.companions.len()
            })
    }

    /// Counts a call that was refused for the verdicts on its fingerprints.
    pub fn count_refused(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            if let Some(suspicion) = self.by_fingerprint.get_mut(fingerprint)
                && suspicion.applies_to(fingerprints)
            {
                suspicion.count_refused();
            }
        }
    }

    /// Returns the number of calls that were refused for the verdict on a fingerprint.
    #[must_use]
    pub fn refused_calls(&self, fingerprint: Fingerprint) -> u64 {
        let suspicion = self.by_fingerprint.get(&fingerprint);
        suspicion.map_or(0, Suspicion::refused_calls)
    }

    /// Returns the time until a call with a condemned fingerprint is tried; [`None`] if one may be tried now.
    #[must_use]
    pub fn return_ms(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<u64> {
        self.by_fingerprint.get(&fingerprint)?.return_ms(now_ms)
    }

    /// Returns all condemned fingerprints.
    pub fn condemned(&self) -> impl Iterator<Item = Fingerprint> {
        self.by_fingerprint
            .iter()
            .filter(|(_fingerprint, suspicion)| suspicion.is_condemned())
            .map(|(fingerprint, _suspicion)| *fingerprint)
    }

    /// Returns the number of fingerprints that were near at several ends or are condemned.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_fingerprint.len()
    }

    /// Returns whether no fingerprint was near at any end or is condemned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_fingerprint.is_empty() && self.first_ends.is_empty()
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.by_fingerprint.retain(|_fingerprint, suspicion| {
            suspicion.is_condemned() || now_ms <= suspicion.last_end_ms() + MAX_SUSPICION_AGE_MS
        });
        self.first_ends
            .forget_old(now_ms.saturating_sub(MAX_SUSPICION_AGE_MS));
        self.ended
            .retain(|_instance, ended| now_ms <= ended.ended_at_ms + MAX_SUSPICION_AGE_MS);
    }

    /// Forgets the fingerprint with the least evidence.
    fn evict(&mut self) {
        let least = self
            .by_fingerprint
            .iter()
            .min_by_key(|(_fingerprint, suspicion)| {
                (
                    suspicion.is_condemned(),
                    suspicion.ended_targets(),
                    suspicion.last_end_ms(),
                )
            });
        let least = least.map(|(fingerprint, _suspicion)| *fingerprint);
        if let Some(fingerprint) = least {
            self.by_fingerprint.remove(&fingerprint);
        }
    }
}
