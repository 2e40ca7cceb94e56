//! Limits of the cache of plain calls.

/// Limits of the cache of plain calls, from which a node replays responses to retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayLimits {
    /// Maximum number of finished calls in the cache.
    pub max_calls: usize,
    /// Maximum total size in bytes of the responses that are cached for retries; 0 caches none.
    pub max_response_bytes: usize,
}

impl Default for ReplayLimits {
    fn default() -> Self {
        Self {
            max_calls: 65_536,
            max_response_bytes: 64 * 1024 * 1024,
        }
    }
}
