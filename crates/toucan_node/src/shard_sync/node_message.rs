//! Requests between nodes that the wire protocol carries as opaque entries.

use serde::{Deserialize, Serialize};
use toucan_types::ShardIndex;

use super::{JournalQuery, JournalReply, SyncReply, SyncRequest};

/// A request from one node to another about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NodeRequest {
    /// Records and queries of a wallet.
    Sync(Box<SyncRequest>),
    /// A batcher's query for the journal of a crashed or ended incarnation.
    Journal(JournalQuery),
}

/// Reply to a [`NodeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// Reply to a wallet.
    Sync(Box<SyncReply>),
    /// A journal.
    Journal(Box<JournalReply>),
}

impl NodeRequest {
    /// Returns the shard of the request.
    pub(crate) fn shard(&self) -> ShardIndex {
        match self {
            Self::Sync(request) => request.shard,
            Self::Journal(query) => query.shard,
        }
    }
}
