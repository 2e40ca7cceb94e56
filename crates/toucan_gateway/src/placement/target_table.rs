//! All targets that are known to this VM.

use std::{rc::Rc, time::Duration};

use toucan_types::{DataCentreName, FastHashMap, ServiceName, SoftwareVersion, TargetName};

use crate::{
    config::TargetEntry,
    limits::{BrittleRecord, LimitRecord},
};

use super::{
    CallOutcome, Departure, Exclusion, Reachability, RecordPlace, StartHistory, TargetPresence,
    TargetScope, TargetState,
};

/// Longest time for which a target can throttle a VM. A wrong value must not take a target out for good.
const MAX_THROTTLE: Duration = Duration::from_mins(10);
/// Part of that time by which its end is spread at most.
const THROTTLE_PER_SPREAD: u64 = 4;
/// Longest time by which the end of throttling is spread.
const MAX_SPREAD_MS: u64 = 1_000;

/// Shortest pause of a target that has granted no permit for a call.
const MIN_DENIED_PAUSE_MS: u64 = 50;

/// Time for which a target takes no calls of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Time until it may take calls.
    pub return_ms: u64,
    /// Whether its limit is a reason.
    pub is_limit: bool,
}

/// What a registration changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is new or has restarted.
    Started,
    /// The target has started draining.
    Draining,
    /// Another change, or none.
    Other,
}

/// Targets by name, and the reachability of their data centres.
#[derive(Clone, Debug, Default)]
pub struct TargetTable {
    by_name: FastHashMap<TargetName, TargetState>,
    /// Starts of each target in the order of the log.
    starts: FastHashMap<TargetName, StartHistory>,
    reachability: FastHashMap<DataCentreName, Reachability>,
}

/// Which backoffs the outcome of a call started or extended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Avoided {
    /// Whether the target is avoided.
    pub target: bool,
    /// Whether all targets of its data centre are avoided.
    pub data_centre: bool,
}

impl TargetTable {
    /// Applies a registration that was read at `now_ms`.
    pub fn register(&mut self, entry: TargetEntry, now_ms: u64) -> TargetChange {
        let name = entry.name.clone();
        let started_at_unix_ms = entry.started_at_unix_ms;
        let change = self.apply(entry, now_ms);
        if let Some(target) = self.by_name.get_mut(&name)
            && target.entry.started_at_unix_ms == started_at_unix_ms
        {
            target.cold_until_ms = match target.entry.cold_ms {
                0 => 0,
                cold_ms => now_ms.saturating_add(cold_ms),
            };
            if change == TargetChange::Started {
                target.appeared_ms = now_ms;
            }
            target.update_presence(now_ms);
        }
        change
    }

    fn apply(&mut self, mut entry: TargetEntry, now_ms: u64) -> TargetChange {
        let starts = self
            .starts
            .entry(entry.name.clone())
            .or_insert_with(|| StartHistory::new(entry.started_at_unix_ms, now_ms));
        let is_current = starts.record(entry.started_at_unix_ms, now_ms);
        let Some(known) = self.by_name.get_mut(&entry.name) else {
            let state = TargetState::new(Rc::new(entry));
            self.by_name.insert(state.entry.name.clone(), state);
            return TargetChange::Started;
        };
        if !is_current {
            return TargetChange::Other;
        }
        known.usable_until_ms = None;
        // Only a target that lives writes its registration.
        known.is_replaced = false;
        let is_restart = entry.started_at_unix_ms != known.entry.started_at_unix_ms;
        let starts_draining = entry.draining && !known.entry.draining;
        if is_restart {
            let in_flight = known.own.in_flight;
            known.presence.update(false);
            *known = TargetState::new(Rc::new(entry));
            known.own.in_flight = in_flight;
            return TargetChange::Started;
        }
        // A target that leaves does not come back in the same start, whatever an older record says.
        entry.draining |= known.entry.draining;
        known.entry = Rc::new(entry);
        if starts_draining {
            TargetChange::Draining
        } else {
            TargetChange::Other
        }
    }

