//! The store in which everything that must last is kept, as the gateway needs it.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use toucan_types::Offset;

/// One partition of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Partition {
    /// Which topic.
    pub topic: Topic,
    /// Number of the partition, from 0.
    pub number: u32,
}

/// The topics that a gateway uses; in each, the newest record of a key is kept for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Topic {
    /// The operators' configuration; read only.
    Configuration,
    /// The targets' registrations; read only.
    Targets,
    /// The gateways' registrations.
    Members,
    /// Grants from prepaid budgets.
    Grants,
}

/// A record that is appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key whose newest record this becomes.
    pub key: String,
    /// Content; [`None`] drops the key.
    pub value: Option<Bytes>,
}

/// A record as it is read, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// Place in the partition.
    pub offset: Offset,
    /// Key and content.
    pub record: KeyedRecord,
}

/// What a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in the order of their offsets.
    pub records: Vec<ReadRecord>,
    /// Offset from which the next read goes on.
    pub next: Offset,
    /// End of the partition when the read was answered.
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

/// An append that is known not to have taken effect, or whose fate is unknown.
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

/// A log whose topics keep the newest record of each key.
#[allow(async_fn_in_trait, reason = "all tasks of a gateway run on one thread")]
pub trait KeyedLog {
    /// The newest record of each key, and where the partition ended before they were read.
    ///
    /// A record that was replaced during the call may come in either state; reading on from
    /// [`ReadBatch::next`] brings the newer one.
    async fn read_newest(&self, partition: Partition) -> Result<ReadBatch, ReadError>;

    /// The records from an offset on; waits up to `wait` for the first one.
    fn read_from(
        &self,
        partition: Partition,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, ReadError>>;

    /// Appends records, all or none, and returns the new end.
    ///
    /// With `expected_end`, only if the partition ends there.
    async fn append(
        &self,
        partition: Partition,
        expected_end: Option<Offset>,
        records: &[KeyedRecord],
    ) -> Result<Offset, AppendError>;
}
