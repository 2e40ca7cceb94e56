//! Keeps the verdicts on fingerprints that end targets in the store, so that gateways know them that start later or cannot
//! be reached by datagrams.

use std::{rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use crate::{
    Gateway, Platform,
    clock::unix_time_ms,
    keyed_log::{AppendError, KeyedRecord, Partition, ReadRecord, Topic},
    poison::{Fingerprint, PoisonVerdict},
};

use super::{
    partition_consumer::{BatchKind, PartitionConsumer},
    store_health::StoreHealth,
};

/// Maximum time for which one read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time until it is looked again whether a write is due.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(60);
/// Partition in which the verdicts are kept.
const VERDICTS: Partition = Partition {
    topic: Topic::PoisonVerdicts,
    number: 0,
};

/// Applies the verdicts in the store until the process ends.
pub(crate) async fn watch_verdicts<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut consumer = PartitionConsumer::new(VERDICTS.topic, VERDICTS.number);
    let mut health = StoreHealth::new("verdicts");
    loop {
        match consumer.read(&gateway.platform, LONG_POLL_TIMEOUT).await {
            Ok(consumed) => {
                health.record_success(gateway.now_ms());
                let records = &consumed.batch.records;
                match consumed.kind {
                    BatchKind::Appended => {}
                    BatchKind::Snapshot => lift_missing(&gateway, records),
                    BatchKind::RestoredSnapshot => write_missing(&gateway, records),
                }
                for read in records {
                    apply_record(&gateway, read);
                }
            }
            Err(error) => {
                consumer.restart();
                sleep(health.record_failure(&error, gateway.now_ms())).await;
            }
        }
    }
}

/// Writes the verdicts that the store lacks until the process ends.
pub(crate) async fn write_verdicts<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut health = StoreHealth::new("verdict");
    loop {
        let now_ms = gateway.now_ms();
        let due = gateway.state.borrow().verdict_outbox.due(now_ms);
        if due.is_empty() {
            let next_ms = gateway.state.borrow().verdict_outbox.next_due_ms();
            let wait = next_ms.map_or(MAX_WRITE_WAIT, |next_ms| {
                Duration::from_millis(next_ms.saturating_sub(now_ms))
            });
            // The loop looks again whether the wait ended by a change or by the timeout.
            let _elapsed = timeout(wait, gateway.verdicts_changed.notified()).await;
            continue;
        }
        match write(&gateway, &due).await {
            Ok(()) => {
                health.record_success(gateway.now_ms());
                let outbox = &mut gateway.state.borrow_mut().verdict_outbox;
                due.iter()
                    .for_each(|fingerprint| outbox.remove(*fingerprint));
            }
            Err(error) => sleep(health.record_failure(&error, gateway.now_ms())).await,
        }
    }
}

/// Appends the verdict on each fingerprint, or deletes the record of a fingerprint that has none.
async fn write<P: Platform>(
    gateway: &Gateway<P>,
    fingerprints: &[Fingerprint],
) -> Result<(), AppendError> {
    let mut records = Vec::new();
    for fingerprint in fingerprints {
        let verdict = gateway
            .state
            .borrow()
            .poison
            .verdict(*fingerprint, unix_time_ms());
        let value = verdict.map(|verdict| verdict.encode()).transpose();
        records.push(KeyedRecord {
            key: fingerprint.to_string(),
            value: value.map_err(|error| AppendError::Invalid(error.to_string()))?,
        });
    }
    // Two gateways that write a fingerprint at once write the same, but for the time.
    gateway.platform.append(VERDICTS, None, &records).await?;
    Ok(())
}

fn apply_record<P: Platform>(gateway: &Gateway<P>, read: &ReadRecord) {
    let key = read.record.key.as_str();
    let Ok(fingerprint) = key.parse::<Fingerprint>() else {
        log::warn!(target: "poison", key = key, offset = read.offset.0; "the key of a verdict is no fingerprint, the record is ignored");
        return;
    };
    let Some(bytes) = &read.record.value else {
        lift(gateway, fingerprint);
        return;
    };
    match PoisonVerdict::decode(bytes) {
        Ok(verdict) if verdict.fingerprint == fingerprint => apply_verdict(gateway, &verdict),
        Ok(_other) => {
            log::warn!(target: "poison", key = key, offset = read.offset.0; "a verdict is stored under the key of another fingerprint and is ignored");
        }
        Err(error) => {
            log::warn!(target: "poison", key = key, offset = read.offset.0, error:% = error; "a verdict cannot be read and is ignored");
        }
    }
}

fn apply_verdict<P: Platform>(gateway: &Gateway<P>, verdict: &PoisonVerdict) {
    let is_lifted_here = {
        let state = gateway.state.borrow();
        state.verdict_outbox.contains(verdict.fingerprint)
            && !state.poison.is_condemned(verdict.fingerprint)
    };
    if is_lifted_here {
        // The record was written before the deletion that this gateway is about to write.
        return;
    }
    if !gateway.accept_verdict(verdict) {
        return;
    }
    let state = &mut *gateway.state.borrow_mut();
    if state.poison.knows_no_more_than(verdict) {
        state.verdict_outbox.remove(verdict.fingerprint);
    }
}

/// Lifts a verdict whose record was deleted, unless this gateway is about to write it.
fn lift<P: Platform>(gateway: &Gateway<P>, fingerprint: Fingerprint) {
    let state = &mut *gateway.state.borrow_mut();
    if !state.poison.is_condemned(fingerprint) {
        state.verdict_outbox.remove(fingerprint);
    } else if !state.verdict_outbox.contains(fingerprint) {
        state.poison.lift(fingerprint);
        log::warn!(target: "poison", fingerprint:% = fingerprint; "the verdict was deleted in the store, calls with the fingerprint are served again");
    }
}

/// Lifts the verdicts that are missing from a snapshot: their records were deleted.
fn lift_missing<P: Platform>(gateway: &Gateway<P>, records: &[ReadRecord]) {
    for fingerprint in missing(gateway, records) {
        lift(gateway, fingerprint);
    }
}

/// Writes the verdicts again that a restored store has lost.
fn write_missing<P: Platform>(gateway: &Gateway<P>, records: &[ReadRecord]) {
    let now_ms = gateway.now_ms();
    for fingerprint in missing(gateway, records) {
        let state = &mut *gateway.state.borrow_mut();
        state
            .verdict_outbox
            .push_backup(fingerprint, gateway.start_id(), now_ms);
    }
    gateway.verdicts_changed.notify_one();
}

fn missing<P: Platform>(gateway: &Gateway<P>, records: &[ReadRecord]) -> Vec<Fingerprint> {
    let state = gateway.state.borrow();
    let is_listed = |fingerprint: &Fingerprint| {
        let key = fingerprint.to_string();
        records
            .iter()
            .any(|read| read.record.key == key && read.record.value.is_some())
    };
    state
        .poison
        .condemned()
        .filter(|fingerprint| !is_listed(fingerprint))
        .collect()
}
