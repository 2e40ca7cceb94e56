//! HTTP requests of the clients, and reading of response bodies.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body_util::BodyExt;
use tokio::time::{Duration, timeout};
use volo_http::body::Body;

/// Retry delay if the response has no `Retry-After`, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) first_byte_timeout_ms: u64,
}

impl OutgoingRequest {
    pub(crate) fn get(path: String, first_byte_timeout_ms: u64) -> Self {
        Self {
            method: Method::GET,
            path,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            first_byte_timeout_ms,
        }
    }

    pub(crate) fn post(path: String, body: Bytes, first_byte_timeout_ms: u64) -> Self {
        Self {
            method: Method::POST,
            body,
            ..Self::get(path, first_byte_timeout_ms)
        }
    }

    pub(crate) fn json(mut self) -> Self {
        let json = HeaderValue::from_static("application/json");
        self.headers.insert(header::CONTENT_TYPE, json);
        self
    }
}

/// Error of a request that got no response head.
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub(crate) enum SendError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have been run: {0}
    Unknown(String),
}

/// Error of reading a response body.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// the answer is larger than the limit
    TooLarge,
    /// the connection broke within the answer
    Broken,
    /// the answer made no progress
    Silent,
}

/// Reads a response body of at most `limit_bytes`, waiting at most `read_timeout_ms` for each part.
pub(crate) async fn collect(
    mut body: Body,
    limit_bytes: usize,
    read_timeout_ms: u64,
) -> Result<Bytes, BodyError> {
    let mut first = Bytes::new();
    let mut whole: Vec<u8> = Vec::new();
    loop {
        let frame = timeout(Duration::from_millis(read_timeout_ms), body.frame()).await;
        let Ok(frame) = frame else {
            return Err(BodyError::Silent);
        };
        let Some(frame) = frame else { break };
        let Ok(frame) = frame else {
            return Err(BodyError::Broken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + whole.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge);
        }
        // Most bodies arrive in one part, which is returned without a copy.
        if first.is_empty() && whole.is_empty() {
            first = data;
            continue;
        }
        if whole.is_empty() {
            whole.extend_from_slice(&first);
            first.clear();
        }
        whole.extend_from_slice(&data);
    }
    if whole.is_empty() {
        return Ok(first);
    }
    Ok(Bytes::from(whole))
}

/// Returns the retry delay that a response requests, in milliseconds.
pub(crate) fn retry_after_ms(headers: &HeaderMap) -> u64 {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<u64>().ok())
        .map_or(DEFAULT_RETRY_AFTER_MS, |seconds| {
            seconds.saturating_mul(1_000)
        })
}

/// Returns whether the status means that the platform is unavailable and has done nothing.
pub(crate) fn is_unavailable(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
}

/// Returns whether a response may end with a status. Those below 200 announce another response, or a change of protocol that no
/// request asks for; those from 600 on are none.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < 600
}
