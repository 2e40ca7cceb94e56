//! What the content of an answer says of its own end.

use http::{HeaderMap, header};
use serde::de::IgnoredAny;

/// What the content of an answer says of its own end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ContentEnd {
    /// Nothing can follow.
    Shown,
    /// More may follow.
    Open,
}

impl ContentEnd {
    /// Returns what a stream says that holds this many tokens, of `max_tokens` that its caller allows.
    pub(crate) const fn of_stream(tokens: u64, max_tokens: u64) -> Self {
        if max_tokens > 0 && tokens >= max_tokens {
            Self::Shown
        } else {
            Self::Open
        }
    }

    /// Returns what a whole body says: a JSON object or array shows where it ends, other bodies do not.
    pub(crate) fn of_body(headers: &HeaderMap, body: &[u8]) -> Self {
        if is_json(headers) && is_closed_document(body) {
            Self::Shown
        } else {
            Self::Open
        }
    }
}

fn is_json(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let media_type = content_type.and_then(|value| value.split(';').next());
    media_type.is_some_and(|media_type| {
        let media_type = media_type.trim().to_ascii_lowercase();
        media_type == "application/json" || media_type.ends_with("+json")
    })
}

/// Returns whether a body is a closed object or array. The beginning of a number is a number too, so others say nothing.
fn is_closed_document(body: &[u8]) -> bool {
    let first = body.iter().find(|byte| !byte.is_ascii_whitespace());
    matches!(first, Some(b'{' | b'[')) && serde_json::from_slice::<IgnoredAny>(body).is_ok()
}
