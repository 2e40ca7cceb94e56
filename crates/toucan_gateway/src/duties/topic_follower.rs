//! Follows one partition of the keyed log.

use std::time::Duration;

use toucan_types::Offset;

use crate::keyed_log::{KeyedLog, Partition, ReadBatch, ReadError, Topic};

/// Reads a partition from its newest records on.
#[derive(Debug)]
pub(crate) struct TopicFollower {
    partition: Partition,
    next: Option<Offset>,
}

/// What a read brought.
#[derive(Debug)]
pub(crate) struct Followed {
    /// Records in the order of their offsets.
    pub(crate) batch: ReadBatch,
    /// Whether the records are all newest ones, so that keys which are missing are dropped.
    pub(crate) is_whole: bool,
}

impl TopicFollower {
    /// A follower that has read nothing.
    pub(crate) const fn new(topic: Topic, number: u32) -> Self {
        Self {
            partition: Partition { topic, number },
            next: None,
        }
    }

    /// The partition.
    pub(crate) const fn partition(&self) -> Partition {
        self.partition
    }

    /// Reads on, waiting up to `wait` for the first record.
    ///
    /// # Errors
    ///
    /// [`ReadError`] if nothing was read; the next call goes on from the same place.
    pub(crate) async fn read(
        &mut self,
        log: &impl KeyedLog,
        wait: Duration,
    ) -> Result<Followed, ReadError> {
        if let Some(next) = self.next {
            match log.read_from(self.partition, next, wait).await {
                Ok(batch) => {
                    self.next = Some(batch.next);
                    return Ok(Followed {
                        batch,
                        is_whole: false,
                    });
                }
                Err(ReadError::Expired) => {
                    log::info!(target: "store", partition:? = self.partition, next = next.0; "the records are no longer kept, the newest ones are read");
                }
                Err(error) => return Err(error),
            }
        }
        let batch = log.read_newest(self.partition).await?;
        self.next = Some(batch.next);
        Ok(Followed {
            batch,
            is_whole: true,
        })
    }

    /// Goes on behind records that this process appended itself.
    pub(crate) fn skip_to(&mut self, next: Offset) {
        self.next = Some(next);
    }
}
