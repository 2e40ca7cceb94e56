//! Salted hash of a key's secret.

use subtle::ConstantTimeEq;

use crate::ApiKey;

/// Context of the key derivation; changing it invalidates every key.
const HASH_CONTEXT: &str = "toucanthread 2026 api key v1";

/// Salted hash of a secret, as stored in the document.
///
/// The hash is keyed by the salt, so equal secrets with different salts have different hashes.
/// Secrets are long random strings, so a slow password hash is not needed.
///
/// ```
/// use toucan_config::{ApiKey, HashedKey};
///
/// let key = ApiKey::parse("tt_k1_0123456789abcdef").expect("the key is well formed");
/// let hashed = HashedKey::new(&key, [7; 16]);
/// assert!(hashed.matches(&key));
/// let other = ApiKey::parse("tt_k1_0123456789abcdeX").expect("the key is well formed");
/// assert!(!hashed.matches(&other));
/// ```
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct HashedKey {
    salt: [u8; 16],
    hash: [u8; 32],
}

impl HashedKey {
    /// Hashes the secret of a key; `salt` must be random.
    #[must_use]
    pub fn new(key: &ApiKey<'_>, salt: [u8; 16]) -> Self {
        Self {
            salt,
            hash: Self::hash_of(key, &salt),
        }
    }

    /// Parses salt and hash from 32 and 64 hexadecimal digits.
    #[must_use]
    pub fn from_hex(salt: &str, hash: &str) -> Option<Self> {
        Some(Self {
            salt: bytes_of_hex(salt)?,
            hash: bytes_of_hex(hash)?,
        })
    }

    /// Returns whether the key's secret has this hash; compares in constant time.
    #[must_use]
    pub fn matches(&self, key: &ApiKey<'_>) -> bool {
        Self::hash_of(key, &self.salt).ct_eq(&self.hash).into()
    }

    /// Returns the salt in hexadecimal digits.
    #[must_use]
    pub fn salt_hex(&self) -> String {
        hex_of_bytes(&self.salt)
    }

    /// Returns the hash in hexadecimal digits.
    #[must_use]
    pub fn hash_hex(&self) -> String {
        hex_of_bytes(&self.hash)
    }

    fn hash_of(key: &ApiKey<'_>, salt: &[u8; 16]) -> [u8; 32] {
        let salt_key = blake3::derive_key(HASH_CONTEXT, salt);
        *blake3::keyed_hash(&salt_key, key.secret().as_bytes()).as_bytes()
    }
}

impl std::fmt::Debug for HashedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HashedKey").finish_non_exhaustive()
    }
}

fn hex_of_bytes(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (at, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
    }
    Some(bytes)
}
