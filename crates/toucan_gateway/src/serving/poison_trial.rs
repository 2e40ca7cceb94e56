//! Holds back calls with a fingerprint that may end targets.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use crate::{
    Gateway, Platform, Refusal,
    peers::PeerMessage,
    poison::{Fingerprint, PoisonCheck, join_fingerprints},
};

use super::{
    call::{Call, CallTracker},
    choose::{choose_for_call, refusal_without_target},
    send::Refused,
};

/// Longest time for which a call waits for the result of another call with a suspected fingerprint.
const MAX_WAIT_MS: u64 = 1_000;

/// A call that is sent to find out whether fingerprints end targets. No other call with these
/// fingerprints is sent until it is dropped.
pub(crate) struct PoisonTrial<P: Platform> {
    gateway: Rc<Gateway<P>>,
    fingerprints: Vec<Fingerprint>,
}

impl<P: Platform> PoisonTrial<P> {
    fn begin(gateway: &Rc<Gateway<P>>, call: &Call) -> Self {
        let now_ms = gateway.now_ms();
        let state = &mut *gateway.state.borrow_mut();
        let fingerprints = state.poison.begin_trial(call.fingerprints(), now_ms);
        for fingerprint in &fingerprints {
            if state.poison.is_condemned(*fingerprint) {
                state.verdict_outbox.push(*fingerprint, now_ms);
            }
        }
        log::info!(
            target: "poison",
            id = call.id.as_str(),
            fingerprints = join_fingerprints(&fingerprints).as_str();
            "it is tried whether a call ends its target"
        );
        Self {
            gateway: Rc::clone(gateway),
            fingerprints,
        }
    }

    /// Records that the target broke off the call.
    pub(crate) fn record_broken(&self) {
        let now_ms = self.gateway.now_ms();
        let poison = &mut self.gateway.state.borrow_mut().poison;
        poison.break_trial(&self.fingerprints, now_ms);
    }

    fn tell(&self, has_begun: bool) {
        let fingerprints = self.fingerprints.clone();
        self.gateway.tell_all(PeerMessage::PoisonTrial {
            fingerprints,
            has_begun,
        });
    }
}

impl<P: Platform> Drop for PoisonTrial<P> {
    fn drop(&mut self) {
        self.gateway
            .state
            .borrow_mut()
            .poison
            .end_trial(&self.fingerprints);
        self.gateway.poison_changed.notify_waiters();
        self.tell(false);
    }
}

/// Refuses a call at once if a fingerprint is known to end targets.
pub(crate) fn refuse_condemned<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
) -> Result<(), Refused> {
    let now_ms = gateway.now_ms();
    match check(gateway, call, false, now_ms) {
        PoisonCheck::Condemned { return_ms } => Err(condemned(gateway, call, return_ms)),
        _ => Ok(()),
    }
}

/// Waits until a call may be sent, as far as its fingerprints are concerned.
///
/// A call that is sent as a trial has `tracker` hold the trial.
pub(crate) async fn check_poison<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &Call,
    tracker: &mut CallTracker<P>,
) -> Result<(), Refused> {
    let may_have_run = call.progress.may_have_run;
    if tracker.trial.is_some() && !may_have_run {
        return Ok(());
    }
    let wait_until_ms = gateway.now_ms() + MAX_WAIT_MS.min(call.left_ms(gateway.now_ms()));
    loop {
        let changed = gateway.poison_changed.notified();
        let now_ms = gateway.now_ms();
        match check(gateway, call, may_have_run, now_ms) {
            PoisonCheck::Clear => return Ok(()),
            PoisonCheck::Trial => {
                // A trial counts even if its call finds no target, and only two are made.
                if choose_for_call(gateway, call, now_ms).is_none() {
                    return Err((refusal_without_target(gateway, call), "no target is left"));
                }
                let trial = PoisonTrial::begin(gateway, call);
                trial.tell(true);
                tracker.trial = Some(trial);
                return Ok(());
            }
            PoisonCheck::Wait if now_ms < wait_until_ms => {
                let left = Duration::from_millis(wait_until_ms - now_ms);
                // The loop looks again whether the wait ended by a change or by the timeout.
                let _elapsed = timeout(left, changed).await;
            }
            PoisonCheck::Wait => {
                return Err((Refusal::OnTrial, "the trial takes too long"));
            }
            PoisonCheck::Suspected => {
                return Err((Refusal::TargetFailed, "the call may have ended the target"));
            }
            PoisonCheck::Condemned { return_ms } => {
                return Err(condemned(gateway, call, return_ms));
            }
        }
    }
}

fn check<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    may_have_run: bool,
    now_ms: u64,
) -> PoisonCheck {
    let poison = &gateway.state.borrow().poison;
    if poison.is_empty() {
        // The fingerprints are not computed while nothing is suspected.
        return PoisonCheck::Clear;
    }
    poison.check(call.fingerprints(), may_have_run, now_ms)
}

fn condemned<P: Platform>(gateway: &Gateway<P>, call: &Call, return_ms: u64) -> Refused {
    let poison = &mut gateway.state.borrow_mut().poison;
    poison.count_refused(call.fingerprints());
    (Refusal::PoisonCall { return_ms }, "such calls end targets")
}
