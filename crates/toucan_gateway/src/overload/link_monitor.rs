//! Tells a fault of this gateway's own link or processor from faults of targets.

use toucan_types::{DataCentreName, FastHashMap, TargetName};

use super::ConnectResult;

/// Connect timeout while the link works.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Connect timeout while the link is the cause of failures. TCP retransmits a SYN after one second.
const LOCAL_FAULT_CONNECT_TIMEOUT_MS: u64 = 1_400;
/// Time from which a connect is slow. It exceeds the round trip between any two data centres.
const SLOW_MS: u64 = CONNECT_TIMEOUT_MS;
/// Age up to which the latest contact with a target is evidence.
const EVIDENCE_MS: u64 = 3_000;
/// Time since the last contact for which a target, and thereby its data centre, is remembered.
const MEMORY_MS: u64 = 30_000;
/// Number of targets above which those that are no longer remembered are removed.
const MAX_TARGETS: usize = 2_048;
/// Number of slow targets from which the link can be the cause.
const MIN_SLOW_TARGETS: usize = 4;
/// Slow targets for each quick one from which the link can be the cause.
const SLOW_PER_QUICK: usize = 3;
/// Consecutive timeouts of one target at which the target is at fault nevertheless, if another target
/// answers in the meantime.
const TIMEOUTS_TO_BLAME: u32 = 2;

/// What the latest contact with a target shows about the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// A round trip was short.
    Quick,
    /// A round trip was long, or did not end within the timeout.
    Slow,
    /// The connection was refused within the time of a short round trip.
    Refused,
}

/// Latest contact with a target.
#[derive(Clone, Debug)]
struct Contact {
    data_centre: DataCentreName,
    evidence: Evidence,
    at_ms: u64,
    /// Consecutive connects that timed out.
    timeouts: u32,
    /// When the first of them began.
    silent_since_ms: u64,
}

/// Contacts with targets, and whether they show that this VM's own link or processor is overloaded.
///
/// A target that cannot be connected to is normally at fault, and so is its data centre if several of
/// its targets cannot. If connects are slow at most targets, in every data centre in use and in at least
/// two, and no target refuses any, what they have in common is the link of this VM.
#[derive(Debug, Default)]
pub struct LinkMonitor {
    contacts: FastHashMap<TargetName, Contact>,
    is_local_fault: bool,
    excused: Vec<TargetName>,
}

impl LinkMonitor {
    /// Records an attempt to connect that took `took_ms` and ended at `now_ms`.
    ///
    /// Returns whether it failed because of this VM, so that it says nothing about the target.
    pub fn record_connect(
        &mut self,
        target: &TargetName,
        data_centre: &DataCentreName,
        result: ConnectResult,
        took_ms: u64,
        now_ms: u64,
    ) -> bool {
        let evidence = match result {
            _ if took_ms >= SLOW_MS => Evidence::Slow,
            ConnectResult::Connected => Evidence::Quick,
            ConnectResult::TimedOut => Evidence::Slow,
            ConnectResult::Refused => Evidence::Refused,
        };
        let contact = self.contact(target, data_centre, evidence, now_ms);
        if result != ConnectResult::TimedOut {
            contact.timeouts = 0;
            self.update(Some(target), now_ms);
            return false;
        }
        if contact.timeouts == 0 {
            contact.silent_since_ms = now_ms.saturating_sub(took_ms);
        }
        contact.timeouts += 1;
        let Contact {
            timeouts,
            silent_since_ms,
            ..
        } = *contact;
        self.update(Some(target), now_ms);
        self.is_local_fault
            && (timeouts < TIMEOUTS_TO_BLAME || !self.any_heard_since(silent_since_ms))
    }

    /// Records a response whose head arrived at `now_ms`, `took_ms` after the call was sent.
    ///
    /// A quick one shows that the link works. A slow one shows nothing, because the target may have been
    /// processing the call.
    pub fn record_response(
        &mut self,
        target: &TargetName,
        data_centre: &DataCentreName,
        took_ms: u64,
        now_ms: u64,
    ) {
        if took_ms < SLOW_MS {
            let contact = self.contact(target, data_centre, Evidence::Quick, now_ms);
            contact.timeouts = 0;
            self.update(None, now_ms);
        }
    }

