//! Limits of what is remembered of plain calls.

/// Limits of what a node remembers of the plain calls that it served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayLimits {
    /// Most ended calls that are remembered.
    pub max_calls: usize,
    /// Most bytes of answers that are held for retries; 0 holds none.
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
