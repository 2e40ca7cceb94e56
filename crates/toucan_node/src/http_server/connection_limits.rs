//! Limits of one HTTP server on its connections.

/// Limits of one HTTP server on its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most open connections; a connection over it is closed at once and counted.
    pub max_connections: usize,
    /// Longest time in milliseconds that a connection may take for a request's header, which is
    /// also the longest that an unused connection stays open.
    pub header_timeout_ms: u64,
    /// Most bytes of a request's header.
    pub max_header_bytes: usize,
    /// Most header fields of a request.
    pub max_header_fields: usize,
    /// Longest time in milliseconds for which a caller may take no byte of its answer; then its
    /// connection is closed and counted.
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
