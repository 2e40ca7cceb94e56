//! What is known of one fingerprint that may end targets.

use super::{Fingerprint, PoisonCheck, TargetInstance};

/// Number of ended targets from which calls with a fingerprint are sent one at a time.
pub const ENDS_TO_RESTRICT: usize = 2;
/// Number of ended targets at which a fingerprint is condemned.
///
/// One end has many suspects and two may have another reason, such as a sound call that is retried
/// while another fingerprint ends targets.
pub const ENDS_TO_CONDEMN: usize = 3;
/// Time between the ends of two targets from which they did not end together, by a rack, a restart of the
/// service or a cut of the network.
const MIN_GAP_MS: u64 = 150;
/// Maximum number of ends that are kept. More say nothing new.
const MAX_ENDS: usize = 8;
/// Maximum number of ended targets that are kept to tell whether one fingerprint explains another's ends.
const MAX_NEAR: usize = 64;
/// Longest time that a trial may take.
const MAX_TRIAL_MS: u64 = 10_000;
/// Time in which it is found out whether a target that broke off a trial has ended.
const TRIAL_RESULT_MS: u64 = 500;
/// Times from a verdict, and from the trial after it, until one call with the fingerprint is tried again. After
/// the last trial only an operator lifts the verdict.
const TRIAL_DELAYS_MS: [u64; 2] = [10_000, 600_000];
/// Longest time by which gateways spread the trial, so that they do not all begin one at once.
const MAX_TRIAL_SPREAD_MS: u64 = 2_000;
/// Time to return for callers of a fingerprint that is not tried again.
const NO_TRIAL_RETURN_MS: u64 = 3_600_000;

/// What is known of one fingerprint that may end targets.
#[derive(Clone, Debug)]
pub(super) struct Suspicion {
    /// Targets that ended while they held a call with the fingerprint, one after the other.
    ends: Vec<SuspectEnd>,
    /// All targets that ended while they held a call with the fingerprint, also together with others.
    near: Vec<TargetInstance>,
    /// Targets that ended under the fingerprint by the verdict of another gateway.
    told_ends: Vec<TargetInstance>,
    /// Fingerprints that all suspect calls with this fingerprint had, with this fingerprint. It is not known which of them
    /// ended the targets.
    companions: Vec<Fingerprint>,
    trial: Option<Trial>,
    verdict: Option<Verdict>,
}

/// The end of a target that held a call with a fingerprint.
#[derive(Clone, Debug)]
pub(super) struct SuspectEnd {
    /// Target that ended.
    pub(super) instance: TargetInstance,
    /// When the call was sent.
    pub(super) sent_at_ms: u64,
    /// When the target ended.
    pub(super) ended_at_ms: u64,
}

impl SuspectEnd {
    /// Returns whether the two targets did not end together: one call was sent when the other target
    /// had ended, or there was some time between the ends.
    const fn is_apart_from(&self, other: &Self) -> bool {
        self.sent_at_ms >= other.ended_at_ms
            || other.sent_at_ms >= self.ended_at_ms
            || self.ended_at_ms.abs_diff(other.ended_at_ms) >= MIN_GAP_MS
    }
}

/// A call that is sent to find out whether a fingerprint ends targets.
#[derive(Clone, Copy, Debug)]
struct Trial {
    until_ms: u64,
    /// Whether its target broke it off, and it is not known yet whether it has ended.
    is_broken: bool,
}

/// The verdict that a fingerprint ends targets.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    /// Number of trials since.
    trials: u32,
    /// When a call with the fingerprint is tried again; [`None`] if never.
    next_trial_ms: Option<u64>,
    /// Number of calls that this gateway has refused.
    refused_calls: u64,
    /// Whether it follows from the ends that this gateway knows.
    is_own: bool,
}

impl Suspicion {
    /// Creates the suspicion of a fingerprint that came in a call with `companions`, itself one of them.
    pub(super) fn new(companions: Vec<Fingerprint>) -> Self {
        Self {
            ends: Vec::new(),
            near: Vec::new(),
            told_ends: Vec::new(),
            companions,
            trial: None,
            verdict: None,
        }
    }

