//! Settings of the load.

/// Settings of the load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Requests started per second, whether or not earlier ones have ended.
    pub requests_per_s: u64,
    /// Time during which requests are started, in milliseconds.
    pub duration_ms: u64,
    /// Fraction of the requests that are calls of the plain service, in thousandths.
    pub service_permille: u64,
    /// Fraction of the model requests that are streamed, in thousandths.
    pub streamed_permille: u64,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Time without received data after which a caller gives up an attempt, in milliseconds.
    pub read_timeout_ms: u64,
    /// Seed of the requests.
    pub seed: u64,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            requests_per_s: 40,
            duration_ms: 10_000,
            service_permille: 150,
            streamed_permille: 800,
            max_attempts: 5,
            read_timeout_ms: 12_000,
            seed: 1,
        }
    }
}
