//! Consumes one partition of the keyed log.

use std::time::Duration;

use toucan_types::Offset;

use crate::keyed_log::{KeyedLog, Partition, ReadBatch, ReadError, Topic};

/// Reads a snapshot of a partition and then the records appended after it.
#[derive(Debug)]
pub(crate) struct PartitionConsumer {
    partition: Partition,
    next: Option<Offset>,
}

/// Records returned by one read.
#[derive(Debug)]
pub(crate) struct ConsumedBatch {
    /// Records, ordered by offset.
    pub(crate) batch: ReadBatch,
    /// Whether the records are a snapshot of all keys, so that missing keys are deleted.
    pub(crate) is_snapshot: bool,
}

impl PartitionConsumer {
    /// Creates a consumer that starts with a snapshot.
    pub(crate) const fn new(topic: Topic, number: u32) -> Self {
        Self {
            partition: Partition { topic, number },
            next: None,
        }
    }

    /// Returns the partition.
    pub(crate) const fn partition(&self) -> Partition {
        self.partition
    }

    /// Reads the next records, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if nothing was read. The next call continues at the same offset.
    pub(crate) async fn read(
        &mut self,
        log: &impl KeyedLog,
        wait: Duration,
    ) -> Result<ConsumedBatch, ReadError> {
        if let Some(next) = self.next {
            match log.read_from(self.partition, next, wait).await {
                Ok(batch) => {
                    self.next = Some(batch.next);
                    return Ok(ConsumedBatch {
                        batch,
                        is_snapshot: false,
                    });
                }
                Err(ReadError::Expired) => {
                    log::info!(target: "store", partition:? = self.partition, next = next.0; "the records have expired, a snapshot is read instead");
                }
                Err(error) => return Err(error),
            }
        }
        let batch = log.read_newest(self.partition).await?;
        self.next = Some(batch.next);
        Ok(ConsumedBatch {
            batch,
            is_snapshot: true,
        })
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
