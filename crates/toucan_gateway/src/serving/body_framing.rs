//! How the end of a response's body is marked.

use http::{HeaderMap, header};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// No response was received.
    #[default]
    None,
    /// By the length in the headers.
    Length,
    /// By an empty last chunk.
    Chunks,
    /// By the close of the connection, which a target that fails causes as well.
    Close,
}

impl BodyFraming {
    /// Returns the framing of a response with these headers.
    pub(crate) fn of_response(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Returns the name used in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}
