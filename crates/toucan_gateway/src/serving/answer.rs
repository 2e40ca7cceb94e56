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

use crate::Refusal;

/// Range of the random factor applied to `Retry-After`.
const RETURN_SPREAD: std::ops::Range<f64> = 0.8..1.4;

/// the answer ended before it was complete
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct IncompleteAnswer;

impl std::error::Error for IncompleteAnswer {}

/// Body of a response.
pub(crate) enum AnswerBody<S> {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Body that is forwarded as it arrives.
    Relayed(Pin<Box<S>>),
}

impl<S> Body for AnswerBody<S>
where
    S: futures_util::Stream<Item = Result<Bytes, IncompleteAnswer>>,
{
    type Data = Bytes;
    type Error = IncompleteAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Relayed(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relayed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relayed(_) => SizeHint::default(),
        }
    }
}

/// Builds the response to a call that the gateway refuses.
pub(crate) fn refusal_answer<S>(refusal: Refusal) -> Response<AnswerBody<S>> {
    let text = serde_json::json!({
        "error": refusal.name(),
        "message": refusal.to_string(),
        "ran": if refusal.is_not_run() { "no" } else { "unknown" },
    });
    let body = Bytes::from(text.to_string());
    let mut response = Response::new(AnswerBody::Whole(Full::new(body)));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if refusal == Refusal::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(wait) = refusal.retry_after() {
        // Jitter keeps callers that are refused together from retrying at the same time.
        let spread = rand::rng().random_range(RETURN_SPREAD);
        let seconds = format!("{:.3}", wait.as_secs_f64() * spread);
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
pub(crate) fn text_answer<S>(status: StatusCode, text: String) -> Response<AnswerBody<S>> {
    let mut response = Response::new(AnswerBody::Whole(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    response
}
