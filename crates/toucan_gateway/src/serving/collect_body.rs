//! Collects the body of a response within limits of memory.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use hyper::body::Incoming;

use crate::placement::CallOutcome;

use super::send::next_bytes;

/// Maximum size of a response that is collected. Streams of events are not.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of all responses that are being collected, without what each may have.
const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a response may be collected however large the others are.
const FREE_BYTES: usize = 64 * 1024;

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

/// Memory of the responses that are being collected.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResponseMemory {
    used_bytes: Rc<Cell<usize>>,
}

/// Memory of one response, which is given back on drop.
struct MemoryClaim<'a> {
    memory: &'a ResponseMemory,
    bytes: usize,
}

impl MemoryClaim<'_> {
    /// Claims what a response of `size` bytes needs in all.
    fn grow_to(&mut self, size: usize) -> Result<(), CollectError> {
        if size > MAX_RESPONSE_BYTES {
            return Err(CollectError::TooLarge);
        }
        let needed = size.saturating_sub(FREE_BYTES).saturating_sub(self.bytes);
        let used = self.memory.used_bytes.get() + needed;
        if used > MAX_TOTAL_BYTES {
            return Err(CollectError::OutOfMemory);
        }
        self.memory.used_bytes.set(used);
        self.bytes += needed;
        Ok(())
    }
}

impl Drop for MemoryClaim<'_> {
    fn drop(&mut self) {
        let used = self.memory.used_bytes.get();
        self.memory.used_bytes.set(used.saturating_sub(self.bytes));
    }
}

impl ResponseMemory {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// [`CollectError`] if it breaks off or is too large. Dropping the body then closes the connection.
    pub(crate) async fn collect(&self, body: &mut Incoming) -> Result<Bytes, CollectError> {
        let mut claim = MemoryClaim {
            memory: self,
            bytes: 0,
        };
        let mut collected = BytesMut::new();
        while let Some(bytes) = next_bytes(body).await {
            let bytes = bytes.map_err(|error| {
                CollectError::Connection(CallOutcome::of_connection_error(&error))
            })?;
            claim.grow_to(collected.len() + bytes.len())?;
            collected.extend_from_slice(&bytes);
        }
        Ok(collected.freeze())
    }
}
