//! How the end of a response's body is marked.

use http::{HeaderMap, header};
use http_body::Body;
use hyper::body::Incoming;

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
    /// Returns the framing of a response with these headers, of whose body nothing was read yet.
    pub(crate) fn of_response(headers: &HeaderMap, body: &Incoming) -> Self {
        // A response to which no body belongs, such as one with status 204, has ended already.
        if body.is_end_stream() || body.size_hint().exact().is_some() {
            Self::Length
        } else if has_chunks(headers) {
            Self::Chunks
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

/// Returns whether chunks are the last of the transfer codings, without which the connection marks the end.
fn has_chunks(headers: &HeaderMap) -> bool {
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let codings = codings.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