    /// Records the outcome of a call to a target.
    pub fn record_outcome(
        &mut self,
        name: &TargetName,
        outcome: CallOutcome,
        now_ms: u64,
    ) -> Avoided {
        let Some(target) = self.by_name.get_mut(name) else {
            return Avoided::default();
        };
        let data_centre = target.entry.data_centre.clone();
        let reachability = self.reachability.entry(data_centre).or_default();
        Avoided {
            target: target.failures.record(outcome, now_ms),
            data_centre: reachability.record(name, outcome, now_ms),
        }
    }

    /// Takes back the last failed connection to each of the targets, for which they were not the cause.
    pub fn excuse_failed_connects(&mut self, names: &[TargetName]) {
        for name in names {
            let Some(target) = self.by_name.get_mut(name) else {
                continue;
            };
            target.failures.excuse_failed_connect();
            self.reachability.remove(&target.entry.data_centre);
        }
    }

    /// Records that a target, in the start that began at `started_at_unix_ms`, states that it is
    /// leaving. It gets no new calls, whatever its registration says.
    ///
    /// Returns whether this was not known.
    pub fn record_leaving(&mut self, name: &TargetName, started_at_unix_ms: u64) -> bool {
        let Some(target) = self.by_name.get_mut(name) else {
            return false;
        };
        if target.entry.started_at_unix_ms != started_at_unix_ms {
            return false;
        }
        target.presence.update(false);
        !std::mem::replace(&mut target.is_leaving, true)
    }

    /// Records that another gateway has read that a target leaves. It gets no calls until a later record than that
    /// one registers it.
    ///
    /// Returns whether the target was in service until `now_ms`.
    pub fn record_departure(&mut self, departure: &Departure, now_ms: u64) -> bool {
        let Some(target) = self.by_name.get_mut(&departure.target) else {
            return false;
        };
        if target.entry.started_at_unix_ms != departure.started_at_unix_ms
            || target.registered_at >= Some(departure.place)
        {
            return false;
        }
        let was_in_service = target.is_in_service(now_ms);
        target.departed_at = target.departed_at.max(Some(departure.place));
        target.update_presence(now_ms);
        was_in_service
    }

    /// Notes where a registration of a target's start was read. It ends what an earlier record says of the target's leaving.
    pub fn record_place(
        &mut self,
        name: &TargetName,
        started_at_unix_ms: u64,
        place: RecordPlace,
        now_ms: u64,
    ) {
        let Some(target) = self.by_name.get_mut(name) else {
            return;
        };
        if target.entry.started_at_unix_ms != started_at_unix_ms {
            // A delayed registration of an earlier start.
            return;
        }
        target.registered_at = target.registered_at.max(Some(place));
        target.departed_at = target.departed_at.filter(|departed| *departed > place);
        target.update_presence(now_ms);
    }

    /// Records that another process answers at the address of a target in the start that began at
    /// `started_at_unix_ms`. It gets no calls until its registration is read again.
    ///
    /// Returns whether this was not known.
    pub fn record_replaced(&mut self, name: &TargetName, started_at_unix_ms: u64) -> bool {
        let Some(target) = self.by_name.get_mut(name) else {
            return false;
        };
        if target.entry.started_at_unix_ms != started_at_unix_ms {
            return false;
        }
        target.presence.update(false);
        !std::mem::replace(&mut target.is_replaced, true)
    }

