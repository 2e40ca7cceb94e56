//! Queries between nodes for the journal of a crashed or ended incarnation.

use serde::{Deserialize, Serialize};
use toucan_ledger::{JournalAnswer, LedgerRecord};
use toucan_types::{IncarnationId, ShardIndex};

/// Query for a node's journal of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JournalQuery {
    /// Shard.
    pub(crate) shard: ShardIndex,
    /// The incarnation.
    pub(crate) incarnation: IncarnationId,
}

/// A node's journal of an incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JournalReply {
    /// Shard.
    pub(crate) shard: ShardIndex,
    /// The incarnation.
    pub(crate) incarnation: IncarnationId,
    /// The node's answer, repeated for each of its own incarnations in the shard.
    pub(crate) answers: Vec<JournalAnswer>,
    /// Records that were not read back from the log.
    pub(crate) records: Vec<LedgerRecord>,
}
