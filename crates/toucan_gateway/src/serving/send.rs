//! Sends a call to targets, with retries.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use toucan_types::ServiceName;

use crate::{
    Gateway, Platform, Refusal,
    buffers::{BufferKind, ByteClaim},
    config::{RouteKind, TargetEntry},
    placement::CallOutcome,
    poison::join_fingerprints,
    retries::{CallProgress, NextStep, SendFailure, next_step},
    streams::StreamOrigin,
    tasks::{departure_queries::learn_departures, path_probes::spawn_path_check},
};

use super::{
    call::{Call, CallTracker},
    choose::{
        ChosenTarget, choose_for_call, exceeds_fair_share, is_still_eligible,
        refusal_without_target, schedule_return,
    },
    collect_body::{CollectError, collect_body},
    content_end::ContentEnd,
    exchange::{Exchange, OpenResponse, TargetNotice, remove_connection_headers, send_request},
    in_flight_call::InFlightCall,
    permit_wait::take_permit,
    poison_trial::check_poison,
};

/// A usable response of a target.
pub(crate) enum TargetResponse<P: Platform> {
    /// Response that was read to its end.
    Full(Box<FullResponse>),
    /// Stream of events whose first bytes were read.
    Events(Box<EventResponse<P>>),
}

/// A response that was read to its end.
pub(crate) struct FullResponse {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers of the response, without hop-by-hop headers.
    pub(crate) headers: http::HeaderMap,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Memory of the body.
    pub(crate) claim: ByteClaim,
}

/// A stream of events whose first bytes were read.
pub(crate) struct EventResponse<P: Platform> {
    /// Headers and the rest of the body.
    pub(crate) response: OpenResponse,
    /// First bytes of the body.
    pub(crate) first: Bytes,
    /// Service and software version of the target.
    pub(crate) origin: StreamOrigin,
    /// Counts the call as in flight at the target.
    pub(crate) in_flight_call: InFlightCall<P>,
}

/// Refusal of a call and the reason for the log.
pub(crate) type Refused = (Refusal, &'static str);

/// Sends a call to targets until one answers or no further attempt is allowed.
///
/// To resume a stream, `last_event_id` is the id of the last event that the caller received.
pub(crate) async fn send_with_retries<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &mut Call,
    tracker: &mut CallTracker<P>,
    last_event_id: Option<&str>,
) -> Result<TargetResponse<P>, Refused> {
    loop {
        let now_ms = gateway.now_ms();
        if call.left_ms(now_ms) == 0 {
            let refusal = if call.progress.may_have_run {
                Refusal::TargetSilent
            } else {
                Refusal::TooLate
            };
            return Err((refusal, "deadline reached"));
        }
        check_poison(gateway, call, tracker).await?;
        learn_departures(gateway, call.left_ms(gateway.now_ms())).await;
        let now_ms = gateway.now_ms();
        if !call.progress.may_have_run && !ends_before_stop(gateway, call, now_ms) {
            return Err((Refusal::Stopping, "the call may outlast the process"));
        }
        let Some(chosen) = choose_for_call(gateway, call, now_ms) else {
            return Err((refusal_without_target(gateway, call), "no target is left"));
        };
        tracker.log.expected_ms = chosen.expected_ms;
        let read_ms_ago = gateway.state.borrow().targets_read_ms_ago(now_ms);
        tracker.log.record_choice(read_ms_ago, now_ms);
        let is_first = call.progress == CallProgress::default() && call.denied.is_empty();
        if is_first && exceeds_fair_share(gateway, call, &chosen, now_ms) {
            let return_ms = schedule_return(gateway, call, &chosen, chosen.expected_ms, now_ms);
            return Err((
                Refusal::Overloaded { return_ms },
                "the organisation has more than its share while engines are behind",
            ));
        }
        if let Some(overload_ms) = chosen.overload_ms
            && call.progress.sends == 0
        {
            let return_ms = schedule_return(gateway, call, &chosen, overload_ms, now_ms);
            return Err((Refusal::Overloaded { return_ms }, "the engines are behind"));
        }
        let target = &chosen.entry;
        if !take_permit(gateway, call, target).await {
            call.denied.push(target.name.clone());
            continue;
        }
        if !is_still_eligible(gateway, call, target) {
            // The wait for the permit was long enough for an order or a registration to arrive.
            continue;
        }
        let failure = match send_once(gateway, call, tracker, &chosen, last_event_id).await {
            Ok(received) => return Ok(received),
            Err(failure) => failure,
        };
        call.record_failure(&target.name, failure);
        let now_ms = gateway.now_ms();
        let left_ms = call.left_ms(now_ms);
        let route = &call.route;
        let step = next_step(
            failure,
            call.progress,
            route.kind,
            route.max_targets,
            left_ms,
        );
        log_failure(call, target, failure, step, left_ms);
        match step {
            NextStep::TryUnsent => {}
            NextStep::SendAgainOr(refusal) => {
                if choose_for_call(gateway, call, now_ms).is_none() {
                    return Err((refusal_without_target(gateway, call), "no target is left"));
                }
                if !take_retry(gateway, &call.service, now_ms) {
                    return Err((refusal, "no retry is left in the allowance"));
                }
            }
            NextStep::Refuse(refusal) => return Err((refusal, "the target failed the call")),
        }
    }
}

