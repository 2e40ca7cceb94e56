//! Timeouts and backoff of a link to a peer.

/// Timeouts and backoff of a link to a peer.
///
/// ```
/// use toucan_wire::LinkSettings;
///
/// let settings = LinkSettings::default().with_silent_after_ms(500);
/// assert_eq!(settings.silent_after_ms, 500);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Timeout of connecting, including the TLS handshake, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout from a request to its reply, in milliseconds.
    pub reply_timeout_ms: u64,
    /// Time without a byte from the peer after which it is pinged while a reply is pending, in
    /// milliseconds.
    pub busy_ping_after_ms: u64,
    /// Time without a byte from the peer after which it is pinged while no reply is pending, in
    /// milliseconds.
    pub idle_ping_after_ms: u64,
    /// Time without a byte from the peer, even after a ping, after which the connection is closed,
    /// in milliseconds.
    pub silent_after_ms: u64,
    /// Initial delay after a failed connection attempt, in milliseconds.
    pub initial_backoff_ms: u64,
    /// Maximum delay after failed connection attempts, in milliseconds.
    pub max_backoff_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 2_000,
            reply_timeout_ms: 10_000,
            busy_ping_after_ms: 500,
            idle_ping_after_ms: 5_000,
            silent_after_ms: 2_000,
            initial_backoff_ms: 100,
            max_backoff_ms: 3_000,
        }
    }
}

impl LinkSettings {
    /// Sets the timeout from a request to its reply, in milliseconds.
    #[must_use]
    pub fn with_reply_timeout_ms(mut self, reply_timeout_ms: u64) -> Self {
        self.reply_timeout_ms = reply_timeout_ms;
        self
    }

    /// Sets the time without a byte after which a connection is closed, in milliseconds.
    #[must_use]
    pub fn with_silent_after_ms(mut self, silent_after_ms: u64) -> Self {
        self.silent_after_ms = silent_after_ms;
        self
    }
}
