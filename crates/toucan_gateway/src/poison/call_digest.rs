//! Recognises a call that comes again.

use std::fmt;

/// Context of the hash, so that it equals no other one of the same bytes.
const CONTEXT: &str = "toucanthread gateway 2026-12 digest of a call that comes again";
/// Length of a digest. No caller can find two calls with the same one.
const DIGEST_BYTES: usize = 16;

/// Digest of what stays the same when a caller makes a call again, the same in every gateway.
///
/// Another attempt has another id and another deadline. The digest does not reveal the body or the key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CallDigest([u8; DIGEST_BYTES]);

/// What stays the same when a caller makes a call again.
#[derive(Clone, Copy, Debug)]
pub struct CallIdentity<'a> {
    /// Organisation that makes the call; empty if it has no key.
    pub organisation: &'a str,
    /// Method of the request.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query of the request.
    pub path: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
}

impl CallIdentity<'_> {
    /// Returns the digest. It takes the time to hash the body.
    #[must_use]
    pub fn digest(&self) -> CallDigest {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        let fields = [self.organisation, self.method, self.host, self.path];
        for field in fields.map(str::as_bytes).into_iter().chain([self.body]) {
            // The length keeps the end of one field from counting as the beginning of the next one.
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        CallDigest(digest)
    }
}

impl CallDigest {
    /// Parses the text that [`fmt::Display`] writes; [`None`] if it is another one.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let digest = u128::from_str_radix(text, 16).ok()?;
        (text.len() == 2 * DIGEST_BYTES).then(|| Self(digest.to_be_bytes()))
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