/// Returns whether a call may be sent as far as a planned stop is concerned.
fn ends_before_stop<P: Platform>(gateway: &Gateway<P>, call: &Call, now_ms: u64) -> bool {
    let stop_ms = gateway.bounds().stop_ms;
    let state = gateway.state.borrow();
    state.ends_before_stop(&call.route, call.left_ms(now_ms), stop_ms, now_ms)
}

/// Takes one retry from the retry budget of a service; returns false if none is left.
pub(crate) fn take_retry<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    service: &ServiceName,
    now_ms: u64,
) -> bool {
    let bounds = &gateway.bounds();
    gateway
        .state
        .borrow_mut()
        .take_retry(service, bounds, now_ms)
}

fn log_failure(
    call: &Call,
    target: &TargetEntry,
    failure: SendFailure,
    step: NextStep,
    left_ms: u64,
) {
    metrics::counter!("toucan_failed_sends_total").increment(1);
    let is_broken = failure == SendFailure::MayHaveRun(CallOutcome::Broken);
    let fingerprints = is_broken.then(|| join_fingerprints(call.fingerprints()));
    log::info!(
        target: "call",
        id = call.id.as_str(),
        fingerprints = fingerprints.unwrap_or_default().as_str(),
        name = target.name.as_str(),
        failure:? = failure,
        step:? = step,
        left_ms = left_ms;
        "a target failed the call"
    );
}

/// Sends a call to one target and reads the response, or the first bytes of a stream.
async fn send_once<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &Call,
    tracker: &mut CallTracker<P>,
    chosen: &ChosenTarget,
    last_event_id: Option<&str>,
) -> Result<TargetResponse<P>, SendFailure> {
    let now_ms = gateway.now_ms();
    let target = &chosen.entry;
    let mut in_flight_call = InFlightCall::begin(Rc::clone(gateway), target, call);
    tracker.log.sent_to.push(target.name.to_string());
    let software_version = target.software_version.to_string();
    tracker.log.software_versions.push(software_version);
    let mut notice = TargetNotice::default();
    let mut held_ms = 0;
    let exchange = Exchange {
        target,
        id: &call.id,
        request: call.request_to(&gateway.platform, target, last_event_id, now_ms),
        presence: gateway.state.borrow().targets.presence(target),
        max_connections: chosen.max_connections,
        head_timeout: head_timeout(call, now_ms),
        left_ms: call.left_ms(now_ms),
        now_ms,
        notice: &mut notice,
        held_ms: &mut held_ms,
    };
    tracker.mark_may_have_run();
    let may_still_send = async || {
        learn_departures(gateway, call.left_ms(gateway.now_ms())).await;
        is_still_eligible(gateway, call, target)
    };
    let exchanged = send_request(
        &gateway.platform,
        &gateway.pool,
        exchange,
        &**gateway,
        may_still_send,
    )
    .await;
    excuse_failed_connects(gateway);
    tracker.log.record_held(held_ms);
    apply_notice(gateway, target, notice, now_ms);
    let received = match exchanged {
        Ok(response) => {
            tracker.log.framing = response.framing;
            read_response(gateway, call, response, &mut in_flight_call).await
        }
        Err(failure) => Err(failure),
    };
    match received {
        Ok(ReadResponse::Full(full)) => {
            if full.status.is_success() {
                tracker.mark_run();
                gateway.report_sound_call(call);
            }
            in_flight_call.record_outcome(if full.status.is_server_error() {
                CallOutcome::Errored
            } else {
                CallOutcome::Answered
            });
            Ok(TargetResponse::Full(Box::new(full)))
        }
        Ok(ReadResponse::Events(response, first)) => {
            tracker.mark_run();
            tracker.log.first_event_ms = gateway.now_ms().saturating_sub(now_ms);
            in_flight_call.record_first_event();
            let events = EventResponse {
                response: *response,
                first,
                origin: StreamOrigin {
                    service: target.service.clone(),
                    software_version: target.software_version.clone(),
                },
                in_flight_call,
            };
            Ok(TargetResponse::Events(Box::new(events)))
        }
        Err(failure) => {
            in_flight_call.record_outcome(failure.call_outcome());
            excuse_failed_connects(gateway);
            if failure == SendFailure::MayHaveRun(CallOutcome::Lost) {
                spawn_path_check(gateway, target);
            }
            if failure == SendFailure::MayHaveRun(CallOutcome::Broken) {
                in_flight_call.record_broken(call);
                tracker.record_broken();
            }
            let may_have_run =
                call.progress.may_have_run || matches!(failure, SendFailure::MayHaveRun(_));
            if !may_have_run {
                tracker.mark_not_run();
            }
            Err(failure)
        }
    }
}

