//! Reads one stream of the log continuously and delivers its records to a duty.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use toucan_platform::{LogBatch, ReadError};
use toucan_types::{Offset, StreamName};

use super::adaptive_timeout_log::AdaptiveTimeoutLog;

/// Maximum number of records in one read.
const MAX_READ_RECORDS: usize = 1_000;
/// Maximum time for which the log delays its response while there are no records, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Retry delay after a failed read, in milliseconds.
const READ_RETRY_DELAY_MS: u64 = 250;
/// Retry delay while the duty's ring is full, in milliseconds.
const RING_FULL_DELAY_MS: u64 = 5;

/// What a reader delivers to its duty.
pub(super) enum Delivery {
    /// Records and the offset of the next append, with the time at which the read was started.
    Records(LogBatch, Instant),
    /// The next offset to read has expired; holds the first offset that can be read.
    Expired(Offset),
}

/// Reads a stream until the task is aborted or the records to read have expired.
///
/// `deliver` returns the delivery if the duty's ring is full; it is then retried.
pub(super) async fn follow(
    log: Arc<AdaptiveTimeoutLog>,
    stream: StreamName,
    from: Offset,
    deliver: impl Fn(Delivery) -> Result<(), Delivery>,
) {
    let mut next = from;
    loop {
        let requested_at = Instant::now();
        match log
            .read(&stream, next, MAX_READ_RECORDS, READ_WAIT_MS)
            .await
        {
            Ok(batch) => {
                if let Some(last) = batch.records.last() {
                    next = last.offset.next();
                }
                deliver_with_retry(Delivery::Records(batch, requested_at), &deliver).await;
            }
            Err(ReadError::Expired { first }) => {
                return deliver_with_retry(Delivery::Expired(first), &deliver).await;
            }
            Err(_) => {
                metrics::counter!("toucan_log_read_failures_total").increment(1);
                tokio::time::sleep(Duration::from_millis(READ_RETRY_DELAY_MS)).await;
            }
        }
    }
}

async fn deliver_with_retry(
    delivery: Delivery,
    deliver: &impl Fn(Delivery) -> Result<(), Delivery>,
) {
    let mut delivery = delivery;
    while let Err(returned) = deliver(delivery) {
        delivery = returned;
        tokio::time::sleep(Duration::from_millis(RING_FULL_DELAY_MS)).await;
    }
}
