//! Forwards the events of a streaming response as they arrive.

use std::{rc::Rc, time::Duration};

use futures_util::Stream;
use tokio::time::timeout;

use crate::{
    EventSplitter, Gateway, Platform, config::RouteKind, placement::CallOutcome,
    poison::join_fingerprints, retries::SendFailure,
};

use super::{
    call::{Call, CallTracker},
    content_end::ContentEnd,
    delivery::RelayedEvents,
    response::IncompleteResponse,
    resumption::{begin_stream, forget_stream},
    send::{EventResponse, TargetResponse, next_bytes, send_with_retries, take_retry},
};

/// Maximum size of one event, or of the comments after the last one.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// End of the stream of one target.
enum StreamEnd {
    Complete,
    Failed(CallOutcome),
    DeadlineReached,
    /// There is no memory for the event that is being read.
    OutOfMemory,
}

/// Returns the stream of events for a caller.
///
/// If a target fails and the route allows it, another target resumes the stream. The call is settled when
/// the caller has taken all events, and otherwise when the stream is dropped.
pub(crate) fn relay_events<P: Platform>(
    gateway: Rc<Gateway<P>>,
    mut call: Call,
    events: EventResponse<P>,
    mut tracker: CallTracker<P>,
) -> impl Stream<Item = Result<RelayedEvents, IncompleteResponse>> {
    async_stream::try_stream! {
        let tokens_per_event = tokens_per_event(&call);
        let status = events.response.status.as_u16();
        let delivery = Rc::clone(&tracker.delivery);
        let mut splitter = EventSplitter::default();
        let relayed = |splitter: &EventSplitter, bytes| RelayedEvents {
            bytes,
            events: splitter.events(),
            output_tokens: splitter.events() * tokens_per_event,
        };
        let mut events = Some(events);
        while let Some(mut source) = events.take() {
            let mut chunk = Some(std::mem::take(&mut source.first));
            let end = loop {
                if let Some(bytes) = chunk.take()
                    && let Some(complete_events) = splitter.push(&bytes) {
                        if call.origin.is_none() {
                            begin_stream(&gateway, &mut call, &source.origin);
                        }
                        tracker.log.record_progress(&splitter);
                        source.in_flight_call.record_progress(&call);
                        yield relayed(&splitter, complete_events);
                    }
                if splitter.is_discontinuous() {
                    log::warn!(target: "call", id = call.id.as_str(), name = source.in_flight_call.target().as_str(); "the target was to resume the stream and sends something else, the connection is closed");
                    break StreamEnd::Failed(CallOutcome::Broken);
                }
                if splitter.partial_event_bytes() > MAX_EVENT_BYTES {
                    log::warn!(target: "call", id = call.id.as_str(), name = source.in_flight_call.target().as_str(); "an event is larger than allowed, the connection is closed");
                    break StreamEnd::Failed(CallOutcome::Broken);
                }
                if !call.hold_partial_event(splitter.partial_event_bytes()) {
                    break StreamEnd::OutOfMemory;
                }
                let left = Duration::from_millis(call.left_ms(gateway.now_ms()));
                if left.is_zero() {
                    // A timeout of zero would still return bytes that are there already.
                    break StreamEnd::DeadlineReached;
                }
                match timeout(left, next_bytes(&mut source.response.body)).await {
                    Err(_elapsed) => break StreamEnd::DeadlineReached,
                    Ok(None) if splitter.is_inside_event() => {
                        break StreamEnd::Failed(CallOutcome::Broken);
                    }
                    Ok(None) => {
                        let content = content_end(&call, &splitter);
                        break end_of_body(&source, &call, content, gateway.now_ms()).await;
                    }
                    Ok(Some(Err(error))) => {
                        break StreamEnd::Failed(CallOutcome::of_connection_error(&error));
                    }
                    Ok(Some(Ok(bytes))) => chunk = Some(bytes),
                }
            };
            tracker.log.record_progress(&splitter);
            match end {
                StreamEnd::Complete => {
                    source.in_flight_call.record_outcome(CallOutcome::Answered);
                    gateway.report_sound_call(&call);
                    source.response.release_connection(&gateway.pool, gateway.now_ms());
                    let rest = splitter.finish();
                    drop(source.in_flight_call);
                    call.release_body();
                    if !rest.is_empty() {
                        yield relayed(&splitter, rest);
                    }
                    delivery.all_taken().await;
                    forget_stream(&gateway, &call);
                    tracker.record_duration(&call.route.name);
                    tracker.complete(status, "whole");
                }
                StreamEnd::OutOfMemory => {
                    drop(source);
                    delivery.all_taken().await;
                    tracker.complete(status, "ended_for_memory");
                    Err(IncompleteResponse)?;
                }
                StreamEnd::DeadlineReached => {
                    // A task that reads ahead discards what is held at the deadline.
                    delivery.all_taken().await;
                    tracker.complete(status, "deadline_reached");
                    Err(IncompleteResponse)?;
                }
                StreamEnd::Failed(failure) => {
                    source.in_flight_call.record_outcome(failure);
                    if failure == CallOutcome::Broken {
                        source.in_flight_call.record_broken(&call);
                        tracker.record_broken();
                    }
                    splitter.discard_partial();
                    let target = source.in_flight_call.target().clone();
                    // Close the connection before another target resumes the stream.
                    drop(source);
                    call.record_failure(&target, SendFailure::MayHaveRun(failure));
                    log::info!(
                        target: "call",
                        id = call.id.as_str(),
                        fingerprints = join_fingerprints(call.fingerprints()).as_str(),
                        name = target.as_str(),
                        events = splitter.events();
                        "a stream broke off"
                    );
                    events = resume_stream(&gateway, &mut call, &mut tracker, &splitter).await;
                    if events.is_none() {
                        delivery.all_taken().await;
                        tracker.complete(status, "broken_off");
                        Err(IncompleteResponse)?;
                    }
                }
            }
        }
    }
}

