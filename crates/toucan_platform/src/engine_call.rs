//! A request to an engine and why it did not start.

use bytes::Bytes;
use toucan_types::RequestId;

/// A request to an engine, answered by a stream of tokens.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Identifier under which the engine holds the stream.
    pub request: RequestId,
    /// Body, a [`ChatRequest`](crate::formats::ChatRequest) with `stream: true`.
    pub body: Bytes,
    /// Priority; larger goes first.
    pub priority: i64,
    /// Longest time until the head of the answer, in milliseconds.
    pub first_byte_timeout_ms: u64,
}

/// Why a stream did not start.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum DispatchError {
    /// not run: the request was not sent: {reason}
    NotSent {
        /// What failed.
        reason: String,
    },
    /// the engine refuses with status {status}
    Refused {
        /// HTTP status; 409 if the engine already holds a stream of this id, 404 if it does not
        /// hold the stream that is to be resumed.
        status: u16,
        /// Delay that the engine asks for, in milliseconds.
        retry_after_ms: u64,
        /// Body of the refusal; empty if it could not be read.
        body: Bytes,
    },
    /// unknown whether the engine runs the request: {reason}
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl std::error::Error for DispatchError {}
