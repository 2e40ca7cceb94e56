//! `/services/{service}/…`: handler of calls to plain services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::HeaderValue;
use toucan_ledger::IntentKey;
use toucan_platform::{CallError, ServiceResponse};
use toucan_router::AttemptOutcome;
use toucan_types::RequestId;
use volo_http::{body::Body, request::Request, response::Response};

use super::{
    Refusal, RefusalCode, RunStatus,
    chat::set_request_id,
    idempotency_cache::{CallGuard, CallOutcome, EarlierCall, IdempotencyCache},
    plain_call::{PlainCall, fingerprint, read_call},
    request_lifecycle::{
        BillConfirmation, admit, finish_request, node_stopped, refuse_unless_ready, send_with_retry,
    },
};
use crate::{
    admission::{AdmissionMessage, NextAttempt, RequestOutcome, Ticket},
    node_shared::NodeShared,
    shard_sync::{ClaimAnswer, ClaimState},
};

/// Timeout for the log to decide a claim, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 7_000;
/// Status that the log records for a claim that was abandoned before its call was sent.
const STATUS_ABANDONED: u16 = 0;
/// Status that the log records for a claimed call that was sent but got no response.
const STATUS_UNKNOWN: u16 = 1;
/// Header of a response that is replayed from an earlier attempt.
const HEADER_REPLAYED: &str = "idempotency-replayed";
/// Retry delay given to a caller if the log did not decide its claim in time, in milliseconds.
const CLAIM_RETRY_AFTER_MS: u64 = 5_000;
/// Retry delay given to a caller while its first attempt is in progress, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u64 = 1_000;

/// Handles a call to a plain service.
pub(crate) async fn plain_service(
    shared: Arc<NodeShared>,
    cache: Arc<IdempotencyCache>,
    request: Request,
    id: &RequestId,
) -> Result<Response, Refusal> {
    refuse_unless_ready(&shared)?;
    let open_request = shared.open_request();
    let (call, admission) = read_call(&shared, request, id).await?;
    let guard = match cache.begin(admission.bill, fingerprint(&call)) {
        Ok(guard) => guard,
        Err(earlier) => return respond_to_retry(*earlier, &call),
    };
    let ticket = admit(&shared, admission).await?;
    let id = call.id.clone();
    // Runs in its own task, so that the call is settled even if the caller disconnects.
    let running = tokio::spawn(async move {
        let response = run_call(&shared, &call, guard, ticket).await;
        drop(open_request);
        response
    });
    let response = running.await.unwrap_or_else(|_ended| {
        Err(Refusal::new(RefusalCode::OutcomeUnknown, "the call may have run").may_have_run())
    })?;
    Ok(caller_response(response, &id))
}

