//! `/services/{service}/…`: calls of plain services.

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
    chat::name_request,
    known_calls::{CallEnd, Earlier, KnownCalls, OpenCall},
    plain_call::{PlainCall, fingerprint, read_call},
    settling::{BillWord, admit, finish, node_ended, put, refuse_unless_ready},
};
use crate::{
    admission::{AdmissionMessage, NextAttempt, RequestOutcome, Ticket},
    node_shared::NodeShared,
    shard_sync::{ClaimAnswer, ClaimState},
};

/// Longest wait until the log has decided a claim, in milliseconds.
const CLAIM_PATIENCE_MS: u64 = 7_000;
/// Status that the log records for a claim that was given up before its call was sent.
const STATUS_ABANDONED: u16 = 0;
/// Status that the log records for a claimed call that was sent and whose answer did not come.
const STATUS_UNKNOWN: u16 = 1;
/// Header of an answer that was given to an earlier try.
const HEADER_REPLAYED: &str = "idempotency-replayed";
/// Time after which a caller may come back when the log did not decide, in milliseconds.
const CLAIM_RETRY_MS: u64 = 5_000;
/// Time after which a caller may come back while its first try is in progress, in milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 1_000;

/// Serves a call of a plain service.
pub(crate) async fn plain_service(
    shared: Arc<NodeShared>,
    known: Arc<KnownCalls>,
    request: Request,
    id: &RequestId,
) -> Result<Response, Refusal> {
    refuse_unless_ready(&shared)?;
    let open_request = shared.open_request();
    let (call, admission) = read_call(&shared, request, id).await?;
    let open = match known.begin(admission.bill, fingerprint(&call)) {
        Ok(open) => open,
        Err(earlier) => return earlier_try(*earlier, &call),
    };
    let ticket = admit(&shared, admission).await?;
    let id = call.id.clone();
    // A task of its own: a caller that leaves must not keep the call from being settled.
    let running = tokio::spawn(async move {
        let answer = run(&shared, &call, open, ticket).await;
        drop(open_request);
        answer
    });
    let answer = running.await.unwrap_or_else(|_ended| {
        Err(Refusal::new(RefusalCode::OutcomeUnknown, "the call may have run").may_have_run())
    })?;
    Ok(response(answer, &id))
}

/// First 128 bits of a hash.
pub(super) fn first_half(hash: blake3::Hash) -> u128 {
    let mut half = [0_u8; 16];
    half.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(half)
}

/// Answers a retry from what is known of the earlier try; nothing is run.
fn earlier_try(earlier: Earlier, call: &PlainCall) -> Result<Response, Refusal> {
    let id = &call.id;
    let refusal = match earlier {
        Earlier::InProgress => {
            let message = format!("an earlier try of {id} is in progress");
            Refusal::new(RefusalCode::InProgress, message)
                .may_have_run()
                .retry_after_ms(IN_PROGRESS_RETRY_MS)
        }
        Earlier::OtherCall => {
            let message = format!("{id} names another call; use another key");
            Refusal::new(RefusalCode::AlreadyAnswered, message)
        }
        Earlier::Ended(CallEnd::Answered {
            answer: Some(answer),
            ..
        }) => {
            metrics::counter!("toucan_replayed_answers_total").increment(1);
            let mut response = response(answer, id);
            let replayed = HeaderValue::from_static("true");
            response.headers_mut().insert(HEADER_REPLAYED, replayed);
            return Ok(response);
        }
        Earlier::Ended(CallEnd::Answered {
            status,
            answer: None,
        }) => already_answered(call, status),
        Earlier::Ended(CallEnd::Unknown) => outcome_unknown(call),
        Earlier::Ended(CallEnd::Abandoned) => abandoned(call),
    };
    Err(refusal)
}

