//! Keeps the table of targets up to date.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};
use toucan_types::{FastHashSet, TargetName};

use crate::{
    Gateway, Platform,
    clock::unix_time_ms,
    keyed_log::{ReadRecord, Topic},
    placement::{Departure, DeregistrationGrace, RecordPlace, TargetChange},
};

use super::{
    partition_consumer::{BatchKind, PartitionConsumer},
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
                    deregister_missing(&gateway, &consumed.batch.records, usable_until_ms);
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
                    record_read(&gateway, began_ms);
                }
                // The loop reads again whether the wait ended by a request or by the timeout.
                let _elapsed = timeout(POLL_INTERVAL, gateway.registrations.requested()).await;
            }
            Err(error) => sleep(health.record_failure(&error, gateway.now_ms())).await,
        }
    }
}

/// Records that all registrations up to a read that began at `began_ms` are known.
fn record_read<P: Platform>(gateway: &Rc<Gateway<P>>, began_ms: u64) {
    let state = &mut *gateway.state.borrow_mut();
    state.targets_read_at_ms = began_ms;
    let entries = state.targets.iter().map(|target| &*target.entry);
    state.target_versions.record_read(entries, began_ms);
    gateway.registrations.complete(began_ms);
}

fn apply_record<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    read: &ReadRecord,
    usable_until_ms: u64,
    kind: BatchKind,
) {
    let place = RecordPlace {
        restore: gateway.platform.last_restore(),
        offset: read.offset,
    };
    let Some(bytes) = &read.record.value else {
        let name = TargetName::from(read.record.key.as_str());
        if kind == BatchKind::Appended && usable_until_ms <= gateway.now_ms() {
            tell_departure(gateway, &name, place);
        }
        deregister(gateway, &name, usable_until_ms);
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
        let targets = &mut gateway.state.borrow_mut().targets;
        let change = targets.register(entry, now_ms);
        targets.record_place(&name, place);
        change
    };
    if change == TargetChange::Draining && kind == BatchKind::Appended {
        tell_departure(gateway, &name, place);
    }
    if change != TargetChange::Other {
        log::info!(target: "target", name = name.as_str(), service = service.as_str(), offset = read.offset.0, change:? = change; "target changed");
    }
}

/// Tells the other gateways that a target leaves by the record at `place`.
fn tell_departure<P: Platform>(gateway: &Rc<Gateway<P>>, name: &TargetName, place: RecordPlace) {
    let started_at_unix_ms = {
        let state = gateway.state.borrow();
        let target = state.targets.get(name);
        target.map(|target| target.entry.started_at_unix_ms)
    };
    let Some(started_at_unix_ms) = started_at_unix_ms else {
        return;
    };
    gateway.tell_departure(Departure {
        target: name.clone(),
        started_at_unix_ms,
        place,
    });
}

/// Deregisters the targets that are missing from a snapshot.
fn deregister_missing<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    records: &[ReadRecord],
    usable_until_ms: u64,
) {
    let listed: FastHashSet<&str> = records
        .iter()
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
    for name in missing {
        deregister(gateway, &name, usable_until_ms);
    }
}

fn deregister<P: Platform>(gateway: &Rc<Gateway<P>>, name: &TargetName, usable_until_ms: u64) {
    let mut state = gateway.state.borrow_mut();
    if state.targets.deregister(name, usable_until_ms) {
        let still_used_ms = usable_until_ms.saturating_sub(gateway.now_ms());
        log::info!(target: "target", name = name.as_str(), still_used_ms = still_used_ms; "the registration ended");
    }
}

fn remove_expired<P: Platform>(gateway: &Rc<Gateway<P>>, now_ms: u64) {
    for name in gateway.state.borrow_mut().targets.remove_expired(now_ms) {
        log::info!(target: "target", name = name.as_str(); "target removed");
    }
}
