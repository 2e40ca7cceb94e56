//! Frames: a version byte followed by a message in the format of that version.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Reply, Request, wire_v1, wire_v2};

/// Newest supported frame version.
pub const NEWEST_FRAME_VERSION: u8 = 2;
/// Oldest supported frame version.
pub const OLDEST_FRAME_VERSION: u8 = 1;
/// Maximum size of a frame in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Error of encoding or decoding a frame.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub enum FrameError {
    /// the frame is empty
    Empty,
    /// the frame has {size_bytes} bytes, more than the limit
    TooLarge {
        /// Size of the frame in bytes.
        size_bytes: usize,
    },
    /// the frame has version {version}, which this program does not understand
    UnknownVersion {
        /// Version of the frame.
        version: u8,
    },
    /// the frame is not a message of its version
    Malformed,
    /// the frame has {extra_bytes} bytes after its message
    Trailing {
        /// Number of bytes after the message.
        extra_bytes: usize,
    },
    /// the message has no form in version {version}
    NotInVersion {
        /// Requested version.
        version: u8,
    },
}

impl std::error::Error for FrameError {}

/// Encodes a request as a frame of the given version.
///
/// # Errors
///
/// [`FrameError::NotInVersion`], [`FrameError::UnknownVersion`] or [`FrameError::TooLarge`].
pub fn encode_request(request: &Request, version: u8) -> Result<Bytes, FrameError> {
    match version {
        1 => {
            let Ok(wire) = wire_v1::RequestWire::try_from(request.clone()) else {
                return Err(FrameError::NotInVersion { version });
            };
            encode(&wire, version)
        }
        2 => encode(&wire_v2::RequestWire::from(request.clone()), version),
        version => Err(FrameError::UnknownVersion { version }),
    }
}

/// Decodes a request and returns it with its version, which its reply must use.
///
/// # Errors
///
/// [`FrameError`] if the frame is not exactly one request of a supported version.
pub fn decode_request(frame: &[u8]) -> Result<(Request, u8), FrameError> {
    let (version, body) = split_version(frame)?;
    let request = match version {
        1 => Request::from(decode::<wire_v1::RequestWire>(body)?),
        2 => Request::from(decode::<wire_v2::RequestWire>(body)?),
        version => return Err(FrameError::UnknownVersion { version }),
    };
    Ok((request, version))
}

/// Encodes a reply as a frame of the given version, which is that of its request.
///
/// # Errors
///
/// [`FrameError::UnknownVersion`] or [`FrameError::TooLarge`].
pub fn encode_reply(reply: &Reply, version: u8) -> Result<Bytes, FrameError> {
    if !(OLDEST_FRAME_VERSION..=NEWEST_FRAME_VERSION).contains(&version) {
        return Err(FrameError::UnknownVersion { version });
    }
    // Both versions encode replies the same way, but version 1 has no heartbeat reply.
    let reply = match reply {
        Reply::Heartbeat(_) if version == 1 => Reply::Done,
        reply => reply.clone(),
    };
    encode(&wire_v2::ReplyWire::from(reply), version)
}

/// Decodes a reply.
///
/// # Errors
///
/// [`FrameError`] if the frame is not exactly one reply of a supported version.
pub fn decode_reply(frame: &[u8]) -> Result<Reply, FrameError> {
    let (version, body) = split_version(frame)?;
    if !(OLDEST_FRAME_VERSION..=NEWEST_FRAME_VERSION).contains(&version) {
        return Err(FrameError::UnknownVersion { version });
    }
    Ok(Reply::from(decode::<wire_v2::ReplyWire>(body)?))
}

const fn bincode_config() -> impl bincode::config::Config {
    // The limit prevents a forged length from causing a large allocation.
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

fn split_version(frame: &[u8]) -> Result<(u8, &[u8]), FrameError> {
    if frame.len() > MAX_FRAME_BYTES {
        let size_bytes = frame.len();
        return Err(FrameError::TooLarge { size_bytes });
    }
    let Some((version, body)) = frame.split_first() else {
        return Err(FrameError::Empty);
    };
    Ok((*version, body))
}

fn encode(message: &impl Serialize, version: u8) -> Result<Bytes, FrameError> {
    let mut frame = vec![version];
    bincode::serde::encode_into_std_write(message, &mut frame, bincode_config())
        .map_err(|_| FrameError::Malformed)?;
    if frame.len() > MAX_FRAME_BYTES {
        let size_bytes = frame.len();
        return Err(FrameError::TooLarge { size_bytes });
    }
    Ok(Bytes::from(frame))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    let (message, read) = bincode::serde::decode_from_slice::<T, _>(body, bincode_config())
        .map_err(|_| FrameError::Malformed)?;
    if read != body.len() {
        let extra_bytes = body.len() - read;
        return Err(FrameError::Trailing { extra_bytes });
    }
    Ok(message)
}
