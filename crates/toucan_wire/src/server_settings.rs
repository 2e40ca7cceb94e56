//! Limits and timeouts of the peer server.

/// Limits and timeouts of the peer server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerServerSettings {
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of requests in flight on one connection.
    pub max_requests_per_connection: u32,
    /// Timeout of the TLS handshake, and again of the HTTP/2 handshake, in milliseconds.
    pub handshake_timeout_ms: u64,
    /// Timeout from the headers of a request to its last byte, in milliseconds.
    pub request_timeout_ms: u64,
    /// Time without a byte from a peer after which its connection is closed, in milliseconds; peers
    /// ping more often than that.
    pub silent_after_ms: u64,
}

impl Default for PeerServerSettings {
    fn default() -> Self {
        Self {
            max_connections: 1_024,
            max_requests_per_connection: 128,
            handshake_timeout_ms: 3_000,
            request_timeout_ms: 10_000,
            silent_after_ms: 20_000,
        }
    }
}
