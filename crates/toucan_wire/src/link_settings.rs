//! Limits of a link to a peer.

/// Limits of a link to a peer.
///
/// ```
/// use toucan_wire::LinkSettings;
///
/// let settings = LinkSettings::default().with_silent_after_ms(500);
/// assert_eq!(settings.silent_after_ms, 500);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Longest time until a connection stands, with its keys agreed, in milliseconds.
    pub connect_ms: u64,
    /// Longest time from a request to its reply, in milliseconds.
    pub reply_timeout_ms: u64,
    /// Time without a byte from the peer after which it is pinged while a reply is due, in
    /// milliseconds.
    pub busy_ping_after_ms: u64,
    /// Time without a byte from the peer after which it is pinged while no reply is due, in
    /// milliseconds.
    pub idle_ping_after_ms: u64,
    /// Time without a byte from the peer, in spite of a ping, after which the connection is left,
    /// in milliseconds.
    pub silent_after_ms: u64,
    /// First delay after a failed attempt to connect, in milliseconds.
    pub backoff_ms: u64,
    /// Longest delay after failed attempts to connect, in milliseconds.
    pub backoff_limit_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            connect_ms: 2_000,
            reply_timeout_ms: 10_000,
            busy_ping_after_ms: 500,
            idle_ping_after_ms: 5_000,
            silent_after_ms: 2_000,
            backoff_ms: 100,
            backoff_limit_ms: 3_000,
        }
    }
}

impl LinkSettings {
    /// Sets the longest time from a request to its reply, in milliseconds.
    #[must_use]
    pub fn with_reply_timeout_ms(mut self, reply_timeout_ms: u64) -> Self {
        self.reply_timeout_ms = reply_timeout_ms;
        self
    }

    /// Sets the time without a byte after which a connection is left, in milliseconds.
    #[must_use]
    pub fn with_silent_after_ms(mut self, silent_after_ms: u64) -> Self {
        self.silent_after_ms = silent_after_ms;
        self
    }
}
