//! What this gateway knows of parts that may end targets.

use toucan_types::FastHashMap;

use crate::wire_format::PartId;

use super::{PoisonVerdict, SuspectCall, TargetEnd, TargetInstance, suspicion::Suspicion};

/// Time since the last end of a target after which a suspicion is forgotten, and an end can no longer
/// be refuted.
const MAX_SUSPICION_AGE_MS: u64 = 600_000;
/// Time after the end of a target from which a registration that it writes shows that it lives. One
/// that it wrote before may still be read until then.
const REFUTABLE_AFTER_MS: u64 = 2_000;
/// Time between two such registrations that show it. A single one may have been delayed.
const REGISTRATION_GAP_MS: u64 = 1_000;
/// Maximum number of parts that are suspected or condemned.
const MAX_PARTS: usize = 1_024;

/// Whether a call may be sent, as far as the parts of its prompt are concerned. A later variant
/// outweighs an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PartCheck {
    /// It may be sent.
    Clear,
    /// It may be sent as the only one with a suspected part.
    Trial,
    /// It has to wait until the result of another call with a suspected part is known.
    Wait,
    /// It must not be sent again: it may have ended a target.
    Suspected,
    /// It must not be sent: it has a part that ends targets.
    Condemned {
        /// Time until the part is tried again, in milliseconds.
        return_ms: u64,
    },
}

/// What an answer that is complete has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SoundParts {
    /// Parts that were suspected or condemned.
    pub cleared: Vec<PartId>,
    /// Those of them that were condemned.
    pub lifted: Vec<PartId>,
    /// Condemned parts that always came with one of them and now stand alone.
    pub narrowed: Vec<PartId>,
}

/// Suspected and condemned parts.
///
/// A target that ends holds many calls, of which one may have ended it. So a part is condemned only if
/// several targets ended under it one after the other and no answer was completed on it in between.
/// Parts that always came together are condemned together: a call is refused only if it has all of
/// them, and the first complete answer on one of them leaves the others.
#[derive(Clone, Debug, Default)]
pub struct PoisonTable {
    by_part: FastHashMap<PartId, Suspicion>,
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

    /// Records the end of a target, seen here or told by another gateway. Returns the parts that are
    /// condemned by it.
    pub fn record_end(&mut self, end: &TargetEnd, now_ms: u64) -> Vec<PartId> {
        self.forget_old(now_ms);
        self.ended
            .entry(end.instance.clone())
            .or_insert(EndedInstance {
                ended_at_ms: end.ended_at_ms,
                registered_at_ms: None,
            });
        let mut condemned = Vec::new();
        for call in &end.suspects {
            for part in &call.shared_parts {
                if self.record_suspect(*part, call, end) {
                    condemned.push(*part);
                }
            }
        }
        condemned.retain(|part| !self.is_explained(*part));
        for part in &condemned {
            if let Some(suspicion) = self.by_part.get_mut(part) {
                suspicion.condemn(0, true, now_ms, self.seed);
            }
        }
        condemned
    }

    /// Removes and returns the condemned parts that other verdicts have made needless: they were in
    /// other calls that their targets held when another part ended them.
    pub fn lift_explained(&mut self) -> Vec<PartId> {
        let own = self.by_part.iter();
        let own = own.filter(|(_part, suspicion)| suspicion.is_condemned_by_own_evidence());
        let explained: Vec<PartId> = own
            .map(|(part, _suspicion)| *part)
            .filter(|part| self.is_explained(*part))
            .collect();
        for part in &explained {
            self.by_part.remove(part);
        }
        explained
    }

    /// Returns whether other condemned parts, with ends of their own besides, were suspected at each end
    /// of a target that held a call with the part.
    fn is_explained(&self, part: PartId) -> bool {
        let Some(suspicion) = self.by_part.get(&part) else {
            return false;
        };
        let has_more_ends = |other: &Suspicion| {
            let mut ends = other.ended_instances();
            ends.any(|instance| !suspicion.has_end(instance))
        };
        let others: Vec<&Suspicion> = self
            .by_part
            .iter()
            .filter(|(other, _suspicion)| !suspicion.companions().contains(other))
            .map(|(_other, suspicion)| suspicion)
            .filter(|other| other.is_condemned() && has_more_ends(other))
            .collect();
        suspicion
            .ended_instances()
            .all(|instance| others.iter().any(|other| other.has_end(instance)))
    }

