//! Keeps the origins of running streams in the store, so that they outlive the death of all gateways.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::{sleep, timeout};
use toucan_types::RequestId;

use crate::{
    Gateway, Platform,
    keyed_log::{AppendError, KeyedRecord, Partition, ReadError, ReadRecord, Topic},
    streams::{
        OriginBatch, OriginRecordNumber, OriginWrite, StreamOrigin, origin_write_interval_ms,
    },
};

use super::{
    partition_consumer::{PartitionConsumer, partition_of},
    store_health::StoreHealth,
};

/// Number of partitions that the gateways' records are distributed over.
///
/// It is part of the storage format: all processes must use the same number.
const ORIGIN_PARTITIONS: u32 = 4;
/// Separates the VM from the number in the key of a record; names never contain it.
const KEY_SEPARATOR: char = '\u{1f}';
/// Longest time until it is looked again whether a write is due.
const MAX_WRITE_WAIT: Duration = Duration::from_secs(60);

/// Writes the origins of running streams until the process ends.
pub(crate) async fn write_origins<P: Platform>(gateway: Rc<Gateway<P>>) {
    let mut health = StoreHealth::new("stream_origin");
    loop {
        let now_ms = gateway.now_ms();
        let due_ms = {
            let state = gateway.state.borrow();
            let is_mixed = state.target_versions.has_several_versions();
            let gateways = state.members.process_count(now_ms);
            let interval_ms = origin_write_interval_ms(is_mixed, gateways);
            state.origin_outbox.due_ms(interval_ms)
        };
        if due_ms.is_none_or(|due_ms| now_ms < due_ms) {
            let wait = due_ms.map_or(MAX_WRITE_WAIT, |due_ms| {
                Duration::from_millis(due_ms - now_ms)
            });
            if due_ms.is_some() {
                sleep(wait).await;
            } else {
                // The loop looks again whether the wait ended by a new stream or by the timeout.
                let _elapsed = timeout(wait, gateway.origin_waiting.notified()).await;
            }
            continue;
        }
        let Some(write) = gateway.state.borrow_mut().origin_outbox.begin_write(now_ms) else {
            continue;
        };
        match append(&gateway, &write).await {
            Ok(()) => {
                health.record_success(gateway.now_ms());
                metrics::counter!("toucan_stream_origins_written_total")
                    .increment(write.batch.len() as u64);
            }
            Err(error) => {
                let now_ms = gateway.now_ms();
                let state = &gateway.state;
                state
                    .borrow_mut()
                    .origin_outbox
                    .restore(&write.batch, now_ms);
                sleep(health.record_failure(&error, now_ms)).await;
            }
        }
    }
}

/// Reads the origins in the store whenever a call needs them, until the process ends.
pub(crate) async fn read_origins<P: Platform>(gateway: Rc<Gateway<P>>) {
    let count = ORIGIN_PARTITIONS.min(gateway.bounds().most_partitions.max(1));
    let mut consumers: Vec<PartitionConsumer> = (0..count)
        .map(|number| PartitionConsumer::new(Topic::StreamOrigins, number))
        .collect();
    let mut health = StoreHealth::new("stream_origins");
    loop {
        gateway.stored_origins.requested().await;
        let began_ms = gateway.now_ms();
        match read_all(&gateway, &mut consumers).await {
            Ok(()) => {
                health.record_success(gateway.now_ms());
                gateway.stored_origins.complete(began_ms);
            }
            Err(error) => {
                let pause = health.record_failure(&error, gateway.now_ms());
                gateway.stored_origins.request();
                sleep(pause).await;
            }
        }
    }
}

/// Returns where a stream began, as the store tells; [`None`] if it doesn't, or not in time.
pub(crate) async fn read_stored_origin<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    attempt: &RequestId,
) -> Option<StreamOrigin> {
    let is_read = gateway.stored_origins.wait_since(gateway.now_ms()).await;
    is_read.then(|| gateway.stream_origin(attempt))?
}

async fn append<P: Platform>(gateway: &Gateway<P>, write: &OriginWrite) -> Result<(), AppendError> {
    let bytes = write.batch.encode();
    let bytes = bytes.map_err(|error| AppendError::Invalid(error.to_string()))?;
    let vm = gateway.settings.vm.as_str();
    let mut records = vec![KeyedRecord {
        key: record_key(vm, write.number),
        value: Some(Bytes::from(bytes)),
    }];
    records.extend(write.expired.iter().map(|number| KeyedRecord {
        key: record_key(vm, *number),
        value: None,
    }));
    let count = ORIGIN_PARTITIONS.min(gateway.bounds().most_partitions.max(1));
    let partition = Partition {
        topic: Topic::StreamOrigins,
        number: partition_of(vm, count),
    };
    gateway.platform.append(partition, None, &records).await?;
    Ok(())
}

fn record_key(vm: &str, number: OriginRecordNumber) -> String {
    format!("{vm}{KEY_SEPARATOR}{}", number.0)
}

async fn read_all<P: Platform>(
    gateway: &Gateway<P>,
    consumers: &mut [PartitionConsumer],
) -> Result<(), ReadError> {
    for consumer in consumers {
        loop {
            let consumed = consumer.read(&gateway.platform, Duration::ZERO).await?;
            for read in &consumed.batch.records {
                apply_record(gateway, read);
            }
            if consumed.batch.next >= consumed.batch.end {
                break;
            }
        }
    }
    Ok(())
}

fn apply_record<P: Platform>(gateway: &Gateway<P>, read: &ReadRecord) {
    let Some(bytes) = &read.record.value else {
        return;
    };
    match OriginBatch::decode(bytes) {
        Ok(batch) => {
            let now_ms = gateway.now_ms();
            let origins = &mut gateway.state.borrow_mut().stream_origins;
            for (attempt, origin) in batch.iter() {
                origins.record(attempt, origin, now_ms);
            }
        }
        Err(error) => {
            log::warn!(target: "store", key = read.record.key.as_str(), offset = read.offset.0, error:% = error; "a record of stream origins cannot be read and is ignored");
        }
    }
}