/// Returns how a stream has ended whose body was read to its regular end.
async fn end_of_body<P: Platform>(
    source: &EventResponse<P>,
    call: &Call,
    content: ContentEnd,
    now_ms: u64,
) -> StreamEnd {
    let left_ms = call.left_ms(now_ms);
    let is_whole = source
        .in_flight_call
        .is_whole(&source.response, || content, left_ms);
    match timeout(Duration::from_millis(left_ms), is_whole).await {
        Ok(true) => StreamEnd::Complete,
        Ok(false) => StreamEnd::Failed(CallOutcome::Broken),
        Err(_elapsed) => StreamEnd::DeadlineReached,
    }
}

/// Returns what the events of a stream say of its end.
fn content_end(call: &Call, events: &EventSplitter) -> ContentEnd {
    let engine = call.service_settings().and_then(|service| service.engine);
    let Some(engine) = engine else {
        return ContentEnd::Open;
    };
    let tokens = events
        .events()
        .saturating_mul(u64::from(engine.tokens_per_event));
    let max_tokens = call.head.tokens.map_or(0, |tokens| tokens.max_output);
    ContentEnd::of_stream(tokens, max_tokens)
}

/// Returns the maximum number of tokens in one event of the service's engines.
fn tokens_per_event(call: &Call) -> u64 {
    call.service_settings()
        .and_then(|service| service.engine)
        .map_or(1, |engine| u64::from(engine.tokens_per_event.max(1)))
}

/// Sends the call to another target, to resume the stream after the last complete event.
///
/// Returns [`None`] if the route does not allow it or no target resumes the stream.
async fn resume_stream<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &mut Call,
    tracker: &mut CallTracker<P>,
    splitter: &EventSplitter,
) -> Option<EventResponse<P>> {
    let may_resume = call.route.kind == RouteKind::Streaming { resumable: true }
        && call.progress.sends < call.route.max_targets
        && take_retry(gateway, &call.service, gateway.now_ms());
    if !may_resume {
        return None;
    }
    let last_event_id = splitter.last_id().map(ToOwned::to_owned);
    let resumed = send_with_retries(gateway, call, tracker, last_event_id.as_deref()).await;
    match resumed {
        Ok(TargetResponse::Events(events)) => Some(*events),
        Ok(TargetResponse::Full(_)) => {
            log::warn!(target: "call", id = call.id.as_str(); "the stream was not resumed: no events");
            None
        }
        Err((refusal, reason)) => {
            log::warn!(target: "call", id = call.id.as_str(), refusal = refusal.name(), reason = reason; "the stream was not resumed");
            None
        }
    }
}
