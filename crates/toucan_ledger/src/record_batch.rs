//! Batches of records that are appended to the log together.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use toucan_types::IncarnationId;

use crate::LedgerRecord;

/// Format version of the batches that this program writes.
pub const BATCH_FORMAT: u16 = 1;

/// Maximum size of an encoded batch that is written or read, in bytes.
pub const MAX_BATCH_BYTES: usize = 1 << 20;

/// A batch of records that are appended together, in the order in which they take effect.
///
/// The encoded form starts with the format version as two bytes, little-endian, so that a reader
/// recognises a later format before it decodes anything else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordBatch {
    /// Incarnation that appends the batch.
    pub writer: IncarnationId,
    /// Number that the writer assigns to the batch, by which it recognises the batch when it reads
    /// it back.
    pub number: u64,
    /// The records.
    pub records: Vec<LedgerRecord>,
}

#[derive(Serialize, Deserialize)]
struct WireBatch {
    writer: IncarnationId,
    number: u64,
    records: Vec<Vec<u8>>,
}

/// Error of encoding or decoding a batch.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BatchError {
    /// the batch has format {0}, this program knows format 1
    UnknownFormat(u16),
    /// the batch has {0} bytes, more than may be appended
    TooLarge(usize),
    /// the batch cannot be read: {0}
    Damaged(String),
}

impl std::error::Error for BatchError {}

fn settings() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_BATCH_BYTES>()
}

/// Encodes one record as it is stored in a batch.
pub(crate) fn encode_record(record: &LedgerRecord) -> Result<Vec<u8>, BatchError> {
    if let LedgerRecord::Unknown { bytes } = record {
        return Ok(bytes.clone());
    }
    encode_value(record)
}

pub(crate) fn encode_value(value: impl Serialize) -> Result<Vec<u8>, BatchError> {
    bincode::serde::encode_to_vec(value, settings())
        .map_err(|error| BatchError::Damaged(error.to_string()))
}

pub(crate) fn decode_value<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, BatchError> {
    let (value, read) = bincode::serde::decode_from_slice(bytes, settings())
        .map_err(|error| BatchError::Damaged(error.to_string()))?;
    if read != bytes.len() {
        return Err(BatchError::Damaged(format!(
            "{read} of {} bytes used",
            bytes.len()
        )));
    }
    Ok(value)
}

impl RecordBatch {
    /// Encodes the batch for one append.
    ///
    /// # Errors
    /// [`BatchError::TooLarge`] if the encoded form exceeds [`MAX_BATCH_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, BatchError> {
        let mut records = Vec::with_capacity(self.records.len());
        for record in &self.records {
            records.push(encode_record(record)?);
        }
        let wire = WireBatch {
            writer: self.writer,
            number: self.number,
            records,
        };
        let mut bytes = BATCH_FORMAT.to_le_bytes().to_vec();
        bytes.extend(encode_value(wire)?);
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(BatchError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a batch; a record of a later program version becomes [`LedgerRecord::Unknown`].
    ///
    /// # Errors
    /// [`BatchError`] if the format is unknown, the bytes are damaged or the batch is too large.
    pub fn decode(bytes: &[u8]) -> Result<Self, BatchError> {
        if bytes.len() > MAX_BATCH_BYTES {
            return Err(BatchError::TooLarge(bytes.len()));
        }
        let Some((format, body)) = bytes.split_first_chunk::<2>() else {
            return Err(BatchError::Damaged(
                "shorter than its format number".to_owned(),
            ));
        };
        let format = u16::from_le_bytes(*format);
        if format != BATCH_FORMAT {
            return Err(BatchError::UnknownFormat(format));
        }
        let wire: WireBatch = decode_value(body)?;
        let records = wire.records.into_iter().map(decode_record).collect();
        Ok(Self {
            writer: wire.writer,
            number: wire.number,
            records,
        })
    }
}

fn decode_record(bytes: Vec<u8>) -> LedgerRecord {
    decode_value(&bytes).unwrap_or(LedgerRecord::Unknown { bytes })
}
