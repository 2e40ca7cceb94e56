//! Opaque bytes in a frame.

use std::fmt;

use bytes::Bytes;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Opaque bytes, encoded as a length followed by the bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct WireBytes(pub(crate) Bytes);

impl Serialize for WireBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for WireBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = WireBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<WireBytes, E> {
        Ok(WireBytes(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<WireBytes, E> {
        Ok(WireBytes(Bytes::from(bytes)))
    }
}
