//! Record of the store that tells where several streams began.

use displaydoc::Display;
use toucan_types::RequestId;

use crate::binary_format;

use super::StreamOrigin;

/// Streams that began at one gateway between two writes, with their origins.
///
/// Few versions serve at a time, so each origin is stored once.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OriginBatch {
    streams: Vec<BatchedStream>,
    origins: Vec<StreamOrigin>,
}

/// One stream of a batch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct BatchedStream {
    /// The caller's attempt that received the first event.
    attempt: RequestId,
    /// Position of the origin in the batch.
    origin: u32,
}

/// a record of stream origins cannot be read or written: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct OriginBatchError(pub String);

impl std::error::Error for OriginBatchError {}

impl OriginBatch {
    /// Adds a stream.
    pub fn push(&mut self, attempt: RequestId, origin: &StreamOrigin) {
        let known = self.origins.iter().position(|known| known == origin);
        let position = known.unwrap_or_else(|| {
            self.origins.push(origin.clone());
            self.origins.len() - 1
        });
        let origin = u32::try_from(position).unwrap_or(u32::MAX);
        self.streams.push(BatchedStream { attempt, origin });
    }

    /// Returns the attempts that received first events, with the origins of their streams.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &StreamOrigin)> {
        self.streams.iter().filter_map(|stream| {
            let origin = self.origins.get(stream.origin as usize)?;
            Some((&stream.attempt, origin))
        })
    }

    /// Returns the number of streams.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the batch has no stream.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Encodes the batch for the store.
    ///
    /// # Errors
    ///
    /// [`OriginBatchError`] if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, OriginBatchError> {
        binary_format::encode(self).map_err(|error| OriginBatchError(error.to_string()))
    }

    /// Decodes a batch from the store.
    ///
    /// # Errors
    ///
    /// [`OriginBatchError`] if the bytes are no batch.
    pub fn decode(bytes: &[u8]) -> Result<Self, OriginBatchError> {
        binary_format::decode(bytes).map_err(|error| OriginBatchError(error.to_string()))
    }
}
