//! Events of a token stream.

use bytes::Bytes;

use crate::formats::ChatUsage;

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// One token; indices are consecutive.
    Token {
        /// Index of the token, from 0.
        index: u64,
        /// Event data: a [`ChatChunk`](crate::formats::ChatChunk) as JSON.
        data: Bytes,
    },
    /// Token usage, near the end of the stream.
    Usage {
        /// Tokens used.
        usage: ChatUsage,
        /// Event data as JSON.
        data: Bytes,
    },
    /// End of a complete stream.
    Done,
}

/// Error of a stream that ended before [`EngineEvent::Done`].
///
/// The stream may still be running at the engine and can be resumed there from `next_token`.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum StreamError {
    /// the connection broke before token {next_token}
    Broken {
        /// Index of the first token that is missing.
        next_token: u64,
    },
    /// no token and no byte before token {next_token} for the longest time allowed
    Silent {
        /// Index of the first token that is missing.
        next_token: u64,
    },
    /// the engine sent an event that is not understood before token {next_token}
    Malformed {
        /// Index of the first token that is missing.
        next_token: u64,
    },
}

impl std::error::Error for StreamError {}

impl StreamError {
    /// Returns the index of the first missing token.
    #[must_use]
    pub const fn next_token(self) -> u64 {
        let (Self::Broken { next_token }
        | Self::Silent { next_token }
        | Self::Malformed { next_token }) = self;
        next_token
    }
}
