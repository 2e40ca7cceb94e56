//! Refusals: the error responses that callers get.

use http::{HeaderValue, StatusCode, header};
use toucan_platform::formats::HEADER_REQUEST_ID;
use toucan_types::RequestId;
use volo_http::{body::Body, response::Response};

/// Milliseconds in a second; `Retry-After` is in whole seconds.
const MS_PER_S: u64 = 1_000;

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// 400: the request is malformed; the message says where.
    MalformedRequest,
    /// 401: the key is missing or unknown.
    Unauthenticated,
    /// 402: the budget is known to be spent.
    BudgetSpent,
    /// 403: the organisation may not use the model or service.
    NotAllowed,
    /// 404: there is no such model, service or route.
    NotFound,
    /// 405: the route does not support the method.
    MethodNotAllowed,
    /// 408: the body did not arrive in time.
    BodyTimeout,
    /// 409: an earlier attempt of the call may have run, so it is not run again.
    OutcomeUnknown,
    /// 409: the call's key was abandoned before the call was sent; use another key.
    KeyAbandoned,
    /// 409: a request with this id was answered and billed, and its response is no longer held.
    AlreadyAnswered,
    /// 409: a request with this id is in progress.
    InProgress,
    /// 413: the body is larger than the limit.
    BodyTooLarge,
    /// 429: the organisation exceeds its rate or concurrency limit.
    RateLimited,
    /// 502: the target failed and the request cannot be repeated.
    TargetFailed,
    /// 503: the budget may have tokens left, but this node cannot get any now.
    BudgetNotReachable,
    /// 503: no target has capacity, or the queue is full.
    NoCapacity,
    /// 503: this node is overloaded.
    NodeBusy,
    /// 503: this node is starting or stopping.
    NotReady,
    /// 504: the deadline cannot be met.
    DeadlineExceeded,
}

impl RefusalCode {
    /// All codes.
    pub const ALL: [Self; 19] = [
        Self::MalformedRequest,
        Self::Unauthenticated,
        Self::BudgetSpent,
        Self::NotAllowed,
        Self::NotFound,
        Self::MethodNotAllowed,
        Self::BodyTimeout,
        Self::OutcomeUnknown,
        Self::KeyAbandoned,
        Self::AlreadyAnswered,
        Self::InProgress,
        Self::BodyTooLarge,
        Self::RateLimited,
        Self::TargetFailed,
        Self::BudgetNotReachable,
        Self::NoCapacity,
        Self::NodeBusy,
        Self::NotReady,
        Self::DeadlineExceeded,
    ];

    /// Returns the HTTP status of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Self::MalformedRequest => StatusCode::BAD_REQUEST,
            Self::Unauthenticated => StatusCode::UNAUTHORIZED,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NotAllowed => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::OutcomeUnknown
            | Self::KeyAbandoned
            | Self::AlreadyAnswered
            | Self::InProgress => StatusCode::CONFLICT,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::TargetFailed => StatusCode::BAD_GATEWAY,
            Self::BudgetNotReachable | Self::NoCapacity | Self::NodeBusy | Self::NotReady => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the code as it appears in responses and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MalformedRequest => "malformed_request",
            Self::Unauthenticated => "unauthenticated",
            Self::BudgetSpent => "budget_spent",
            Self::NotAllowed => "not_allowed",
            Self::NotFound => "not_found",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::BodyTimeout => "body_timeout",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::KeyAbandoned => "key_abandoned",
            Self::AlreadyAnswered => "already_answered",
            Self::InProgress => "in_progress",
            Self::BodyTooLarge => "body_too_large",
            Self::RateLimited => "rate_limited",
            Self::TargetFailed => "target_failed",
            Self::BudgetNotReachable => "budget_not_reachable",
            Self::NoCapacity => "no_capacity",
            Self::NodeBusy => "node_busy",
            Self::NotReady => "not_ready",
            Self::DeadlineExceeded => "deadline_exceeded",
        }
    }
}

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It did not run.
    #[serde(rename = "no")]
    NotRun,
    /// It may have run.
    #[serde(rename = "unknown")]
    MayHaveRun,
}

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Stable code, for programs.
    pub code: RefusalCode,
    /// Whether the request ran.
    pub run_status: RunStatus,
    /// Human-readable reason.
    pub message: String,
    /// Delay in milliseconds after which to retry; 0 if a retry makes no sense.
    pub retry_after_ms: u64,
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ran = match self.run_status {
            RunStatus::NotRun => "not run",
            RunStatus::MayHaveRun => "may have run",
        };
        write!(f, "{}: {} ({ran})", self.code.as_str(), self.message)
    }
}

impl Refusal {
    /// Creates a refusal of a request that did not run, without a retry delay.
    pub fn new(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            run_status: RunStatus::NotRun,
            message: message.into(),
            retry_after_ms: 0,
        }
    }

    /// Sets the retry delay.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Marks that the request may have run.
    #[must_use]
    pub fn may_have_run(mut self) -> Self {
        self.run_status = RunStatus::MayHaveRun;
        self
    }

    /// Returns the refusal as JSON, in the format that clients of the `OpenAI` API expect.
    pub fn to_json(&self, request: &RequestId) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": self.code.as_str(),
                "param": null,
                "code": self.code.as_str(),
                "ran": self.run_status,
                "request_id": request,
                "retry_after_ms": self.retry_after_ms,
            }
        })
    }

    /// Returns the HTTP response of the refusal, and counts it.
    pub fn into_response(self, request: &RequestId) -> Response {
        metrics::counter!(
            "toucan_refusals_total",
            "code" => self.code.as_str(),
            "ran" => if self.run_status == RunStatus::NotRun { "no" } else { "unknown" },
        )
        .increment(1);
        let mut response = Response::new(Body::from(self.to_json(request).to_string()));
        *response.status_mut() = self.code.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(id) = HeaderValue::from_str(request.as_str()) {
            headers.insert(HEADER_REQUEST_ID, id);
        }
        if self.retry_after_ms > 0 {
            let seconds = self.retry_after_ms.div_ceil(MS_PER_S);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.code == RefusalCode::Unauthenticated {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}
