//! Size and time limits of callers' connections.

/// Size and time limits of a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's header section.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: usize,
    /// Longest time in which a caller must send a request's header section.
    pub header_timeout_ms: u64,
    /// Longest time that a connection may be idle.
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
