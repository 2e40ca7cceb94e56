//! Limits of one client.

/// Limits of one client in time, bytes and connections.
///
/// ```
/// use toucan_platform::ClientSettings;
///
/// let settings = ClientSettings::default().with_max_response_bytes(1024);
/// assert_eq!(settings.max_response_bytes, 1024);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time until a connection has taken the request, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time from the sending of a request to the head of its answer, in milliseconds.
    pub first_byte_timeout_ms: u64,
    /// Longest time without a byte within an answer, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time without a token after which a stream is also asked for over another connection, in
    /// milliseconds.
    pub standby_after_ms: u64,
    /// Longest time for which an unused connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Most unused connections kept for one address.
    pub max_idle_connections: usize,
    /// Largest answer taken, in bytes; of a stream, the sum of its events.
    pub max_response_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            first_byte_timeout_ms: 10_000,
            read_timeout_ms: 10_000,
            standby_after_ms: 2_000,
            idle_timeout_ms: 10_000,
            max_idle_connections: 64,
            max_response_bytes: 32 * 1024 * 1024,
        }
    }
}

impl ClientSettings {
    /// Sets the longest time until the head of an answer, in milliseconds.
    #[must_use]
    pub fn with_first_byte_timeout_ms(mut self, first_byte_timeout_ms: u64) -> Self {
        self.first_byte_timeout_ms = first_byte_timeout_ms;
        self
    }

    /// Sets the longest time without a byte, in milliseconds.
    #[must_use]
    pub fn with_read_timeout_ms(mut self, read_timeout_ms: u64) -> Self {
        self.read_timeout_ms = read_timeout_ms;
        self
    }

    /// Sets the time without a token after which another connection is tried, in milliseconds.
    #[must_use]
    pub fn with_standby_after_ms(mut self, standby_after_ms: u64) -> Self {
        self.standby_after_ms = standby_after_ms;
        self
    }

    /// Sets the largest answer taken, in bytes.
    #[must_use]
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.max_response_bytes = max_response_bytes;
        self
    }
}
