//! Errors of requests to peers.

use crate::{FrameError, PeerNameError};

/// Error of a request to a peer.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum LinkError {
    /// not sent: no connection: {reason}
    NotConnected {
        /// Description of the failure.
        reason: String,
    },
    /// not sent: the TLS handshake failed: {reason}
    Untrusted {
        /// Description of the failure.
        reason: String,
    },
    /// not sent: {0}
    Name(PeerNameError),
    /// not sent: {0}
    Request(FrameError),
    /// the peer refused the request with status {status}: {reason}
    Refused {
        /// HTTP status code.
        status: u16,
        /// Reason given by the peer.
        reason: String,
    },
    /// unknown whether the peer has the request: the connection became silent
    Silent,
    /// unknown whether the peer has the request: the connection broke
    Broken,
    /// unknown whether the peer has the request: no reply in time
    TimedOut,
    /// the peer has the request, but its reply cannot be decoded: {0}
    Reply(FrameError),
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Returns whether the peer has certainly not acted on the request.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        match self {
            Self::NotConnected { .. }
            | Self::Untrusted { .. }
            | Self::Name(_)
            | Self::Request(_) => true,
            // The peer sends this status after it has acted, and every other one before.
            Self::Refused { status, .. } => *status != 500,
            Self::Silent | Self::Broken | Self::TimedOut | Self::Reply(_) => false,
        }
    }
}
