//! Requests to engines and the errors of dispatching them.

use bytes::Bytes;
use toucan_types::RequestId;

/// A request to an engine; the response is a stream of tokens.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Identifier of the stream at the engine.
    pub request: RequestId,
    /// Body: a [`ChatRequest`](crate::formats::ChatRequest) with `stream: true`.
    pub body: Bytes,
    /// Priority; requests with larger values are served first.
    pub priority: i64,
    /// Longest time until the response head arrives, in milliseconds.
    pub first_byte_timeout_ms: u64,
}

/// Error of starting or resuming a stream.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DispatchError {
    /// not run: the request was not sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// the engine refuses with status {status}
    Refused {
        /// HTTP status; 409 if a stream with this id already exists at the engine, 404 if the
        /// stream to resume does not exist.
        status: u16,
        /// Retry delay requested by the engine, in milliseconds.
        retry_after_ms: u64,
        /// Response body; empty if it could not be read.
        body: Bytes,
    },
    /// unknown whether the engine runs the request: {reason}
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl std::error::Error for DispatchError {}
