//! Keeps the table of targets up to date.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};
use toucan_types::{FastHashSet, Offset, TargetName};

use crate::{
    Gateway, Platform,
    clock::unix_time_ms,
    keyed_log::{ReadRecord, Topic},
    placement::{Departure, DeregistrationGrace, RecordPlace, TargetChange},
};

use super::{
    partition_consumer::{BatchKind, ConsumedBatch, PartitionConsumer},
    store_health::StoreHealth,
};

/// Interval between two reads, unless a call waits for one. Targets write often, and one read returns the records of all.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Time by which the clocks of targets may be ahead. An entry with a later start would shut out the target that has
/// the id.
const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Applies the targets' registrations until the process ends.
pub(crate) async fn watch_targets<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut consumer = PartitionConsumer::new(Topic::Targets, 0);
    let mut health = StoreHealth::new("targets");
    let mut grace = DeregistrationGrace::new(gateway.bounds().heartbeat_ms);
    let mut last_read_ms = gateway.now_ms();
    loop {
        let began_ms = gateway.now_ms();
        match consumer.read(&gateway.platform, Duration::ZERO).await {
            Ok(consumed) => {
                let now_ms = gateway.now_ms();
                metrics::histogram!("toucan_target_read_gap_seconds")
                    .record((now_ms - last_read_ms) as f64 / 1_000.0);
                last_read_ms = now_ms;
                grace.record_read(health.record_success(now_ms), now_ms);
                let usable_until_ms = grace.usable_until_ms(gateway.bounds().drain_ms, now_ms);
                if consumed.kind != BatchKind::Appended {
                    deregister_missing(&gateway, &consumed, usable_until_ms);
                }
                // A restored store may list targets that have left. Those that live write again.
                if consumed.kind != BatchKind::RestoredSnapshot {
                    for read in &consumed.batch.records {
                        apply_record(&gateway, read, usable_until_ms, consumed.kind);
                    }
                }
                remove_expired(&gateway, now_ms);
                gateway.state.borrow_mut().targets_loaded = true;
                gateway.report_if_all_evacuated();
                // There may be more records than one answer holds.
                if consumed.batch.next >= consumed.batch.end {
                    record_read(&gateway, consumed.batch.next, began_ms);
                }
                // The loop reads again whether the wait ended by a request or by the timeout.
                let _elapsed = timeout(POLL_INTERVAL, gateway.registrations.requested()).await;
            }
            Err(error) => sleep(health.record_failure(&error, gateway.now_ms())).await,
        }
    }
}

/// Records that all registrations before `next` are known, by a read that began at `began_ms`.
fn record_read<P: Platform>(gateway: &Rc<Gateway<P>>, next: Offset, began_ms: u64) {
    let place = place_of(gateway, Offset(next.0.saturating_sub(1)));
    {
        let state = &mut *gateway.state.borrow_mut();
        state.targets_read_at_ms = began_ms;
        let entries = state.targets.iter().map(|target| &*target.entry);
        state.target_versions.record_read(entries, began_ms);
        if state.departures.record_read(place) {
            state.departure_catch_up.record_read(began_ms);
        }
    }
    gateway.departures_learnt.notify_waiters();
    gateway.registrations.complete(began_ms);
}

fn place_of<P: Platform>(gateway: &Gateway<P>, offset: Offset) -> RecordPlace {
    RecordPlace {
        restore: gateway.platform.last_restore(),
        offset,
    }
}