    /// Returns whether this VM's own link or processor is the cause of slow connects.
    #[must_use]
    pub const fn is_local_fault(&self) -> bool {
        self.is_local_fault
    }

    /// Returns the time that a connect may take for a call with `left_ms` left.
    #[must_use]
    pub fn connect_timeout_ms(&mut self, left_ms: u64, now_ms: u64) -> u64 {
        self.update(None, now_ms);
        if self.is_local_fault {
            left_ms.clamp(CONNECT_TIMEOUT_MS, LOCAL_FAULT_CONNECT_TIMEOUT_MS)
        } else {
            CONNECT_TIMEOUT_MS
        }
    }

    /// Takes the targets whose failures were recorded before it was found that the link is the cause.
    #[must_use]
    pub fn take_excused(&mut self) -> Vec<TargetName> {
        std::mem::take(&mut self.excused)
    }

    fn contact(
        &mut self,
        target: &TargetName,
        data_centre: &DataCentreName,
        evidence: Evidence,
        now_ms: u64,
    ) -> &mut Contact {
        if self.contacts.len() >= MAX_TARGETS {
            self.contacts
                .retain(|_target, contact| is_recent(contact, MEMORY_MS, now_ms));
        }
        let contact = self
            .contacts
            .entry(target.clone())
            .or_insert_with(|| Contact {
                data_centre: data_centre.clone(),
                evidence,
                at_ms: now_ms,
                timeouts: 0,
                silent_since_ms: now_ms,
            });
        contact.evidence = evidence;
        contact.at_ms = now_ms;
        contact
    }

    /// Returns whether a target answered or refused a connection at or after `since_ms`.
    fn any_heard_since(&self, since_ms: u64) -> bool {
        self.contacts
            .values()
            .any(|contact| contact.timeouts == 0 && contact.at_ms >= since_ms)
    }

    /// Decides anew. `target` is left out of what is taken back: the result of its connect tells the caller of this
    /// method whether it counts.
    fn update(&mut self, target: Option<&TargetName>, now_ms: u64) {
        let is_local_fault = self.shows_local_fault(now_ms);
        if is_local_fault && !self.is_local_fault {
            let timed_out = self.contacts.iter().filter(|(name, contact)| {
                contact.timeouts > 0
                    && is_recent(contact, EVIDENCE_MS, now_ms)
                    && Some(*name) != target
            });
            self.excused = timed_out.map(|(target, _contact)| target.clone()).collect();
        }
        self.is_local_fault = is_local_fault;
    }

    fn shows_local_fault(&self, now_ms: u64) -> bool {
        let mut slow: Vec<&Contact> = Vec::new();
        let mut quick = 0;
        for contact in self.contacts.values() {
            if !is_recent(contact, EVIDENCE_MS, now_ms) {
                continue;
            }
            match contact.evidence {
                Evidence::Refused => return false,
                Evidence::Quick => quick += 1,
                Evidence::Slow => slow.push(contact),
            }
        }
        if slow.len() < MIN_SLOW_TARGETS || slow.len() < quick * SLOW_PER_QUICK {
            return false;
        }
        let is_slow = |data_centre: &DataCentreName| {
            let mut slow = slow.iter();
            slow.any(|contact| contact.data_centre == *data_centre)
        };
        let first = &slow[0].data_centre;
        let is_only_one = slow.iter().all(|contact| contact.data_centre == *first);
        // If a data centre in use has no slow connect, the other ones may be cut off.
        let mut in_use = self.contacts.values();
        let is_everywhere = in_use
            .all(|contact| !is_recent(contact, MEMORY_MS, now_ms) || is_slow(&contact.data_centre));
        !is_only_one && is_everywhere
    }
}

const fn is_recent(contact: &Contact, max_age_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(contact.at_ms) <= max_age_ms
}
