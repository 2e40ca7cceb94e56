//! Messages between a node and the batcher of one shard.
//!
//! A node sends its records and queries; the batcher replies from its replayed ledger. Repeated
//! requests and lost replies are harmless: records are numbered, reservations are keyed by bill, and
//! a reply carries totals instead of changes.

mod journal;
mod node_message;
mod sync_reply;
mod sync_request;

pub(crate) use journal::{JournalQuery, JournalReply};
pub(crate) use node_message::{NodeReply, NodeRequest};
pub(crate) use sync_reply::{ClaimAnswer, ClaimState, OpenAnswer, OpenState, SyncReply};
pub(crate) use sync_request::{PendingDispatch, SyncRequest};

use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of one encoded message in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Encodes a message for the wire; [`None`] if it is too large.
pub(crate) fn encode(message: &impl Serialize) -> Option<bytes::Bytes> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::encode_to_vec(message, config)
        .ok()
        .map(bytes::Bytes::from)
}

/// Decodes a message from the wire; [`None`] if it is malformed or has trailing bytes.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    let (message, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(message)
}
