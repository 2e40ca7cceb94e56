//! Registers this gateway and keeps the list of the other gateways up to date.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::sleep;
use toucan_types::{FastHashSet, VmName};

use crate::{
    Gateway, Platform,
    keyed_log::{AppendError, KeyedRecord, Partition, ReadRecord, Topic},
    peers::MemberEntry,
};

use super::{
    partition_consumer::{BatchKind, PartitionConsumer},
    store_health::StoreHealth,
};

/// Maximum time for which one read waits for a new record.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Partition in which gateways register.
const MEMBERS: Partition = Partition {
    topic: Topic::Members,
    number: 0,
};

/// Registers this gateway, then applies the other gateways' registrations until the process ends.
pub(crate) async fn watch_members<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut health = StoreHealth::new("members");
    register(&gateway).await;
    let mut consumer = PartitionConsumer::new(Topic::Members, 0);
    loop {
        match consumer.read(&gateway.platform, LONG_POLL_TIMEOUT).await {
            Ok(consumed) => {
                health.record_success(gateway.now_ms());
                match consumed.kind {
                    // The store may have lost registrations, also this gateway's. Each gateway
                    // registers again.
                    BatchKind::RestoredSnapshot => register(&gateway).await,
                    BatchKind::Snapshot => {
                        remove_missing(&gateway, &consumed.batch.records);
                        apply_records(&gateway, &consumed.batch.records);
                    }
                    BatchKind::Appended => apply_records(&gateway, &consumed.batch.records),
                }
                gateway.state.borrow_mut().members_loaded = true;
            }
            Err(error) => {
                consumer.restart();
                sleep(health.record_failure(&error, gateway.now_ms())).await;
            }
        }
    }
}

/// Registers this gateway, however often the store has to be called.
async fn register<P: Platform>(gateway: &Rc<Gateway<P>>) {
    let mut health = StoreHealth::new("registration");
    while let Err(error) = try_register(gateway).await {
        sleep(health.record_failure(&error, gateway.now_ms())).await;
    }
}

async fn try_register<P: Platform>(gateway: &Rc<Gateway<P>>) -> Result<(), AppendError> {
    let entry = gateway.member_entry();
    let value = entry
        .encode()
        .map_err(|error| AppendError::Invalid(error.to_string()))?;
    append(gateway, Some(Bytes::from(value))).await
}

/// Removes the registration, so that the other gateways no longer count this one.
pub(crate) async fn deregister<P: Platform>(gateway: &Rc<Gateway<P>>) -> Result<(), AppendError> {
    append(gateway, None).await
}

async fn append<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    value: Option<Bytes>,
) -> Result<(), AppendError> {
    let record = KeyedRecord {
        key: gateway.settings.vm.to_string(),
        value,
    };
    // Only this VM writes this key, so the append needs no precondition.
    gateway.platform.append(MEMBERS, None, &[record]).await?;
    Ok(())
}

/// Removes the gateways that are missing from a snapshot.
fn remove_missing<P: Platform>(gateway: &Rc<Gateway<P>>, records: &[ReadRecord]) {
    let listed: FastHashSet<&str> = records
        .iter()
        .filter(|read| read.record.value.is_some())
        .map(|read| read.record.key.as_str())
        .collect();
    let mut state = gateway.state.borrow_mut();
    state.members.retain(|vm| listed.contains(vm.as_str()));
}

fn apply_records<P: Platform>(gateway: &Rc<Gateway<P>>, records: &[ReadRecord]) {
    for read in records {
        apply_record(gateway, read);
    }
}

fn apply_record<P: Platform>(gateway: &Rc<Gateway<P>>, read: &ReadRecord) {
    let vm = VmName::from(read.record.key.as_str());
    if vm == gateway.settings.vm {
        return;
    }
    let now_ms = gateway.now_ms();
    let mut state = gateway.state.borrow_mut();
    let Some(bytes) = &read.record.value else {
        state.members.remove(&vm);
        log::info!(target: "members", vm = vm.as_str(), offset = read.offset.0; "gateway left");
        return;
    };
    match MemberEntry::decode(bytes) {
        Ok(entry) => {
            log::info!(target: "members", vm = vm.as_str(), offset = read.offset.0, address:% = entry.address; "gateway registered");
            state.members.register(vm, entry, now_ms);
        }
        Err(error) => {
            log::warn!(target: "members", vm = vm.as_str(), offset = read.offset.0, error:% = error; "a registration cannot be read");
        }
    }
}
