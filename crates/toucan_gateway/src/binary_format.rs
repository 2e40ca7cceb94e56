//! Binary encoding of datagrams and records.

use bincode::{
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a datagram's content or of a record's value. A length that the sender claims is not
/// believed beyond it.
const MAX_CONTENT_BYTES: usize = 64 * 1024;

/// Encodes a value.
pub(crate) fn encode(value: &impl Serialize) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(value, format())
}

/// Decodes a value.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, _read) = bincode::serde::decode_from_slice(bytes, format())?;
    Ok(value)
}

const fn format() -> Configuration<LittleEndian, Varint, Limit<MAX_CONTENT_BYTES>> {
    bincode::config::standard().with_limit::<MAX_CONTENT_BYTES>()
}
