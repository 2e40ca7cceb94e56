//! Responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use rand::Rng;

use crate::{Refusal, buffers::ByteClaim};

use super::{caller_connection::ConnectionLimit, read_ahead::HeldEvents};

/// Range of the random factor applied to `Retry-After`.
const RETRY_AFTER_JITTER: std::ops::Range<f64> = 0.8..1.4;
/// The same if an earlier retry is certain to fail.
const EXACT_RETRY_AFTER_JITTER: std::ops::Range<f64> = 1.0..1.4;
/// The same if the time is already spread over the callers of this VM.
const SPREAD_RETRY_AFTER_JITTER: std::ops::Range<f64> = 1.0..1.1;

/// the answer ended before it was complete
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct IncompleteResponse;

impl std::error::Error for IncompleteResponse {}

/// Size of the pieces in which a whole answer is sent to a caller that may read slowly.
const PIECE_BYTES: usize = 16 * 1024;

/// Body of a response.
pub(crate) enum ResponseBody<S> {
    /// Complete body.
    Full(Full<Bytes>),
    /// Complete body for a caller that may read slowly.
    Pieces(BodyInPieces),
    /// Body that is read ahead of its caller.
    ReadAhead(HeldEvents),
    /// Body that is forwarded as it arrives.
    Stream(Pin<Box<S>>),
}

impl<S> Body for ResponseBody<S>
where
    S: futures_util::Stream<Item = Result<Bytes, IncompleteResponse>>,
{
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match self.get_mut() {
            Self::Full(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Pieces(body) => {
                Poll::Ready(body.next_piece().map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::ReadAhead(held) => held
                .poll_next(cx)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
            Self::Stream(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(body) => body.is_end_stream(),
            Self::Pieces(body) => body.rest.is_empty(),
            Self::ReadAhead(_) | Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(body) => body.size_hint(),
            Self::Pieces(body) => SizeHint::with_exact(body.rest.len() as u64),
            Self::ReadAhead(_) | Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Complete body that is sent in pieces, so that its memory counts until its caller has taken it.
pub(crate) struct BodyInPieces {
    rest: Bytes,
    claim: ByteClaim,
    _limit: ConnectionLimit,
}

impl BodyInPieces {
    /// Creates the body of an answer that is to be taken within a limit of time.
    pub(crate) const fn new(body: Bytes, claim: ByteClaim, limit: ConnectionLimit) -> Self {
        Self {
            rest: body,
            claim,
            _limit: limit,
        }
    }

    fn next_piece(&mut self) -> Option<Bytes> {
        if self.rest.is_empty() {
            return None;
        }
        let piece = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
        if self.rest.is_empty() {
            // Fails only if a claim grows. The pieces share one allocation.
            let _released = self.claim.set(0);
        }
        Some(piece)
    }
}

/// Builds the response to a call that the gateway refuses.
pub(crate) fn refusal_response<S>(refusal: Refusal) -> Response<ResponseBody<S>> {
    let text = serde_json::json!({
        "error": refusal.name(),
        "message": refusal.to_string(),
        "ran": if refusal.is_not_run() { "no" } else { "unknown" },
    });
    let body = Bytes::from(text.to_string());
    let mut response = Response::new(ResponseBody::Full(Full::new(body)));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if refusal.closes_connection() {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(wait) = refusal.retry_after() {
        // Jitter keeps callers that are refused together from retrying at the same time.
        let jitter = if matches!(refusal, Refusal::Overloaded { .. }) {
            SPREAD_RETRY_AFTER_JITTER
        } else if refusal.is_retry_after_exact() {
            EXACT_RETRY_AFTER_JITTER
        } else {
            RETRY_AFTER_JITTER
        };
        let jitter = rand::rng().random_range(jitter);
        let seconds = format!("{:.3}", wait.as_secs_f64() * jitter);
        match HeaderValue::try_from(seconds) {
            Ok(value) => {
                headers.insert(header::RETRY_AFTER, value);
            }
            Err(error) => log::error!(target: "call", error:% = error; "cannot set Retry-After"),
        }
    }
    response
}

/// Builds a plain-text response.
pub(crate) fn text_response<S>(status: StatusCode, text: String) -> Response<ResponseBody<S>> {
    let mut response = Response::new(ResponseBody::Full(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
}