/// Returns the first 128 bits of a hash.
pub(super) fn first_128_bits(hash: blake3::Hash) -> u128 {
    let mut half = [0_u8; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(half)
}

/// Responds to a retry from the outcome of the earlier attempt, without running the call.
fn respond_to_retry(earlier: EarlierCall, call: &PlainCall) -> Result<Response, Refusal> {
    let id = &call.id;
    let refusal = match earlier {
        EarlierCall::InProgress => {
            let message = format!("an earlier try of {id} is in progress");
            Refusal::new(RefusalCode::InProgress, message)
                .may_have_run()
                .retry_after_ms(IN_PROGRESS_RETRY_AFTER_MS)
        }
        EarlierCall::DifferentCall => {
            let message = format!("{id} names another call; use another key");
            Refusal::new(RefusalCode::AlreadyAnswered, message)
        }
        EarlierCall::Finished(CallOutcome::Answered {
            response: Some(response),
            ..
        }) => {
            metrics::counter!("toucan_replayed_answers_total").increment(1);
            let mut response = caller_response(response, id);
            let replayed = HeaderValue::from_static("true");
            response.headers_mut().insert(HEADER_REPLAYED, replayed);
            return Ok(response);
        }
        EarlierCall::Finished(CallOutcome::Answered {
            status,
            response: None,
        }) => already_answered(call, status),
        EarlierCall::Finished(CallOutcome::Unknown) => outcome_unknown(call),
        EarlierCall::Finished(CallOutcome::Abandoned) => key_abandoned(call),
    };
    Err(refusal)
}

async fn run_call(
    shared: &Arc<NodeShared>,
    call: &PlainCall,
    mut guard: CallGuard,
    ticket: Ticket,
) -> Result<ServiceResponse, Refusal> {
    let request = (ticket.id, ticket.bill);
    if let Some(key) = call.claim_key
        && let Err(refusal) = claim_call(shared, call, key, &mut guard).await
    {
        let outcome = RequestOutcome::NotRun {
            target_failed: false,
        };
        finish_request(shared, request, outcome, refusal.to_string()).await;
        return Err(refusal);
    }
    let (response, outcome) = send_until_final(shared, call, ticket).await;
    if let Some(key) = call.claim_key {
        record_outcome(shared, key, &response, &mut guard).await;
    }
    // From here on, a retry gets the cached response.
    drop(guard);
    let detail = match &response {
        Ok(response) => format!("status {}, {outcome:?}", response.status),
        Err(refusal) => format!("{refusal}, {outcome:?}"),
    };
    match finish_request(shared, request, outcome, detail).await {
        BillConfirmation::NodeStopped => Err(node_stopped()),
        BillConfirmation::Durable | BillConfirmation::TimedOut => response,
    }
}

/// Records the outcome of a claimed call: in the cache for retries at this node, and in the log for
/// retries at other nodes.
async fn record_outcome(
    shared: &NodeShared,
    key: IntentKey,
    response: &Result<ServiceResponse, Refusal>,
    guard: &mut CallGuard,
) {
    let (status, digest) = match response {
        Ok(response) => {
            let status = response.status.as_u16();
            let response = response.clone();
            let digest = first_128_bits(blake3::hash(&response.body));
            guard.set_outcome(CallOutcome::Answered {
                status,
                response: Some(response),
            });
            (status, digest)
        }
        Err(refusal) if refusal.run_status == RunStatus::NotRun => return guard.allow_rerun(),
        Err(_) => (STATUS_UNKNOWN, 0),
    };
    let done = AdmissionMessage::ClaimDone {
        key,
        status,
        digest,
    };
    send_with_retry(&shared.rings.admission, done).await;
}

/// Claims the call in the log, which decides whether this node may send it.
async fn claim_call(
    shared: &NodeShared,
    call: &PlainCall,
    key: IntentKey,
    guard: &mut CallGuard,
) -> Result<(), Refusal> {
    let claim_state = shared.ask_admission(|reply| AdmissionMessage::Claim { key, reply });
    let timeout = Duration::from_millis(CLAIM_TIMEOUT_MS);
    match tokio::time::timeout(timeout, claim_state).await {
        Ok(Ok(ClaimState::Owned)) => {
            // From here on, the call may have been sent.
            guard.set_outcome(CallOutcome::Unknown);
            Ok(())
        }
        Ok(Ok(ClaimState::Lost { answer })) => Err(claim_lost(call, answer)),
        Ok(Err(refusal)) => Err(refusal),
        Ok(Ok(ClaimState::Pending)) | Err(_) => {
            // The claim may still win in the log later, so it is recorded there as abandoned.
            guard.set_outcome(CallOutcome::Abandoned);
            let done = AdmissionMessage::ClaimDone {
                key,
                status: STATUS_ABANDONED,
                digest: 0,
            };
            send_with_retry(&shared.rings.admission, done).await;
            let message = "the log cannot be reached to secure that the call runs once";
            Err(Refusal::new(RefusalCode::NoCapacity, message).retry_after_ms(CLAIM_RETRY_AFTER_MS))
        }
    }
}

fn claim_lost(call: &PlainCall, answer: Option<ClaimAnswer>) -> Refusal {
    match answer.map(|answer| answer.status) {
        Some(STATUS_ABANDONED) => key_abandoned(call),
        Some(STATUS_UNKNOWN) | None => outcome_unknown(call),
        Some(status) => already_answered(call, status),
    }
}

fn key_abandoned(call: &PlainCall) -> Refusal {
    let message = format!(
        "{} was given up before it was sent; use another key",
        call.id
    );
    Refusal::new(RefusalCode::KeyAbandoned, message)
}

fn outcome_unknown(call: &PlainCall) -> Refusal {
    let message = format!(
        "an earlier try of {} may have run; it is not run again",
        call.id
    );
    Refusal::new(RefusalCode::OutcomeUnknown, message).may_have_run()
}

fn already_answered(call: &PlainCall, status: u16) -> Refusal {
    let message = format!("{} was answered with status {status}", call.id);
    Refusal::new(RefusalCode::AlreadyAnswered, message).may_have_run()
}

/// Sends the call, with retries, until it gets a response or may not be sent again.
async fn send_until_final(
    shared: &Arc<NodeShared>,
    call: &PlainCall,
    ticket: Ticket,
) -> (Result<ServiceResponse, Refusal>, RequestOutcome) {
    let mut placement = ticket.placement;
    let mut may_have_run = false;
    loop {
        let sent = shared
            .services
            .call(placement.address, call.call.clone())
            .await;
        let outcome = match sent {
            Ok(response) => {
                let used_tokens = call.cost_tokens;
                return (
                    Ok(response),
                    RequestOutcome::Answered {
                        used_tokens,
                        cached_tokens: None,
                    },
                );
            }
            Err(CallError::NotSent { .. }) => AttemptOutcome::NotSent,
            Err(CallError::Unknown { .. }) => AttemptOutcome::Unknown,
            Err(CallError::TooLarge { status }) => {
                let message = format!("the answer with status {status} is too large");
                let refusal = Refusal::new(RefusalCode::TargetFailed, message).may_have_run();
                let used_tokens = call.cost_tokens;
                return (
                    Err(refusal),
                    RequestOutcome::CutOff {
                        used_tokens,
                        target_failed: false,
                    },
                );
            }
        };
        metrics::counter!("toucan_failed_attempts_total").increment(1);
        may_have_run |= outcome != AttemptOutcome::NotSent;
        let ticket = ticket.id;
        let next = shared
            .ask_admission(|reply| AdmissionMessage::AttemptFailed {
                ticket,
                outcome,
                reply,
            })
            .await;
        match next {
            Ok(
                NextAttempt::Elsewhere {
                    placement: next,
                    after_ms,
                }
                | NextAttempt::Resume {
                    placement: next,
                    after_ms,
                    ..
                },
            ) => {
                tokio::time::sleep(Duration::from_millis(after_ms)).await;
                placement = next;
            }
            Ok(NextAttempt::GiveUp { .. }) => return retries_exhausted(call, may_have_run),
            // The admission duty no longer has the ticket, so there is no further attempt.
            Err(refusal) if !may_have_run => {
                let (_, request_outcome) = retries_exhausted(call, may_have_run);
                return (Err(refusal), request_outcome);
            }
            Err(_) => return retries_exhausted(call, may_have_run),
        }
    }
}

fn retries_exhausted(
    call: &PlainCall,
    may_have_run: bool,
) -> (Result<ServiceResponse, Refusal>, RequestOutcome) {
    if !may_have_run {
        let refusal = Refusal::new(
            RefusalCode::NoCapacity,
            format!("no target of {} took the call", call.service),
        );
        return (
            Err(refusal),
            RequestOutcome::NotRun {
                target_failed: true,
            },
        );
    }
    let refusal = Refusal::new(RefusalCode::OutcomeUnknown, "the call may have run").may_have_run();
    let used_tokens = call.cost_tokens;
    (
        Err(refusal),
        RequestOutcome::CutOff {
            used_tokens,
            target_failed: true,
        },
    )
}

fn caller_response(service_response: ServiceResponse, id: &RequestId) -> Response {
    let mut response = Response::new(Body::from(Bytes::clone(&service_response.body)));
    *response.status_mut() = service_response.status;
    *response.headers_mut() = service_response.headers;
    set_request_id(response.headers_mut(), id);
    response
}