    /// Records that a target, in the start that began at `started_at_unix_ms`, wants no calls from
    /// this VM for some time.
    ///
    /// `seed` is random for this process. It spreads the ends where several VMs are throttled at the
    /// same time. Returns the time until which the target gets no calls.
    pub fn record_throttle(
        &mut self,
        name: &TargetName,
        started_at_unix_ms: u64,
        throttle: Duration,
        seed: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let target = self.by_name.get_mut(name)?;
        if target.entry.started_at_unix_ms != started_at_unix_ms {
            return None;
        }
        let throttle_ms = throttle.min(MAX_THROTTLE).as_millis() as u64;
        let spread_ms = seed % (throttle_ms / THROTTLE_PER_SPREAD).clamp(1, MAX_SPREAD_MS);
        let until_ms = now_ms + throttle_ms + spread_ms;
        target.throttled_until_ms = target.throttled_until_ms.max(until_ms);
        Some(target.throttled_until_ms)
    }

    /// Returns the limit that a target, in the start that began at `started_at_unix_ms`, has named.
    pub fn limit_mut(
        &mut self,
        name: &TargetName,
        started_at_unix_ms: u64,
    ) -> Option<&mut LimitRecord> {
        let target = self.by_name.get_mut(name)?;
        (target.entry.started_at_unix_ms == started_at_unix_ms).then_some(&mut target.limit)
    }

    /// Returns what is known of the brittleness of a target in the start that began at `started_at_unix_ms`.
    pub fn brittle_mut(
        &mut self,
        name: &TargetName,
        started_at_unix_ms: u64,
    ) -> Option<&mut BrittleRecord> {
        let target = self.by_name.get_mut(name)?;
        (target.entry.started_at_unix_ms == started_at_unix_ms).then_some(&mut target.brittle)
    }

    /// Returns why no target in service that runs `software_version`, or any version if it is [`None`], may
    /// get a call; [`None`] if one may or none is in service.
    #[must_use]
    pub fn exclusion(
        &self,
        service: &ServiceName,
        software_version: Option<&SoftwareVersion>,
        scope: &TargetScope<'_>,
        now_ms: u64,
    ) -> Option<Exclusion> {
        let exclusions = self
            .of_service(service)
            .filter(|target| target.is_in_service(now_ms))
            .filter(|target| target.has_version(software_version))
            .map(|target| scope.exclusion(&target.entry.data_centre));
        let mut reason = None;
        for exclusion in exclusions {
            // An exclusion that will end tells the caller more than one that is for good.
            reason = reason.max(Some(exclusion?));
        }
        reason
    }

    /// Returns whether a target that was chosen may still get the call: it has not restarted, is in service,
    /// does not throttle this VM, and its data centre is not excluded.
    #[must_use]
    pub fn is_still_eligible(
        &self,
        chosen: &TargetEntry,
        scope: &TargetScope<'_>,
        now_ms: u64,
    ) -> bool {
        self.get(&chosen.name).is_some_and(|target| {
            target.entry.started_at_unix_ms == chosen.started_at_unix_ms
                && target.is_in_service(now_ms)
                && target.throttled_until_ms <= now_ms
                && scope.admits(&target.entry.data_centre)
        })
    }

    /// Returns whether the registrations show that another process has got the address of a target since `since_ms`: another start
    /// of it, or another target. The registration of a former holder of the address may still be there, which says nothing.
    #[must_use]
    pub fn is_replaced(&self, known: &TargetEntry, since_ms: u64) -> bool {
        let is_other_start = self.get(&known.name).is_some_and(|target| {
            target.is_replaced || target.entry.started_at_unix_ms != known.started_at_unix_ms
        });
        let is_other_target = || {
            self.iter().any(|target| {
                target.entry.name != known.name
                    && target.entry.address == known.address
                    && target.appeared_ms > since_ms
            })
        };
        is_other_start || is_other_target()
    }

    /// Returns the place of the last registration of a target, in the start of `known`.
    #[must_use]
    pub fn registered_at(&self, known: &TargetEntry) -> Option<RecordPlace> {
        let target = self.get(&known.name)?;
        let is_same_start = target.entry.started_at_unix_ms == known.started_at_unix_ms;
        target.registered_at.filter(|_place| is_same_start)
    }

