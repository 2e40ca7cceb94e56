//! Limits of the admission of requests.

/// Limits of the admission of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Most requests of one service that wait for a target.
    pub max_queued_requests: usize,
    /// Longest wait for tokens from neighbours and the log, in milliseconds.
    pub grant_timeout_ms: u64,
    /// Longest time until an answer begins, in milliseconds; a caller may ask for less.
    pub max_wait_ms: u64,
    /// Places in the ring of each duty.
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
