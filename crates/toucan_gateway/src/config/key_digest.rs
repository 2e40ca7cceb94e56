//! Digests of callers' keys.

/// Digest of a caller's key, stored instead of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// Keys are long random strings, so an unsalted digest cannot be inverted by brute force. A
    /// look-up by digest does not leak the key through its timing.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(*blake3::hash(key.as_bytes()).as_bytes())
    }
}
