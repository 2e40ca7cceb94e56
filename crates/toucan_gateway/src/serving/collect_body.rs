//! Collects the body of a response within limits of memory.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use hyper::body::Incoming;

use crate::{
    buffers::{ByteClaim, CallBuffers},
    placement::CallOutcome,
};

use super::send::next_bytes;

/// Maximum size of a response that is collected. Streams of events are not.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// a response cannot be collected: {0}
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub(crate) enum CollectError {
    /// its connection failed
    Connection(CallOutcome),
    /// it is larger than allowed
    TooLarge,
    /// it and others together are larger than allowed
    OutOfMemory,
}

impl std::error::Error for CollectError {}

/// Reads a body to its end; `claim` grows with it.
///
/// # Errors
///
/// [`CollectError`] if it breaks off or is too large. Dropping the body then closes the connection.
pub(crate) async fn collect_body(
    buffers: &CallBuffers,
    claim: &mut ByteClaim,
    body: &mut Incoming,
) -> Result<Bytes, CollectError> {
    let free_bytes = buffers.budget.accounts().limits().free_whole_answer_bytes;
    let mut collected = BytesMut::new();
    while let Some(bytes) = next_bytes(body).await {
        let bytes = bytes
            .map_err(|error| CollectError::Connection(CallOutcome::of_connection_error(&error)))?;
        let size = collected.len() + bytes.len();
        if size > MAX_RESPONSE_BYTES {
            return Err(CollectError::TooLarge);
        }
        let counted_bytes = (size as u64).saturating_sub(free_bytes);
        let grown = buffers.grow(claim, counted_bytes).await;
        grown.map_err(|_reached| CollectError::OutOfMemory)?;
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
