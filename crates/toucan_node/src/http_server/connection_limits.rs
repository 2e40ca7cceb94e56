//! Limits on the connections of an HTTP server.

/// Limits on the connections of an HTTP server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of open connections; further ones are closed at once and counted.
    pub max_connections: usize,
    /// Timeout for the header of a request, in milliseconds; also the timeout of an idle
    /// connection.
    pub header_timeout_ms: u64,
    /// Maximum size of a request's header, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of header fields of a request.
    pub max_header_fields: usize,
    /// Maximum time in milliseconds for which a caller may read no byte of its response; after it
    /// the connection is closed and counted.
    pub write_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout_ms: 30_000,
            max_header_bytes: 64 * 1024,
            max_header_fields: 100,
            write_timeout_ms: 30_000,
        }
    }
}
