//! HTTP request as a stand-in receives it, and constructors of responses.

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucan_types::FastHashMap;
use volo_http::body::Body;
use volo_http::response::Response;

/// An HTTP request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: FastHashMap<String, String>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpCall {
    /// Returns the non-empty segments of the path.
    pub(crate) fn segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }

    /// Returns a query parameter as a number, or `None` if it is missing or not a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    /// Returns the text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON; the error is a 400 with the parser's message.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))
    }
}

/// Status and message of a refused call.
pub(crate) struct Refusal {
    status: StatusCode,
    message: String,
}

impl Refusal {
    pub(crate) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl From<Refusal> for Response {
    fn from(refusal: Refusal) -> Self {
        text_response(refusal.status, refusal.message)
    }
}

/// Response with a text body.
pub(crate) fn text_response(status: StatusCode, body: impl Into<String>) -> Response {
    let mut response = Response::new(Body::from(body.into()));
    *response.status_mut() = status;
    response
}

/// Response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let Ok(bytes) = serde_json::to_vec(body) else {
        return text_response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "cannot encode the answer",
        );
    };
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}

/// Response that breaks off after its headers, as when a connection is lost.
pub(crate) fn aborted_response() -> Response {
    let lost = stream::once(async { Err("response lost".into()) });
    Response::new(Body::from_stream(lost))
}

/// Response 429 with the header `Retry-After`, in seconds.
pub(crate) fn too_many_requests(retry_after_s: u64) -> Response {
    let mut response = text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate");
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, retry_after_s.into());
    response
}
