//! Consumes one partition of the keyed log.

use std::{future::pending, pin::pin, time::Duration};

use tokio::time::{Instant, sleep};
use toucan_types::Offset;

use crate::keyed_log::{KeyedLog, Partition, ReadBatch, ReadError, Topic};

/// Time by which an answer may be late before its read is made once more. A slow store answers sooner.
pub(crate) const MAX_ANSWER_DELAY: Duration = Duration::from_millis(500);
/// Pause after a read that returned nothing before its time.
const EMPTY_READ_PAUSE: Duration = Duration::from_millis(200);

/// Returns the number of the partition that holds the records of `name`, out of `count`.
pub(crate) fn partition_of(name: &str, count: u32) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    u32::from(hash.as_bytes()[0]) % count.max(1)
}

/// Reads a snapshot of a partition and then the records appended after it.
#[derive(Debug)]
pub(crate) struct PartitionConsumer {
    partition: Partition,
    next: Option<Offset>,
    /// Restore of the store after which the last snapshot was read; [`None`] before the first one.
    restore: Option<u64>,
}

/// Records returned by one read.
#[derive(Debug)]
pub(crate) struct ConsumedBatch {
    /// Records, ordered by offset.
    pub(crate) batch: ReadBatch,
    /// What the records are.
    pub(crate) kind: BatchKind,
}

/// What the records of one read are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchKind {
    /// Records that were appended after those of the last read.
    Appended,
    /// A snapshot of all keys, so that missing keys are deleted.
    Snapshot,
    /// A snapshot of a store that has come back from an older copy since the last read. Records that
    /// were read before may be missing or older in it.
    RestoredSnapshot,
}

impl PartitionConsumer {
    /// Creates a consumer that starts with a snapshot.
    pub(crate) const fn new(topic: Topic, number: u32) -> Self {
        Self {
            partition: Partition { topic, number },
            next: None,
            restore: None,
        }
    }

    /// Returns the partition.
    pub(crate) const fn partition(&self) -> Partition {
        self.partition
    }

    /// Returns whether the store has come back from an older copy since the last snapshot.
    pub(crate) fn is_before_restore(&self, log: &impl KeyedLog) -> bool {
        self.restore
            .is_some_and(|restore| restore != log.last_restore())
    }

    /// Reads the next records, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if nothing was read. The next call continues at the same offset, or with a snapshot if the
    /// records cannot be decoded.
    pub(crate) async fn read(
        &mut self,
        log: &impl KeyedLog,
        wait: Duration,
    ) -> Result<ConsumedBatch, ReadError> {
        if let Some(next) = self.next
            && !self.is_before_restore(log)
        {
            let began = Instant::now();
            let read = read_or_repeat(log, self.partition, next, wait).await;
            let waited = began.elapsed();
            match read {
                // The offsets were given out again, so the records may follow others that are missing.
                Ok(_batch) if self.is_before_restore(log) => {}
                Ok(batch) => {
                    if batch.records.is_empty() && waited < wait {
                        // A topic to which nothing has been written answers without waiting.
                        sleep(EMPTY_READ_PAUSE.min(wait - waited)).await;
                    }
                    self.next = Some(batch.next);
                    return Ok(ConsumedBatch {
                        batch,
                        kind: BatchKind::Appended,
                    });
                }
                Err(ReadError::Expired) => {
                    log::info!(target: "store", partition:? = self.partition, next = next.0; "the records have expired, a snapshot is read instead");
                }
                Err(error) => {
                    if matches!(error, ReadError::Unreadable(_)) {
                        // The same read would fail again.
                        self.restart();
                    }
                    return Err(error);
                }
            }
        }
        self.read_snapshot(log).await
    }

    async fn read_snapshot(&mut self, log: &impl KeyedLog) -> Result<ConsumedBatch, ReadError> {
        loop {
            let restore = log.last_restore();
            let batch = log.read_newest(self.partition).await?;
            let is_first = self.restore.is_none();
            if !is_first && log.last_restore() != restore {
                // The pages may be of both sides of a restore.
                continue;
            }
            let restore = log.last_restore();
            let kind = if is_first || self.restore == Some(restore) {
                BatchKind::Snapshot
            } else {
                log::warn!(target: "store", partition:? = self.partition, restore = restore, end = batch.end.0; "the store came back from an older copy");
                BatchKind::RestoredSnapshot
            };
            self.restore = Some(restore);
            self.next = Some(batch.next);
            return Ok(ConsumedBatch { batch, kind });
        }
    }

    /// Makes the next read return a snapshot.
    ///
    /// To be called after an outage. A snapshot has one record of each key, however many were
    /// appended meanwhile, and reading it does not wait on a connection that may have gone silent.
    pub(crate) fn restart(&mut self) {
        self.next = None;
    }

    /// Sets the next offset, to skip records that this process appended itself.
    pub(crate) fn seek(&mut self, next: Offset) {
        self.next = Some(next);
    }
}

/// Reads records, once more on another connection if the answer is overdue, and returns what is answered first.
///
/// A connection on which an answer was lost looks like one on which the store still waits for a record. Giving the read
/// up as late as a slow store requires would leave what was written since unread for as long.
async fn read_or_repeat(
    log: &impl KeyedLog,
    partition: Partition,
    from: Offset,
    wait: Duration,
) -> Result<ReadBatch, ReadError> {
    let mut first = pin!(log.read_from(partition, from, wait));
    tokio::select! {
        read = first.as_mut() => return read,
        () = sleep(wait + MAX_ANSWER_DELAY) => {}
    }
    metrics::counter!("toucan_overdue_store_reads_total").increment(1);
    let repeated = async {
        match log.read_from(partition, from, Duration::ZERO).await {
            Ok(batch) => batch,
            // The first read tells how the store fails.
            Err(_error) => pending().await,
        }
    };
    tokio::select! {
        read = first => read,
        batch = repeated => Ok(batch),
    }
}
