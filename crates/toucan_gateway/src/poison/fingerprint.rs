//! What a call is suspected for.

use std::{fmt, num::ParseIntError, str::FromStr};

use crate::wire_format::PartId;

/// What a call has in common with others under which targets ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Fingerprint {
    /// A part of its prompt.
    Part(PartId),
}

impl fmt::Display for Fingerprint {
    /// Writes the fingerprint for logs, and as the key of a record.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
        }
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(|part| Self::Part(PartId(part)))
    }
}
