//! HTTP path, headers and body reading shared by both sides of a connection.

use bytes::{Bytes, BytesMut};
use h2::RecvStream;

use crate::MAX_FRAME_BYTES;

/// Path of all requests.
pub(crate) const PATH: &str = "/peer";
/// Request header with the VM that the caller claims to be.
pub(crate) const HEADER_VM: &str = "x-toucan-vm";
/// Request header with the data centre that the caller claims to be in.
pub(crate) const HEADER_DATA_CENTRE: &str = "x-toucan-data-centre";
/// Response header with the newest frame version that the server supports, set when it refuses a
/// newer one.
pub(crate) const HEADER_FRAME_VERSION: &str = "x-toucan-frame-version";

/// Error of reading the body of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    TooLarge,
    Broken,
}

/// Reads a complete body of at most [`MAX_FRAME_BYTES`].
pub(crate) async fn read_body(mut body: RecvStream) -> Result<Bytes, BodyError> {
    let mut whole = BytesMut::new();
    while let Some(part) = body.data().await {
        let Ok(part) = part else {
            return Err(BodyError::Broken);
        };
        if whole.len() + part.len() > MAX_FRAME_BYTES {
            return Err(BodyError::TooLarge);
        }
        // Extends the flow-control window, without which the peer would stop sending.
        if body.flow_control().release_capacity(part.len()).is_err() {
            return Err(BodyError::Broken);
        }
        whole.extend_from_slice(&part);
    }
    Ok(whole.freeze())
}