    /// Records that a target ended while it held a call with the fingerprint. Returns whether this condemns
    /// the fingerprint.
    ///
    /// Targets that end together count once: something else may have ended them.
    pub(super) fn record_end(&mut self, end: SuspectEnd, fingerprints: &[Fingerprint]) -> bool {
        self.companions
            .retain(|companion| fingerprints.contains(companion));
        self.record_near(&end.instance);
        let mut known = self.ends.iter_mut();
        if let Some(known) = known.find(|known| known.instance == end.instance) {
            // Another gateway has seen the same end, perhaps sooner.
            known.ended_at_ms = known.ended_at_ms.min(end.ended_at_ms);
            return false;
        }
        if !self.ends.iter().all(|known| end.is_apart_from(known)) {
            return false;
        }
        self.trial = None;
        if self.ends.len() < MAX_ENDS {
            self.ends.push(end);
        }
        self.verdict.is_none() && self.ends.len() >= ENDS_TO_CONDEMN
    }

    /// Records the targets that ended under the fingerprint by the verdict of another gateway.
    pub(super) fn record_told_ends(&mut self, ended: &[TargetInstance]) {
        for instance in ended.iter().take(MAX_ENDS) {
            self.record_near(instance);
            if self.told_ends.len() < MAX_ENDS && !self.told_ends.contains(instance) {
                self.told_ends.push(instance.clone());
            }
        }
    }

    fn record_near(&mut self, instance: &TargetInstance) {
        if !self.near.contains(instance) && self.near.len() < MAX_NEAR {
            self.near.push(instance.clone());
        }
    }

    /// Condemns the fingerprint.
    pub(super) fn condemn(&mut self, trials: u32, is_own: bool, since_ms: u64, seed: u64) {
        self.trial = None;
        self.verdict = Some(Verdict {
            trials,
            next_trial_ms: next_trial_ms(trials, since_ms, seed),
            refused_calls: 0,
            is_own,
        });
    }

    /// Forgets an end that was none. Returns whether this lifts the verdict.
    pub(super) fn refute_end(&mut self, instance: &TargetInstance) -> bool {
        let before = self.ends.len();
        self.near.retain(|near| near != instance);
        self.told_ends.retain(|told| told != instance);
        self.ends.retain(|end| end.instance != *instance);
        let is_refuted = self.ends.len() < before && self.ends.len() < ENDS_TO_CONDEMN;
        let was_own = self.verdict.is_some_and(|verdict| verdict.is_own);
        if is_refuted && was_own {
            self.verdict = None;
            return true;
        }
        false
    }

    /// Records that fingerprints are sound, so that they are no companions. Returns whether one was.
    pub(super) fn exclude(&mut self, sound: &[Fingerprint]) -> bool {
        let before = self.companions.len();
        self.companions
            .retain(|fingerprint| !sound.contains(fingerprint));
        self.companions.len() < before
    }

    /// Leaves only those companions that another gateway has not ruled out.
    pub(super) fn narrow(&mut self, companions: &[Fingerprint]) {
        self.companions
            .retain(|fingerprint| companions.contains(fingerprint));
    }

    /// Returns whether a call with these fingerprints has all that the suspect calls have in common.
    pub(super) fn applies_to(&self, fingerprints: &[Fingerprint]) -> bool {
        self.companions
            .iter()
            .all(|fingerprint| fingerprints.contains(fingerprint))
    }

    /// Decides whether a call with the fingerprint may be sent. `may_have_run` tells whether a target may have
    /// run the call before.
    pub(super) fn check(&self, may_have_run: bool, now_ms: u64) -> PoisonCheck {
        if !self.is_restricted() {
            return PoisonCheck::Clear;
        }
        if may_have_run {
            return PoisonCheck::Suspected;
        }
        if let Some(return_ms) = self.return_ms(now_ms) {
            return PoisonCheck::Condemned { return_ms };
        }
        if self.is_on_trial(now_ms) {
            PoisonCheck::Wait
        } else {
            PoisonCheck::Trial
        }
    }

    /// Returns the time until a call with a condemned fingerprint may be tried; [`None`] if it may be now.
    pub(super) fn return_ms(&self, now_ms: u64) -> Option<u64> {
        let verdict = self.verdict?;
        let Some(next_ms) = verdict.next_trial_ms else {
            return Some(NO_TRIAL_RETURN_MS);
        };
        let return_ms = next_ms.saturating_sub(now_ms);
        (return_ms > 0).then_some(return_ms)
    }

