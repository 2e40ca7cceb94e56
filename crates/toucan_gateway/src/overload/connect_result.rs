//! Result of an attempt to connect to a target.

/// Result of an attempt to connect to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectResult {
    /// The connection was established.
    Connected,
    /// Nothing came back within the timeout.
    TimedOut,
    /// The target's VM or the network refused the connection.
    Refused,
}
