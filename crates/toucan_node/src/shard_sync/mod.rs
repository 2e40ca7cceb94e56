//! Messages between a node and the gatherer of one shard.
//!
//! A node tells the gatherer what it wrote and asks how it stands; the gatherer answers from its
//! fold. Requests may be repeated and answers may be lost without harm: records are numbered,
//! reservations are keyed by bill, and an answer carries totals.

mod journal;
mod node_message;
mod sync_reply;
mod sync_request;

pub(crate) use journal::{JournalQuery, JournalReply};
pub(crate) use node_message::{NodeReply, NodeRequest};
pub(crate) use sync_reply::{ClaimAnswer, ClaimState, OpenAnswer, OpenState, SyncReply};
pub(crate) use sync_request::{OpenNote, SyncRequest};

use serde::{Serialize, de::DeserializeOwned};

/// Most bytes of one encoded message.
const MOST_MESSAGE_BYTES: usize = 8 << 20;

/// Encodes a message for the wire.
pub(crate) fn encode(message: &impl Serialize) -> Option<bytes::Bytes> {
    let config = bincode::config::standard().with_limit::<MOST_MESSAGE_BYTES>();
    bincode::serde::encode_to_vec(message, config)
        .ok()
        .map(bytes::Bytes::from)
}

/// Decodes a message from the wire; [`None`] if it is broken or has bytes left over.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MOST_MESSAGE_BYTES>();
    let (message, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(message)
}