    /// Begins a trial, by this gateway or another.
    ///
    /// It counts if it is due at one of the gateways. One that begins a trial sooner only suspects the
    /// fingerprint, and gets to know the verdict.
    pub(super) fn begin_trial(&mut self, now_ms: u64, seed: u64) {
        self.trial = Some(Trial {
            until_ms: now_ms + MAX_TRIAL_MS,
            is_broken: false,
        });
        let is_due = self
            .return_ms(now_ms)
            .is_none_or(|return_ms| return_ms <= MAX_TRIAL_SPREAD_MS);
        if let Some(verdict) = self.verdict.as_mut().filter(|_verdict| is_due) {
            verdict.trials += 1;
            verdict.next_trial_ms = next_trial_ms(verdict.trials, now_ms, seed);
        }
    }

    /// Records that the call of a trial was broken off.
    pub(super) fn break_trial(&mut self, now_ms: u64) {
        if let Some(trial) = &mut self.trial {
            trial.is_broken = true;
            trial.until_ms = now_ms + TRIAL_RESULT_MS;
        }
    }

    /// Ends a trial, unless the result of its end is awaited.
    pub(super) fn end_trial(&mut self) {
        if self.trial.is_some_and(|trial| !trial.is_broken) {
            self.trial = None;
        }
    }

    /// Ends a trial whose target lives.
    pub(super) const fn settle_trial(&mut self) {
        self.trial = None;
    }

    fn is_on_trial(&self, now_ms: u64) -> bool {
        self.trial.is_some_and(|trial| now_ms < trial.until_ms)
    }

    /// Returns whether calls with the fingerprint are sent one at a time or not at all.
    pub(super) fn is_restricted(&self) -> bool {
        self.verdict.is_some() || self.ends.len() >= ENDS_TO_RESTRICT
    }

    /// Returns whether the fingerprint is taken for what ends targets.
    pub(super) const fn is_condemned(&self) -> bool {
        self.verdict.is_some()
    }

    /// Returns whether the fingerprint is condemned for ends that this gateway has counted.
    pub(super) fn is_condemned_by_own_evidence(&self) -> bool {
        self.verdict.is_some_and(|verdict| verdict.is_own)
    }

    /// Counts a call that was refused for the verdict.
    pub(super) const fn count_refused(&mut self) {
        if let Some(verdict) = &mut self.verdict {
            verdict.refused_calls += 1;
        }
    }

    /// Returns the number of calls that were refused for the verdict.
    pub(super) fn refused_calls(&self) -> u64 {
        self.verdict.map_or(0, |verdict| verdict.refused_calls)
    }

    /// Returns the number of trials since the verdict.
    pub(super) fn trials(&self) -> u32 {
        self.verdict.map_or(0, |verdict| verdict.trials)
    }

    /// Returns the targets that ended under the fingerprint, as seen or told.
    pub(super) fn ended_instances(&self) -> impl Iterator<Item = &TargetInstance> {
        let seen = self.ends.iter().map(|end| &end.instance);
        let told = self.told_ends.iter();
        let told = told.filter(|told| self.ends.iter().all(|end| end.instance != **told));
        seen.chain(told)
    }

    /// Returns whether targets are known to have ended under the fingerprint, and each of them also ended under
    /// one of the others.
    pub(super) fn is_covered_by<'a>(&self, others: impl Iterator<Item = &'a Self>) -> bool {
        let others: Vec<&Self> = others.collect();
        let mut ended = self.ended_instances().peekable();
        ended.peek().is_some()
            && ended.all(|instance| others.iter().any(|other| other.was_near(instance)))
    }

    /// Returns whether a target ended that held a call with the fingerprint.
    pub(super) fn was_near(&self, instance: &TargetInstance) -> bool {
        self.near.contains(instance)
    }

    /// Returns the number of targets that ended under the fingerprint.
    pub(super) fn ended_targets(&self) -> usize {
        self.ended_instances().count()
    }

    /// Returns when the last target ended under the fingerprint; 0 if none is known.
    pub(super) fn last_end_ms(&self) -> u64 {
        let ends = self.ends.iter().map(|end| end.ended_at_ms);
        ends.max().unwrap_or(0)
    }

    /// Returns the fingerprints that a call must all have for the suspicion to apply.
    pub(super) fn companions(&self) -> &[Fingerprint] {
        &self.companions
    }
}

/// Returns when the trial after `trials` others is due, spread by `seed`.
fn next_trial_ms(trials: u32, since_ms: u64, seed: u64) -> Option<u64> {
    let delay_ms = TRIAL_DELAYS_MS.get(trials as usize)?;
    Some(since_ms + delay_ms + seed % MAX_TRIAL_SPREAD_MS)
}
