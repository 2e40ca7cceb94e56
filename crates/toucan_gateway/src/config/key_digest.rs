//! Digests of callers' keys.

/// Digest of a caller's key; the key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    ///
    /// Keys are long random strings, so a plain digest cannot be inverted by trying them out, and a
    /// look-up by digest tells nothing by its time.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}