/// Takes back what was recorded of targets before it was found that this VM is the cause.
fn excuse_failed_connects<P: Platform>(gateway: &Gateway<P>) {
    let excused = gateway.pool.take_excused();
    let targets = &mut gateway.state.borrow_mut().targets;
    targets.excuse_failed_connects(&excused);
}

/// Applies what a target states about itself in its response to a call.
fn apply_notice<P: Platform>(
    gateway: &Gateway<P>,
    target: &TargetEntry,
    notice: TargetNotice,
    sent_at_ms: u64,
) {
    if notice.is_leaving {
        gateway.record_leaving_target(&target.name, target.started_at_unix_ms);
    }
    if notice.is_replaced {
        gateway.record_replaced_target(&target.name, target.started_at_unix_ms);
    }
    if let Some(throttle) = notice.throttle {
        gateway.record_throttling_target(&target.name, target.started_at_unix_ms, throttle);
    }
    if let Some(limit) = notice.limit {
        gateway.record_stated_limit(&target.name, target.started_at_unix_ms, limit, sent_at_ms);
        // Only an answer of the target itself says whether it is brittle.
        gateway.record_brittle_target(
            &target.name,
            target.started_at_unix_ms,
            notice.rejections_per_s,
        );
    }
    if notice.is_full {
        gateway.record_rejection(&target.name, target.started_at_unix_ms);
    }
}

/// Returns the maximum wait for the response headers.
///
/// An idempotent call that may be sent to another target does not wait for a silent one until the
/// deadline.
fn head_timeout(call: &Call, now_ms: u64) -> Duration {
    let left_ms = call.left_ms(now_ms);
    let has_attempts_left = call.progress.sends + 1 < call.route.max_targets;
    let wait_ms = if has_attempts_left && call.route.kind == RouteKind::Idempotent {
        left_ms.min(call.route.latency_objective_ms)
    } else {
        left_ms
    };
    Duration::from_millis(wait_ms)
}

enum ReadResponse {
    Full(FullResponse),
    Events(Box<OpenResponse>, Bytes),
}

async fn read_response<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &Call,
    mut response: OpenResponse,
    in_flight_call: &mut InFlightCall<P>,
) -> Result<ReadResponse, SendFailure> {
    let broken = SendFailure::MayHaveRun(CallOutcome::Broken);
    let silent = SendFailure::MayHaveRun(CallOutcome::Silent);
    if response.status.is_success() && (!response.head.is_stamped || response.head.is_encoded) {
        log::warn!(target: "call", id = call.id.as_str(), name = in_flight_call.target().as_str(); "the answer has no stamp or is encoded");
        return Err(broken);
    }
    remove_connection_headers(&mut response.headers);
    let left = Duration::from_millis(call.left_ms(gateway.now_ms()));
    if call.route.kind.is_streaming() && response.status.is_success() {
        let first = timeout(left, next_bytes(&mut response.body)).await;
        return match first.map_err(|_elapsed| silent)? {
            Some(Ok(first)) => Ok(ReadResponse::Events(Box::new(response), first)),
            Some(Err(error)) => {
                let outcome = CallOutcome::of_connection_error(&error);
                Err(SendFailure::MayHaveRun(outcome))
            }
            None => Err(broken),
        };
    }
    let buffers = &gateway.buffers;
    let mut claim = buffers
        .budget
        .claim(BufferKind::WholeAnswer, call.organisation_name());
    let collected = collect_body(buffers, &mut claim, &mut response.body);
    let collected = timeout(left, collected).await.map_err(|_elapsed| silent)?;
    let body = collected.map_err(|error| {
        if let CollectError::Connection(outcome) = error {
            return SendFailure::MayHaveRun(outcome);
        }
        log::warn!(target: "call", id = call.id.as_str(), name = in_flight_call.target().as_str(), error:% = error; "the answer is discarded and its connection closed");
        broken
    })?;
    let content = || ContentEnd::of_body(&response.headers, &body);
    let left_ms = call.left_ms(gateway.now_ms());
    let is_whole = in_flight_call.is_whole(&response, content, left_ms);
    let is_whole = timeout(Duration::from_millis(left_ms), is_whole).await;
    if !is_whole.unwrap_or(false) {
        return Err(broken);
    }
    let full = FullResponse {
        status: response.status,
        headers: std::mem::take(&mut response.headers),
        body,
        claim,
    };
    let is_failure = full.status.is_server_error();
    let may_retry = call.route.kind == RouteKind::Idempotent
        && call.progress.sends + 1 < call.route.max_targets;
    response.release_connection(&gateway.pool, gateway.now_ms());
    if is_failure && may_retry && gateway.has_retry(&call.service) {
        return Err(SendFailure::MayHaveRun(CallOutcome::Errored));
    }
    Ok(ReadResponse::Full(full))
}

/// Returns the next bytes of a body; [`None`] at its regular end.
pub(crate) async fn next_bytes(body: &mut Incoming) -> Option<hyper::Result<Bytes>> {
    loop {
        match body.frame().await? {
            Err(error) => return Some(Err(error)),
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
        }
    }
}