    fn record_suspect(&mut self, part: PartId, call: &SuspectCall, end: &TargetEnd) -> bool {
        if !self.by_part.contains_key(&part) && self.by_part.len() >= MAX_PARTS {
            self.evict();
        }
        let suspicion = self
            .by_part
            .entry(part)
            .or_insert_with(|| Suspicion::new(call.shared_parts.clone()));
        suspicion.record_end(
            &end.instance,
            &call.shared_parts,
            call.sent_at_ms,
            end.ended_at_ms,
        )
    }

    /// Records that an answer to a call with these parts is complete, so that none of them ends
    /// targets.
    pub fn record_sound(&mut self, shared_parts: &[PartId]) -> SoundParts {
        let mut sound = SoundParts::default();
        if self.by_part.is_empty() {
            return sound;
        }
        for part in shared_parts {
            let Some(suspicion) = self.by_part.remove(part) else {
                continue;
            };
            sound.cleared.push(*part);
            if suspicion.is_condemned() {
                sound.lifted.push(*part);
            }
        }
        if !sound.cleared.is_empty() {
            for (part, suspicion) in &mut self.by_part {
                if suspicion.exclude(&sound.cleared) && suspicion.is_condemned() {
                    sound.narrowed.push(*part);
                }
            }
        }
        sound
    }

    /// Records that a target wrote a registration. One that goes on to write has not ended. Returns the
    /// parts whose verdicts this lifts.
    pub fn record_registration(&mut self, instance: &TargetInstance, now_ms: u64) -> Vec<PartId> {
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
        let mut lifted = Vec::new();
        for (part, suspicion) in &mut self.by_part {
            if suspicion.refute_end(instance) {
                lifted.push(*part);
            }
        }
        self.by_part
            .retain(|_part, suspicion| suspicion.is_condemned() || suspicion.ended_targets() > 0);
        lifted
    }

    /// Decides whether a call may be sent. `may_have_run` tells whether a target may have run it before.
    #[must_use]
    pub fn check(&self, shared_parts: &[PartId], may_have_run: bool, now_ms: u64) -> PartCheck {
        if self.by_part.is_empty() {
            return PartCheck::Clear;
        }
        shared_parts
            .iter()
            .filter_map(|part| self.by_part.get(part))
            .filter(|suspicion| suspicion.applies_to(shared_parts))
            .map(|suspicion| suspicion.check(may_have_run, now_ms))
            .max()
            .unwrap_or(PartCheck::Clear)
    }

    /// Begins a trial of a call's parts. Returns the parts that are on trial by it.
    pub fn begin_trial(&mut self, shared_parts: &[PartId], now_ms: u64) -> Vec<PartId> {
        let mut tried = Vec::new();
        for part in shared_parts {
            let Some(suspicion) = self.by_part.get_mut(part) else {
                continue;
            };
            if suspicion.is_restricted() && suspicion.applies_to(shared_parts) {
                suspicion.begin_trial(now_ms, self.seed);
                tried.push(*part);
            }
        }
        tried
    }

