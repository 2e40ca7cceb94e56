//! Why a call of the operators' interface failed, and answers as JSON.

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use toucan_config::operators::{EditResponse, Problem};
use volo_http::{body::Body, response::Response};

use crate::{callers::Refusal, kernel::RingFull};

/// Why a call of the operators' interface failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ApiProblem {
    status: StatusCode,
    message: String,
}

impl ApiProblem {
    pub(super) fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    pub(super) fn not_found(message: impl Into<String>) -> Self {
        Self::new(StatusCode::NOT_FOUND, message)
    }

    pub(super) fn malformed(message: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, message)
    }

    /// The node cannot answer now; nothing was changed.
    pub(super) fn unavailable(message: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, message)
    }

    pub(super) fn into_response(self) -> Response {
        json(self.status, &Problem::new(self.message))
    }
}

impl From<RingFull> for ApiProblem {
    fn from(full: RingFull) -> Self {
        Self::unavailable(full.to_string())
    }
}

impl From<Refusal> for ApiProblem {
    fn from(refusal: Refusal) -> Self {
        Self::new(refusal.code.status(), refusal.message)
    }
}

/// A successful answer.
pub(super) fn done(answer: &impl Serialize) -> Response {
    json(StatusCode::OK, answer)
}

/// What became of an edit, with the status that goes with it.
pub(super) fn edited(answer: &EditResponse) -> Response {
    let status = StatusCode::from_u16(answer.status()).unwrap_or(StatusCode::OK);
    json(status, answer)
}

fn json(status: StatusCode, answer: &impl Serialize) -> Response {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
