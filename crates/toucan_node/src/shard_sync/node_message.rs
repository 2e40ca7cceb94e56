//! The questions that travel as opaque entries between nodes.

use serde::{Deserialize, Serialize};
use toucan_types::ShardIndex;

use super::{JournalQuery, JournalReply, SyncReply, SyncRequest};

/// A question of one node to another about one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NodeRequest {
    /// A wallet writes and asks.
    Sync(Box<SyncRequest>),
    /// A gatherer asks for a dead incarnation's journal.
    Journal(JournalQuery),
}

/// Answer to a [`NodeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum NodeReply {
    /// Answer to a wallet.
    Sync(Box<SyncReply>),
    /// A journal.
    Journal(Box<JournalReply>),
}

impl NodeRequest {
    /// The shard that the question is about.
    pub(crate) fn shard(&self) -> ShardIndex {
        match self {
            Self::Sync(request) => request.shard,
            Self::Journal(query) => query.shard,
        }
    }
}
