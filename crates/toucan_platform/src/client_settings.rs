//! Limits of a client.

/// Time, size and connection limits of a client.
///
/// ```
/// use toucan_platform::ClientSettings;
///
/// let settings = ClientSettings::default().with_max_response_bytes(1024);
/// assert_eq!(settings.max_response_bytes, 1024);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest time until a connection starts to send the request, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Longest time from sending a request to receiving the response head, in milliseconds.
    pub first_byte_timeout_ms: u64,
    /// Longest time without a byte while a response body is read, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time without an event after which a stream is also requested over a standby connection, in
    /// milliseconds.
    pub standby_after_ms: u64,
    /// Longest time for which an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum number of idle connections per address.
    pub max_idle_connections: usize,
    /// Maximum size of a response in bytes; for a stream, the total size of its events.
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
    /// Sets the longest time until the response head arrives, in milliseconds.
    #[must_use]
    pub fn with_first_byte_timeout_ms(mut self, first_byte_timeout_ms: u64) -> Self {
        self.first_byte_timeout_ms = first_byte_timeout_ms;
        self
    }

    /// Sets the longest time without a byte in a response body, in milliseconds.
    #[must_use]
    pub fn with_read_timeout_ms(mut self, read_timeout_ms: u64) -> Self {
        self.read_timeout_ms = read_timeout_ms;
        self
    }

    /// Sets the time without an event after which a standby connection is opened, in milliseconds.
    #[must_use]
    pub fn with_standby_after_ms(mut self, standby_after_ms: u64) -> Self {
        self.standby_after_ms = standby_after_ms;
        self
    }

    /// Sets the maximum size of a response, in bytes.
    #[must_use]
    pub fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.max_response_bytes = max_response_bytes;
        self
    }
}
