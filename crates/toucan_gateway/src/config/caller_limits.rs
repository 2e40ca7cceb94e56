//! What a caller may send, and how long it may take.

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time to send a request's head.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may stay idle.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