async fn run(
    shared: &Arc<NodeShared>,
    call: &PlainCall,
    mut open: OpenCall,
    ticket: Ticket,
) -> Result<ServiceResponse, Refusal> {
    let request = (ticket.id, ticket.bill);
    if let Some(key) = call.claim
        && let Err(refusal) = claim(shared, call, key, &mut open).await
    {
        let end = RequestOutcome::NotRun {
            target_failed: false,
        };
        finish(shared, request, end, refusal.to_string()).await;
        return Err(refusal);
    }
    let (answer, end) = attempt(shared, call, ticket).await;
    if let Some(key) = call.claim {
        record_outcome(shared, key, &answer, &mut open).await;
    }
    // A retry gets the answer from now on.
    drop(open);
    let detail = match &answer {
        Ok(answer) => format!("status {}, {end:?}", answer.status),
        Err(refusal) => format!("{refusal}, {end:?}"),
    };
    match finish(shared, request, end, detail).await {
        BillWord::NodeEnded => Err(node_ended()),
        BillWord::Known | BillWord::NotInTime => answer,
    }
}

/// Notes how a claimed call ended: here for retries at this node, in the log for others.
async fn record_outcome(
    shared: &NodeShared,
    key: IntentKey,
    answer: &Result<ServiceResponse, Refusal>,
    open: &mut OpenCall,
) {
    let (status, digest) = match answer {
        Ok(answer) => {
            let status = answer.status.as_u16();
            let answer = answer.clone();
            let digest = first_half(blake3::hash(&answer.body));
            open.set_end(CallEnd::Answered {
                status,
                answer: Some(answer),
            });
            (status, digest)
        }
        Err(refusal) if refusal.run_status == RunStatus::NotRun => return open.may_begin_again(),
        Err(_) => (STATUS_UNKNOWN, 0),
    };
    let done = AdmissionMessage::ClaimDone {
        key,
        status,
        digest,
    };
    put(&shared.rings.admission, done).await;
}

/// Has the log decide whether this node may send the call.
async fn claim(
    shared: &NodeShared,
    call: &PlainCall,
    key: IntentKey,
    open: &mut OpenCall,
) -> Result<(), Refusal> {
    let asked = shared.ask_admission(|reply| AdmissionMessage::Claim { key, reply });
    let patience = Duration::from_millis(CLAIM_PATIENCE_MS);
    match tokio::time::timeout(patience, asked).await {
        Ok(Ok(ClaimState::Owned)) => {
            // From here on it may be sent at any time.
            open.set_end(CallEnd::Unknown);
            Ok(())
        }
        Ok(Ok(ClaimState::Lost { answer })) => Err(lost(call, answer)),
        Ok(Err(refusal)) => Err(refusal),
        Ok(Ok(ClaimState::Pending)) | Err(_) => {
            // The claim may still come first in the log; it is given up there, unsent.
            open.set_end(CallEnd::Abandoned);
            let done = AdmissionMessage::ClaimDone {
                key,
                status: STATUS_ABANDONED,
                digest: 0,
            };
            put(&shared.rings.admission, done).await;
            let message = "the log cannot be reached to secure that the call runs once";
            Err(Refusal::new(RefusalCode::NoCapacity, message).retry_after_ms(CLAIM_RETRY_MS))
        }
    }
}

fn lost(call: &PlainCall, answer: Option<ClaimAnswer>) -> Refusal {
    match answer.map(|answer| answer.status) {
        Some(STATUS_ABANDONED) => abandoned(call),
        Some(STATUS_UNKNOWN) | None => outcome_unknown(call),
        Some(status) => already_answered(call, status),
    }
}

fn abandoned(call: &PlainCall) -> Refusal {
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

/// Sends the call until it is answered or may not be sent again.
async fn attempt(
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
            Ok(answer) => {
                let used_tokens = call.cost_tokens;
                return (
                    Ok(answer),
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
            Ok(NextAttempt::GiveUp { .. }) => return given_up(call, may_have_run),
            // The ticket is gone, so nobody decides on another attempt.
            Err(refusal) if !may_have_run => {
                let (_, end) = given_up(call, may_have_run);
                return (Err(refusal), end);
            }
            Err(_) => return given_up(call, may_have_run),
        }
    }
}

fn given_up(
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

fn response(answer: ServiceResponse, id: &RequestId) -> Response {
    let mut response = Response::new(Body::from(Bytes::clone(&answer.body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    name_request(response.headers_mut(), id);
    response
}
