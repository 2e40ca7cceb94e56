//! Interface of the durable store.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use toucan_types::Offset;

/// One partition of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// Topic of the partition.
    pub topic: Topic,
    /// Number of the partition, from 0.
    pub number: u32,
}

/// Topics that a gateway uses. All are compacted: the newest record of each key is never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// Configuration by the operators; read-only.
    Configuration,
    /// Registrations of targets; read-only.
    Targets,
    /// Registrations of gateways.
    Members,
    /// Grants from prepaid budgets.
    Grants,
    /// Verdicts on parts of prompts that end targets.
    PoisonVerdicts,
    /// Where running streams began.
    StreamOrigins,
}

/// A record with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record, which replaces older records of the key.
    pub key: String,
    /// Content; [`None`] deletes the key.
    pub value: Option<Bytes>,
}

/// A record that was read, with its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// Offset in the partition.
    pub offset: Offset,
    /// Key and content.
    pub record: KeyedRecord,
}

/// Result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records, ordered by offset.
    pub records: Vec<ReadRecord>,
    /// Offset at which the next read starts.
    pub next: Offset,
    /// End offset of the partition at the time of the read.
    pub end: Offset,
}

/// the log cannot be read: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum ReadError {
    /// the records at the offset are no longer kept
    Expired,
    /// the store refused the call with status {0}
    Refused(u16),
    /// the store did not answer: {0}
    Unreachable(String),
    /// the store's answer cannot be read: {0}
    Unreadable(String),
}

impl std::error::Error for ReadError {}

/// Error of an append. All variants but `Unknown` mean that nothing was appended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum AppendError {
    /// the partition ends at {0}, not where the append expected
    Conflict(Offset),
    /// the store refused the call with status {0}, nothing was appended
    Refused(u16),
    /// the call was not sent: {0}
    NotSent(String),
    /// the store did not answer, the records may be appended later: {0}
    Unknown(String),
    /// the record cannot be appended: {0}
    Invalid(String),
}

impl std::error::Error for AppendError {}

/// A log with compacted topics, which keep the newest record of each key.
#[allow(async_fn_in_trait, reason = "all tasks of a gateway run on one thread")]
pub trait KeyedLog {
    /// Reads the newest record of each key and the end of the partition before the read.
    ///
    /// A record that is replaced during the read may be returned in either version. A read from
    /// [`ReadBatch::next`] then returns the newer one.
    async fn read_newest(&self, partition: Partition) -> Result<ReadBatch, ReadError>;

    /// Reads the records from an offset on, waiting up to `wait` for the first one.
    fn read_from(
        &self,
        partition: Partition,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, ReadError>>;

    /// Returns the number of the last restore of the log from an older copy, as last heard; 0 if there
    /// was none.
    ///
    /// A restore loses the newest records and gives their offsets out again.
    fn last_restore(&self) -> u64;

    /// Appends records atomically and returns the new end offset.
    ///
    /// If `expected_end` is given, nothing is appended unless the partition ends at that offset.
    async fn append(
        &self,
        partition: Partition,
        expected_end: Option<Offset>,
        records: &[KeyedRecord],
    ) -> Result<Offset, AppendError>;
}
