//! Events of an engine's prefix cache, `GET /events?after=SEQUENCE`; delayed and possibly lossy.

use serde::{Deserialize, Serialize};

/// One change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored {
        /// Sequence number of the event; a gap means that events were lost.
        sequence: u64,
        /// Hashes of the blocks; each covers the prompt from its start to the end of the block.
        blocks: Vec<u64>,
    },
    /// Blocks were evicted.
    Removed {
        /// Sequence number of the event.
        sequence: u64,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// All blocks were evicted.
    Cleared {
        /// Sequence number of the event.
        sequence: u64,
    },
}

/// Events in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// The events.
    pub events: Vec<CacheEvent>,
    /// Sequence number of the last published event.
    pub last_sequence: u64,
    /// Tokens per block.
    pub block_tokens: u32,
}