    /// Returns whether a target leaves from now on, or has left in the start that was chosen.
    #[must_use]
    pub fn presence(&self, chosen: &TargetEntry) -> TargetPresence {
        let target = self.get(&chosen.name);
        let same_start =
            target.filter(|target| target.entry.started_at_unix_ms == chosen.started_at_unix_ms);
        same_start.map_or_else(TargetPresence::gone, |target| target.presence.clone())
    }

    /// Returns the pause until the first of a service's targets that run `software_version`, or any
    /// version if it is [`None`], takes calls again; [`None`] if one takes them now or none is in service.
    /// Targets outside `scope` do not count.
    ///
    /// Targets in `denied` have just granted no permit for a call.
    #[must_use]
    pub fn shortest_pause(
        &self,
        service: &ServiceName,
        software_version: Option<&SoftwareVersion>,
        scope: &TargetScope<'_>,
        denied: &[TargetName],
        now_ms: u64,
    ) -> Option<Pause> {
        let pause = self
            .of_service(service)
            .filter(|target| target.is_in_service(now_ms))
            .filter(|target| target.has_version(software_version))
            .filter(|target| scope.admits(&target.entry.data_centre))
            .map(|target| {
                let is_denied = denied.contains(&target.entry.name);
                let min_ms = if is_denied { MIN_DENIED_PAUSE_MS } else { 0 };
                Pause {
                    return_ms: target.pause_ms(now_ms).max(min_ms),
                    is_limit: is_denied || target.limited_ms(now_ms) > 0,
                }
            })
            .min_by_key(|pause| pause.return_ms)?;
        (pause.return_ms > 0).then_some(pause)
    }

    /// Returns whether a target or its data centre is in backoff.
    #[must_use]
    pub fn is_avoided(&self, target: &TargetState, now_ms: u64) -> bool {
        target.failures.is_in_backoff(now_ms)
            || self
                .reachability
                .get(&target.entry.data_centre)
                .is_some_and(|reachability| reachability.is_in_backoff(now_ms))
    }

    /// Records that a target's registration ended; the target may be used until `usable_until_ms`.
    ///
    /// Returns whether it was still registered.
    pub fn deregister(&mut self, name: &TargetName, usable_until_ms: u64) -> bool {
        let Some(target) = self.by_name.get_mut(name) else {
            return false;
        };
        let is_new = target.usable_until_ms.is_none();
        // What other gateways have read earlier leaves no doubt that the target has gone.
        let until_ms = target.departed_at.map_or(usable_until_ms, |_place| 0);
        target.usable_until_ms.get_or_insert(until_ms);
        is_new
    }

    /// Removes and returns the targets whose grace period is over.
    pub fn remove_expired(&mut self, now_ms: u64) -> Vec<TargetName> {
        let expired: Vec<TargetName> = self
            .by_name
            .values()
            .filter(|target| target.is_expired(now_ms))
            .map(|target| target.entry.name.clone())
            .collect();
        for name in &expired {
            self.starts.remove(name);
            if let Some(mut target) = self.by_name.remove(name) {
                target.presence.update(false);
            }
        }
        expired
    }

    /// Returns one target.
    #[must_use]
    pub fn get(&self, name: &TargetName) -> Option<&TargetState> {
        self.by_name.get(name)
    }

    /// Returns one target for changes to its state.
    pub fn get_mut(&mut self, name: &TargetName) -> Option<&mut TargetState> {
        self.by_name.get_mut(name)
    }

    /// Removes another VM's load at all targets.
    pub fn clear_peer_load(&mut self, peer: u64) {
        for target in self.by_name.values_mut() {
            target.clear_peer_load(peer);
        }
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &TargetState> {
        self.by_name.values()
    }

    /// Returns the targets of one service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a TargetState> {
        self.by_name
            .values()
            .filter(move |target| &target.entry.service == service)
    }
}
