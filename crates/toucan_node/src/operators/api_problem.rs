//! Errors and JSON responses of the operators' interface.

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use toucan_config::operators::{EditResponse, Problem};
use volo_http::{body::Body, response::Response};

use crate::{callers::Refusal, kernel::RingFull};

/// Error of a call to the operators' interface.
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

    /// Returns the error for a node that cannot respond now; nothing was changed.
    pub(super) fn unavailable(message: impl Into<String>) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, message)
    }

    pub(super) fn into_response(self) -> Response {
        json_response(self.status, &Problem::new(self.message))
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

/// Returns a successful response.
pub(super) fn ok_response(body: &impl Serialize) -> Response {
    json_response(StatusCode::OK, body)
}

/// Returns the outcome of an edit with the HTTP status that matches it.
pub(super) fn edit_response(outcome: &EditResponse) -> Response {
    let status = StatusCode::from_u16(outcome.status()).unwrap_or(StatusCode::OK);
    json_response(status, outcome)
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(bytes));
    *response.status_mut() = status;
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
