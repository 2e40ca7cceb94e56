//! Caller: sends a request until it is answered or a retry cannot change the outcome.

use std::time::{Duration, Instant};

use http::Method;
use serde::Deserialize;
use toucan_platform::formats::HEADER_REQUEST_ID;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};
use volo_http::response::Response;

use super::requests::{Call, PlannedRequest};
use super::stream_reader::{ReceivedAnswer, parse_response, read_events, read_whole};
use super::{LoadSettings, NodeAddress, NodeDirectory};
use crate::clock::now_ms;
use crate::history::{Attempt, Outcome, RequestHistory, RunStatus};

/// Delay before a retry for each earlier attempt (linear backoff), in milliseconds.
const RETRY_DELAY_MS: u64 = 150;
/// Refusal codes for which a retry at another node may succeed.
const RETRYABLE_CODES: [&str; 7] = [
    "in_progress",
    "no_capacity",
    "node_busy",
    "not_ready",
    "target_failed",
    "budget_not_reachable",
    "rate_limited",
];

#[derive(Deserialize)]
struct RefusalBody {
    error: RefusalError,
}

#[derive(Deserialize)]
struct RefusalError {
    code: String,
    ran: RunStatus,
}

/// Caller with a connection pool; clones share it.
#[derive(Clone)]
pub(crate) struct Caller {
    client: Client<Body, Body>,
    nodes: NodeDirectory,
    settings: LoadSettings,
}

impl Caller {
    pub(crate) fn new(nodes: NodeDirectory, settings: LoadSettings) -> Self {
        let client = ClientBuilder::new()
            .build()
            .expect("fails only for a bad user agent, and none is set");
        Self {
            client,
            nodes,
            settings,
        }
    }

    /// Sends a request, with retries, and returns its history.
    pub(crate) async fn run(&self, planned: PlannedRequest, number: u64) -> RequestHistory {
        let mut history = planned.history.clone();
        for attempt_number in 0..self.settings.max_attempts as u64 {
            let last = history.attempts.last().map(|attempt| attempt.node.as_str());
            let Some(node) = self.nodes.pick(number + attempt_number, last) else {
                break;
            };
            let attempt = self.attempt(&planned, &node).await;
            let is_final = is_final(&attempt.outcome);
            history.attempts.push(attempt);
            if is_final {
                break;
            }
            let delay_ms = RETRY_DELAY_MS * (attempt_number + 1);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        history
    }

    async fn attempt(&self, planned: &PlannedRequest, node: &NodeAddress) -> Attempt {
        let started = Instant::now();
        let started_ms = now_ms();
        let (outcome, answer) = self.outcome(planned, node).await;
        let first_token = answer.first_token.map(|at| at.duration_since(started));
        let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Attempt {
            node: node.name.clone(),
            started_ms,
            ended_ms: now_ms(),
            first_token_us: first_token.map(us),
            between_tokens_us: answer.mean_token_interval().map(us),
            outcome,
        }
    }

    async fn outcome(
        &self,
        planned: &PlannedRequest,
        node: &NodeAddress,
    ) -> (Outcome, ReceivedAnswer) {
        let read_timeout = Duration::from_millis(self.settings.read_timeout_ms);
        let sending = self.send(planned, node);
        let Ok(Some(response)) = tokio::time::timeout(read_timeout, sending).await else {
            let text = String::new();
            return (Outcome::Broken { text }, ReceivedAnswer::default());
        };
        let status = response.status();
        let body = response.into_body();
        if !status.is_success() {
            let body = read_whole(body, read_timeout).await.unwrap_or_default();
            return (refusal(status.as_u16(), &body), ReceivedAnswer::default());
        }
        let answer = match &planned.call {
            Call::Chat(request) if request.stream => read_events(body, read_timeout).await,
            Call::Chat(_) => {
                let body = read_whole(body, read_timeout).await.unwrap_or_default();
                parse_response(&body)
            }
            Call::Service { cost_tokens, .. } => {
                service_answer(body, read_timeout, *cost_tokens).await
            }
        };
        let text = answer.text.clone();
        let outcome = if answer.is_whole {
            Outcome::Answered {
                text,
                usage_tokens: answer.usage_tokens,
            }
        } else {
            Outcome::Broken { text }
        };
        (outcome, answer)
    }

    async fn send(&self, planned: &PlannedRequest, node: &NodeAddress) -> Option<Response> {
        let request_id = planned.history.request_id.as_str();
        let (path, body) = match &planned.call {
            Call::Chat(request) => (
                "/v1/chat/completions".to_owned(),
                serde_json::to_vec(request).ok()?,
            ),
            Call::Service { path, body, .. } => (path.clone(), body.clone().into_bytes()),
        };
        self.client
            .request(Method::POST, path)
            .address(node.address)
            .header("authorization", format!("Bearer {}", planned.key))
            .header("content-type", "application/json")
            .header(HEADER_REQUEST_ID, request_id)
            .header("idempotency-key", request_id)
            .body(Body::from(body))
            .send()
            .await
            .ok()
    }
}

async fn service_answer(body: Body, read_timeout: Duration, cost_tokens: u64) -> ReceivedAnswer {
    let Some(body) = read_whole(body, read_timeout).await else {
        return ReceivedAnswer::default();
    };
    ReceivedAnswer {
        text: String::from_utf8_lossy(&body).into_owned(),
        usage_tokens: cost_tokens,
        is_whole: true,
        ..ReceivedAnswer::default()
    }
}

fn refusal(status: u16, body: &[u8]) -> Outcome {
    let Ok(refusal) = serde_json::from_slice::<RefusalBody>(body) else {
        let text = String::from_utf8_lossy(body).into_owned();
        return Outcome::Refused {
            status,
            code: format!("unreadable: {text}"),
            ran: RunStatus::Unknown,
        };
    };
    Outcome::Refused {
        status,
        code: refusal.error.code,
        ran: refusal.error.ran,
    }
}

/// Returns whether a retry at another node cannot change the outcome.
fn is_final(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered { .. } => true,
        Outcome::Refused { code, .. } => !RETRYABLE_CODES.contains(&code.as_str()),
        Outcome::Broken { .. } => false,
    }
}
