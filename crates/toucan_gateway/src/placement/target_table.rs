//! All targets that this VM knows.

use std::rc::Rc;

use toucan_types::{DataCentreName, FastHashMap, ServiceName, TargetName};

use crate::config::TargetEntry;

use super::{CallOutcome, Reach, TargetState};

/// What a new registration changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target was not known before, or started again.
    Started,
    /// The target leaves.
    Draining,
    /// Something else, or nothing.
    Other,
}

/// Targets by name.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    by_name: FastHashMap<TargetName, TargetState>,
    reach: FastHashMap<DataCentreName, Reach>,
}

/// Who is avoided after a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Avoided {
    /// The target itself.
    pub target: bool,
    /// All targets of its data centre.
    pub data_centre: bool,
}

impl TargetTable {
    /// Takes a registration.
    pub fn register(&mut self, entry: TargetEntry) -> TargetChange {
        let Some(known) = self.by_name.get_mut(&entry.name) else {
            let state = TargetState::new(Rc::new(entry));
            self.by_name.insert(state.entry.name.clone(), state);
            return TargetChange::Started;
        };
        known.usable_until_ms = None;
        if entry.started_at_unix_ms < known.entry.started_at_unix_ms {
            // A late word of the start before; the present one knows better.
            return TargetChange::Other;
        }
        let is_new_start = entry.started_at_unix_ms != known.entry.started_at_unix_ms;
        let begins_to_leave = entry.draining && !known.entry.draining;
        if is_new_start {
            let in_flight = known.in_flight;
            *known = TargetState::new(Rc::new(entry));
            known.in_flight = in_flight;
            return TargetChange::Started;
        }
        known.entry = Rc::new(entry);
        if begins_to_leave {
            TargetChange::Draining
        } else {
            TargetChange::Other
        }
    }

    /// Notes how a call to a target ended.
    pub fn record_outcome(&mut self, name: &TargetName, end: CallOutcome, now_ms: u64) -> Avoided {
        let Some(target) = self.by_name.get_mut(name) else {
            return Avoided::default();
        };
        let data_centre = target.entry.data_centre.clone();
        let reach = self.reach.entry(data_centre).or_default();
        Avoided {
            target: target.failures.record(end, now_ms),
            data_centre: reach.record(name, end, now_ms),
        }
    }

    /// Whether a target, or the way to its data centre, is avoided.
    #[must_use]
    pub fn is_avoided(&self, target: &TargetState, now_ms: u64) -> bool {
        target.failures.is_in_backoff(now_ms)
            || self
                .reach
                .get(&target.entry.data_centre)
                .is_some_and(|reach| reach.is_in_backoff(now_ms))
    }

    /// Notes that a target's registration ended; the target is used until `usable_until_ms`.
    ///
    /// True if this is news.
    pub fn deregister(&mut self, name: &TargetName, usable_until_ms: u64) -> bool {
        let Some(target) = self.by_name.get_mut(name) else {
            return false;
        };
        let is_news = target.usable_until_ms.is_none();
        target.usable_until_ms.get_or_insert(usable_until_ms);
        is_news
    }

    /// Removes the targets whose registration ended and that are used no longer.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<TargetName> {
        let ended: Vec<TargetName> = self
            .by_name
            .values()
            .filter(|target| target.is_gone(now_ms))
            .map(|target| target.entry.name.clone())
            .collect();
        for name in &ended {
            self.by_name.remove(name);
        }
        ended
    }

    /// One target.
    #[must_use]
    pub fn get(&self, name: &TargetName) -> Option<&TargetState> {
        self.by_name.get(name)
    }

    /// One target, to change this VM's view of it.
    pub fn get_mut(&mut self, name: &TargetName) -> Option<&mut TargetState> {
        self.by_name.get_mut(name)
    }

    /// Forgets what another VM said of its calls at all targets.
    pub fn clear_peer_load(&mut self, peer: u64) {
        for target in self.by_name.values_mut() {
            target.clear_peer_load(peer);
        }
    }

    /// All targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.by_name.values()
    }

    /// The targets of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.by_name
            .values()
            .filter(move |target| &target.entry.service == service)
    }
}
