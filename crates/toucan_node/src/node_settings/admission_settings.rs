//! Limits of the admission of requests.

/// Limits of the admission of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Maximum number of queued requests of one service.
    pub max_queued_requests: usize,
    /// Maximum wait for tokens from live peers and the log, in milliseconds.
    pub grant_timeout_ms: u64,
    /// Maximum time until a response begins, in milliseconds; a caller may request less.
    pub max_wait_ms: u64,
    /// Capacity of each duty's ring, in messages.
    pub ring_capacity: usize,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_queued_requests: 2_048,
            grant_timeout_ms: 2_000,
            max_wait_ms: 60_000,
            ring_capacity: 8_192,
        }
    }
}