fn apply_record<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    read: &ReadRecord,
    usable_until_ms: u64,
    kind: BatchKind,
) {
    let place = place_of(gateway, read.offset);
    let Some(bytes) = &read.record.value else {
        let name = TargetName::from(read.record.key.as_str());
        deregister(gateway, &name, place, usable_until_ms);
        return;
    };
    let entry = match gateway.platform.read_target(&read.record.key, bytes) {
        Ok(entry) => entry,
        Err(findings) => {
            metrics::counter!("toucan_unreadable_targets_total").increment(1);
            for finding in findings {
                log::debug!(target: "target", key = read.record.key.as_str(), offset = read.offset.0, finding:% = finding; "a target registration is invalid");
            }
            return;
        }
    };
    if entry.started_at_unix_ms > unix_time_ms() + MAX_CLOCK_SKEW_MS {
        metrics::counter!("toucan_unreadable_targets_total").increment(1);
        log::debug!(target: "target", key = read.record.key.as_str(), offset = read.offset.0, started_at_unix_ms = entry.started_at_unix_ms; "a target registration starts in the future and is ignored");
        return;
    }
    if kind == BatchKind::Appended {
        gateway.record_registration(&entry.instance());
    }
    let (name, service) = (entry.name.clone(), entry.service.clone());
    let now_ms = gateway.now_ms();
    let change = {
        let state = &mut *gateway.state.borrow_mut();
        let instance = entry.instance();
        if entry.draining {
            let read = state.registration_read(place, now_ms);
            state.planned_departures.record_draining(&instance, read);
        } else {
            let started_at_unix_ms = entry.started_at_unix_ms;
            let departures = &mut state.departures;
            departures.record_registration(&name, started_at_unix_ms, place);
            state.planned_departures.record_in_service(&instance, place);
        }
        let change = state.targets.register(entry, now_ms);
        let started_at_unix_ms = instance.started_at_unix_ms;
        let targets = &mut state.targets;
        targets.record_place(&name, started_at_unix_ms, place, now_ms);
        change
    };
    if change == TargetChange::Draining
        && let Some(departure) = departure_of(gateway, &name, place)
    {
        gateway.record_read_departure(departure);
    }
    if change != TargetChange::Other {
        log::info!(target: "target", name = name.as_str(), service = service.as_str(), offset = read.offset.0, change:? = change; "target changed");
    }
}

/// Returns the departure of a known target by the record at `place`.
fn departure_of<P: Platform>(
    gateway: &Gateway<P>,
    name: &TargetName,
    place: RecordPlace,
) -> Option<Departure> {
    let state = gateway.state.borrow();
    let target = state.targets.get(name)?;
    Some(Departure {
        target: name.clone(),
        started_at_unix_ms: target.entry.started_at_unix_ms,
        place,
    })
}

/// Deregisters the targets that are missing from a snapshot.
fn deregister_missing<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    snapshot: &ConsumedBatch,
    usable_until_ms: u64,
) {
    let records = snapshot.batch.records.iter();
    let listed: FastHashSet<&str> = records
        .filter(|read| read.record.value.is_some())
        .map(|read| read.record.key.as_str())
        .collect();
    let missing: Vec<TargetName> = gateway
        .state
        .borrow()
        .targets
        .iter()
        .map(|target| &target.entry.name)
        .filter(|name| !listed.contains(name.as_str()))
        .cloned()
        .collect();
    // A target that had registered again later would be listed.
    let place = place_of(gateway, Offset(snapshot.batch.next.0.saturating_sub(1)));
    for name in missing {
        if snapshot.kind == BatchKind::RestoredSnapshot {
            // It may live, and its registration be lost with what else the store lost. It writes again.
            end_registration(gateway, &name, usable_until_ms);
        } else {
            deregister(gateway, &name, place, usable_until_ms);
        }
    }
}

/// Ends the registration of a target by the record at `place`. It has left, unless an outage may be the reason.
fn deregister<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    name: &TargetName,
    place: RecordPlace,
    usable_until_ms: u64,
) {
    let departure = departure_of(gateway, name, place);
    if !end_registration(gateway, name, usable_until_ms) {
        return;
    }
    let Some(departure) = departure else {
        return;
    };
    let now_ms = gateway.now_ms();
    {
        let state = &mut *gateway.state.borrow_mut();
        let read = state.registration_read(place, now_ms);
        let heartbeat_ms = gateway.bounds().heartbeat_ms;
        state
            .planned_departures
            .record_deleted(&departure.instance(), heartbeat_ms, read);
    }
    if usable_until_ms <= now_ms {
        gateway.record_read_departure(departure);
    } else {
        let departures = &mut gateway.state.borrow_mut().departures;
        departures.record_uncertain(departure);
    }
}

/// Returns whether the target was registered.
fn end_registration<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    name: &TargetName,
    usable_until_ms: u64,
) -> bool {
    let mut state = gateway.state.borrow_mut();
    let is_new = state.targets.deregister(name, usable_until_ms);
    if is_new {
        let still_used_ms = usable_until_ms.saturating_sub(gateway.now_ms());
        log::info!(target: "target", name = name.as_str(), still_used_ms = still_used_ms; "the registration ended");
    }
    is_new
}

fn remove_expired<P: Platform>(gateway: &Rc<Gateway<P>>, now_ms: u64) {
    let expired = gateway.state.borrow_mut().targets.remove_expired(now_ms);
    for name in expired {
        log::info!(target: "target", name = name.as_str(); "target removed");
        let departure = gateway.state.borrow_mut().departures.take_uncertain(&name);
        if let Some(departure) = departure {
            gateway.record_read_departure(departure);
        }
    }
}