    /// Records that another gateway has begun or ended a trial of parts.
    pub fn record_trial(&mut self, parts: &[PartId], has_begun: bool, now_ms: u64) {
        for part in parts {
            let Some(suspicion) = self.by_part.get_mut(part) else {
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
    pub fn break_trial(&mut self, parts: &[PartId], now_ms: u64) {
        for part in parts {
            if let Some(suspicion) = self.by_part.get_mut(part) {
                suspicion.break_trial(now_ms);
            }
        }
    }

    /// Ends a trial that a target broke off and lives.
    pub fn settle_trial(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(suspicion) = self.by_part.get_mut(part) {
                suspicion.settle_trial();
            }
        }
    }

    /// Ends a trial of this gateway that has shown nothing or whose answer is complete.
    pub fn end_trial(&mut self, parts: &[PartId]) {
        for part in parts {
            if let Some(suspicion) = self.by_part.get_mut(part) {
                suspicion.end_trial();
            }
        }
    }

    /// Applies a verdict of another gateway, or of an earlier process, that is `age_ms` old.
    pub fn apply_verdict(&mut self, verdict: &PoisonVerdict, age_ms: u64, now_ms: u64) {
        if !self.by_part.contains_key(&verdict.part) && self.by_part.len() >= MAX_PARTS {
            self.evict();
        }
        let suspicion = self
            .by_part
            .entry(verdict.part)
            .or_insert_with(|| Suspicion::new(verdict.companions.clone()));
        suspicion.narrow(&verdict.companions);
        if suspicion.is_condemned() && suspicion.trials() >= verdict.trials {
            return;
        }
        let is_own = suspicion.is_condemned_by_own_evidence();
        suspicion.condemn(
            verdict.trials,
            is_own,
            now_ms.saturating_sub(age_ms),
            self.seed,
        );
    }

    /// Forgets a part, because another gateway or an operator has lifted its verdict. Returns whether it
    /// was condemned.
    pub fn lift(&mut self, part: PartId) -> bool {
        self.by_part
            .remove(&part)
            .is_some_and(|suspicion| suspicion.is_condemned())
    }

    /// Returns the verdict on a part, as it is told and stored.
    #[must_use]
    pub fn verdict(&self, part: PartId, unix_ms: u64) -> Option<PoisonVerdict> {
        let suspicion = self.by_part.get(&part)?;
        suspicion.is_condemned().then(|| PoisonVerdict {
            part,
            companions: suspicion.companions().to_vec(),
            ended_targets: suspicion.ended_targets() as u32,
            trials: suspicion.trials(),
            written_at_unix_ms: unix_ms,
        })
    }

    /// Returns whether a part is condemned.
    #[must_use]
    pub fn is_condemned(&self, part: PartId) -> bool {
        let suspicion = self.by_part.get(&part);
        suspicion.is_some_and(Suspicion::is_condemned)
    }

    /// Returns whether a verdict, which was applied, has all that is known here: the trials since, and the
    /// companions that were ruled out.
    #[must_use]
    pub fn knows_no_more_than(&self, verdict: &PoisonVerdict) -> bool {
        self.by_part.get(&verdict.part).is_none_or(|suspicion| {
            suspicion.trials() <= verdict.trials
                && suspicion.companions().len() == verdict.companions.len()
        })
    }

    /// Counts a call that was refused for the verdicts on its parts.
    pub fn count_refused(&mut self, shared_parts: &[PartId]) {
        for part in shared_parts {
            if let Some(suspicion) = self.by_part.get_mut(part)
                && suspicion.applies_to(shared_parts)
            {
                suspicion.count_refused();
            }
        }
    }

    /// Returns the number of calls that were refused for the verdict on a part.
    #[must_use]
    pub fn refused_calls(&self, part: PartId) -> u64 {
        let suspicion = self.by_part.get(&part);
        suspicion.map_or(0, Suspicion::refused_calls)
    }

    /// Returns the time until a call with a condemned part is tried; [`None`] if one may be tried now.
    #[must_use]
    pub fn return_ms(&self, part: PartId, now_ms: u64) -> Option<u64> {
        self.by_part.get(&part)?.return_ms(now_ms)
    }

    /// Returns all condemned parts.
    pub fn condemned(&self) -> impl Iterator<Item = PartId> {
        self.by_part
            .iter()
            .filter(|(_part, suspicion)| suspicion.is_condemned())
            .map(|(part, _suspicion)| *part)
    }

    /// Returns the number of parts that are suspected or condemned.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_part.len()
    }

    /// Returns whether no part is suspected or condemned.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_part.is_empty()
    }

    fn forget_old(&mut self, now_ms: u64) {
        self.by_part.retain(|_part, suspicion| {
            suspicion.is_condemned() || now_ms <= suspicion.last_end_ms() + MAX_SUSPICION_AGE_MS
        });
        self.ended
            .retain(|_instance, ended| now_ms <= ended.ended_at_ms + MAX_SUSPICION_AGE_MS);
    }

    /// Forgets the part with the least evidence.
    fn evict(&mut self) {
        let least = self.by_part.iter().min_by_key(|(_part, suspicion)| {
            (
                suspicion.is_condemned(),
                suspicion.ended_targets(),
                suspicion.last_end_ms(),
            )
        });
        let least = least.map(|(part, _suspicion)| *part);
        if let Some(part) = least {
            self.by_part.remove(&part);
        }
    }
}
