//! Applies what this gateway and others find out about fingerprints that end targets, and tells it.

use toucan_types::VmName;

use crate::{
    Gateway, Platform,
    clock::unix_time_ms,
    peers::{EndedTarget, PeerMessage},
    poison::{Fingerprint, PoisonVerdict, TargetEnd, TargetInstance, join_fingerprints},
    serving::Call,
};

/// Why a verdict is lifted that others explain, for logs.
const EXPLAINED: &str = "other fingerprints have ended the targets";

impl<P: Platform> Gateway<P> {
    /// Applies the end of a target that this gateway has seen, and tells the other gateways.
    pub(crate) fn report_target_end(&self, end: &TargetEnd) {
        let now_ms = self.now_ms();
        for fingerprint in self.apply_target_end(end) {
            self.state
                .borrow_mut()
                .verdict_outbox
                .push(fingerprint, now_ms);
            let verdict = self
                .state
                .borrow()
                .poison
                .verdict(fingerprint, unix_time_ms());
            if let Some(verdict) = verdict {
                self.tell_all(PeerMessage::Condemned(verdict));
            }
        }
        self.verdicts_changed.notify_one();
        for ended in EndedTarget::split(end, now_ms) {
            self.tell_all(PeerMessage::TargetEnded(ended));
        }
    }

    /// Applies the end of a target that another gateway has seen.
    pub(crate) fn accept_target_end(&self, ended: EndedTarget, sender: &VmName) {
        let now_ms = self.now_ms();
        let end = ended.into_end(now_ms);
        log::debug!(
            target: "target",
            name = end.instance.name.as_str(),
            vm = sender.as_str(),
            suspects = end.suspects.len();
            "another gateway tells that the target has ended"
        );
        for fingerprint in self.apply_target_end(&end) {
            let state = &mut *self.state.borrow_mut();
            state
                .verdict_outbox
                .push_backup(fingerprint, self.start_id(), now_ms);
        }
        self.verdicts_changed.notify_one();
    }

    /// Applies the end of a target and returns the fingerprints that are condemned by it.
    fn apply_target_end(&self, end: &TargetEnd) -> Vec<Fingerprint> {
        let now_ms = self.now_ms();
        let condemned = self.state.borrow_mut().poison.record_end(end, now_ms);
        for fingerprint in &condemned {
            self.log_verdict(*fingerprint);
        }
        let explained = self.state.borrow_mut().poison.lift_explained();
        self.delete_verdicts(&explained, EXPLAINED);
        self.poison_changed.notify_waiters();
        condemned
    }

    fn log_verdict(&self, fingerprint: Fingerprint) {
        let Some(verdict) = self
            .state
            .borrow()
            .poison
            .verdict(fingerprint, unix_time_ms())
        else {
            return;
        };
        metrics::counter!("toucan_condemned_fingerprints_total").increment(1);
        log::warn!(
            target: "poison",
            fingerprint:% = fingerprint,
            with = join_fingerprints(&verdict.companions).as_str(),
            ended_targets = verdict.ended_targets,
            trials = verdict.trials;
            "calls with a fingerprint end targets and are refused"
        );
    }

    /// Applies that an answer to a call of this gateway is complete, and tells the other gateways if
    /// one of its fingerprints was suspected.
    pub(crate) fn report_sound_call(&self, call: &Call) {
        if self.state.borrow().poison.is_empty() {
            return;
        }
        let cleared = self.apply_sound(call.fingerprints());
        if cleared.is_empty() {
            return;
        }
        self.tell_all(PeerMessage::Sound(cleared));
    }

    /// Applies that another gateway has completed an answer on some fingerprints.
    pub(crate) fn accept_sound(&self, fingerprints: &[Fingerprint]) {
        self.apply_sound(fingerprints);
    }

    /// Applies that some fingerprints are sound, and returns those of them that were suspected.
    fn apply_sound(&self, fingerprints: &[Fingerprint]) -> Vec<Fingerprint> {
        let sound = self.state.borrow_mut().poison.record_sound(fingerprints);
        if sound.cleared.is_empty() {
            return Vec::new();
        }
        self.poison_changed.notify_waiters();
        let now_ms = self.now_ms();
        for fingerprint in &sound.narrowed {
            let outbox = &mut self.state.borrow_mut().verdict_outbox;
            outbox.push_backup(*fingerprint, self.start_id(), now_ms);
        }
        self.delete_verdicts(&sound.lifted, "an answer to such a call was completed");
        sound.cleared
    }

    /// Ends the trials among calls whose target has broken them off and not ended.
    pub(crate) fn settle_trials(&self, end: &TargetEnd) {
        for call in &end.suspects {
            let poison = &mut self.state.borrow_mut().poison;
            poison.settle_trial(&call.fingerprints);
        }
        self.poison_changed.notify_waiters();
    }

    /// Applies that a target has written a registration, so that it has not ended.
    pub(crate) fn record_registration(&self, instance: &TargetInstance) {
        let now_ms = self.now_ms();
        let lifted = {
            let poison = &mut self.state.borrow_mut().poison;
            poison.record_registration(instance, now_ms)
        };
        if !lifted.is_empty() {
            self.delete_verdicts(&lifted, "a target that had been taken for ended lives");
        }
    }

    fn delete_verdicts(&self, lifted: &[Fingerprint], reason: &str) {
        let now_ms = self.now_ms();
        for fingerprint in lifted {
            log::warn!(target: "poison", fingerprint:% = fingerprint, reason = reason; "calls with the fingerprint are served again");
            // Each gateway that has the verdict lifts it; the first one to write is enough.
            let outbox = &mut self.state.borrow_mut().verdict_outbox;
            outbox.push_backup(*fingerprint, self.start_id(), now_ms);
        }
        self.verdicts_changed.notify_one();
    }

    /// Applies a verdict that another gateway has told or stored. Returns false if it is not applied, and its
    /// record is to be deleted.
    pub(crate) fn accept_verdict(&self, verdict: &PoisonVerdict) -> bool {
        let now_ms = self.now_ms();
        let age_ms = unix_time_ms().saturating_sub(verdict.written_at_unix_ms);
        let (was_known, explained) = {
            let poison = &mut self.state.borrow_mut().poison;
            let was_known = poison.is_condemned(verdict.fingerprint);
            (was_known, poison.apply_verdict(verdict, age_ms, now_ms))
        };
        self.delete_verdicts(&explained, EXPLAINED);
        let is_applied = !explained.contains(&verdict.fingerprint);
        if is_applied && !was_known {
            self.log_verdict(verdict.fingerprint);
        }
        if !is_applied || !was_known {
            self.poison_changed.notify_waiters();
        }
        is_applied
    }

    /// Tells all other gateways.
    pub(crate) fn tell_all(&self, message: PeerMessage) {
        let vms: Vec<VmName> = {
            let state = self.state.borrow();
            state
                .members
                .iter()
                .map(|(vm, _member)| vm.clone())
                .collect()
        };
        self.send_to_peers(vms.iter(), message);
    }
}
