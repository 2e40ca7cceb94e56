//! API keys as presented by callers and operators.

use displaydoc::Display;

/// Prefix of every key.
const KEY_PREFIX: &str = "tt";
/// Minimum length of a secret in characters.
const MIN_SECRET_CHARS: usize = 16;
/// Maximum length of a key in characters.
const MAX_KEY_CHARS: usize = 256;

/// A presented key, `tt_<key id>_<secret>`.
///
/// [`Debug`](std::fmt::Debug) output omits the secret.
///
/// ```
/// use toucan_config::ApiKey;
///
/// let key = ApiKey::parse("tt_k1_0123456789abcdef")?;
/// assert_eq!(key.key_id(), "k1");
/// assert_eq!(format!("{key:?}"), "ApiKey { key_id: \"k1\", .. }");
/// # Ok::<(), toucan_config::ApiKeyError>(())
/// ```
///
/// The document stores the [`HashedKey`](crate::HashedKey) instead.
#[derive(Clone, Copy)]
pub struct ApiKey<'a> {
    key_id: &'a str,
    secret: &'a str,
}

/// Error when parsing a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ApiKeyError {
    /// the key is longer than 256 characters
    TooLong,
    /// the key does not have the form `tt_KEYID_SECRET`
    Form,
    /// the secret is shorter than 16 characters
    ShortSecret,
}

impl std::error::Error for ApiKeyError {}

impl<'a> ApiKey<'a> {
    /// Parses a key into key id and secret.
    pub fn parse(text: &'a str) -> Result<Self, ApiKeyError> {
        if text.len() > MAX_KEY_CHARS {
            return Err(ApiKeyError::TooLong);
        }
        let mut parts = text.splitn(3, '_');
        let (Some(KEY_PREFIX), Some(key_id), Some(secret)) =
            (parts.next(), parts.next(), parts.next())
        else {
            return Err(ApiKeyError::Form);
        };
        let is_plain = |part: &str| part.bytes().all(|byte| byte.is_ascii_graphic());
        if key_id.is_empty() || !is_plain(key_id) || !is_plain(secret) {
            return Err(ApiKeyError::Form);
        }
        if secret.len() < MIN_SECRET_CHARS {
            return Err(ApiKeyError::ShortSecret);
        }
        Ok(Self { key_id, secret })
    }

    /// Returns the identifier of the key's hash in the document.
    #[must_use]
    pub const fn key_id(&self) -> &'a str {
        self.key_id
    }

    pub(crate) const fn secret(&self) -> &'a str {
        self.secret
    }
}

impl std::fmt::Debug for ApiKey<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ApiKey")
            .field("key_id", &self.key_id)
            .finish_non_exhaustive()
    }
}
