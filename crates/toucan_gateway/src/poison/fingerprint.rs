//! What a call is suspected for.

use std::{fmt, str::FromStr};

use displaydoc::Display;

use crate::wire_format::PartId;

use super::CallDigest;

/// Prefix of the digest of a call in the text of a fingerprint.
const CALL_PREFIX: &str = "call-";

/// What a call has in common with others under which targets ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub enum Fingerprint {
    /// A part of its prompt.
    Part(PartId),
    /// All of it: the same call comes again.
    Call(CallDigest),
}

impl Fingerprint {
    /// Returns whether it is of a whole call.
    #[must_use]
    pub const fn is_call(&self) -> bool {
        matches!(self, Self::Call(_))
    }
}

impl fmt::Display for Fingerprint {
    /// Writes the fingerprint for logs, and as the key of a record.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => part.fmt(f),
            Self::Call(digest) => write!(f, "{CALL_PREFIX}{digest}"),
        }
    }
}

/// the text is no fingerprint
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct FingerprintError;

impl std::error::Error for FingerprintError {}

impl FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        if let Some(digest) = text.strip_prefix(CALL_PREFIX) {
            return CallDigest::from_hex(digest)
                .map(Self::Call)
                .ok_or(FingerprintError);
        }
        let part = u64::from_str_radix(text, 16).map_err(|_no_number| FingerprintError)?;
        Ok(Self::Part(PartId(part)))
    }
}
