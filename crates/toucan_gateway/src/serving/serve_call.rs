//! Serves one call: reads it, reserves tokens, sends it, and forwards the response.

use std::{pin::Pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, TryStreamExt};
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    Gateway, Platform, Refusal,
    buffers::{BufferKind, ByteClaim, CallBuffers},
};

use super::{
    call::{Call, CallTracker},
    caller_connection::CallerConnection,
    choose::refuse_without_target,
    poison_trial::refuse_condemned,
    read_ahead::ReadAhead,
    read_call::read_call,
    relay::relay_events,
    reserve_tokens::reserve_tokens,
    response::{BodyInPieces, IncompleteResponse, ResponseBody, refusal_response},
    resumption::resolve_origin,
    send::{FullResponse, Refused, TargetResponse, send_with_retries},
};

/// Maximum size of a stream for a caller that has to get it as a whole.
const MAX_COLLECTED_STREAM_BYTES: usize = 1024 * 1024;

/// Serves one call and returns the response for its caller.
pub(crate) async fn serve_call<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody<impl Stream<Item = Result<Bytes, IncompleteResponse>>>> {
    let response = serve(Rc::clone(&gateway), request).await;
    close_after(&gateway, response)
}

/// Makes a response close its connection while callers are moved to other gateways.
fn close_after<P: Platform, B>(gateway: &Gateway<P>, mut response: Response<B>) -> Response<B> {
    if gateway.state.borrow().moves_callers() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn serve<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<ResponseBody<impl Stream<Item = Result<Bytes, IncompleteResponse>>>> {
    let mut tracker = CallTracker::new(Rc::clone(&gateway));
    let connection = request.extensions().get::<CallerConnection>().cloned();
    let understands_chunks = request.version() >= Version::HTTP_11;
    let sent = tokio::select! {
        sent = admit_and_send(&gateway, request, &mut tracker) => Some(sent),
        () = gateway.calls_ended() => None,
    };
    let (call, response) = match sent.unwrap_or_else(|| Err(end_by_stop(&tracker))) {
        Ok(sent) => sent,
        Err((refusal, reason)) => {
            tracker.refuse(refusal, reason);
            return refusal_response(refusal);
        }
    };
    match response {
        TargetResponse::Full(full) => {
            if full.status.is_success() {
                tracker.record_duration(&call.route.name);
            }
            let deadline = deadline_of(&gateway, &call);
            full_response(*full, &mut tracker, connection.as_ref(), deadline)
        }
        TargetResponse::Events(events) => {
            let mut response = Response::new(());
            *response.status_mut() = events.response.status;
            *response.headers_mut() = events.response.headers.clone();
            // Another target that resumes the stream may send more or fewer bytes.
            response.headers_mut().remove(header::CONTENT_LENGTH);
            let read_ahead = ReadAhead {
                buffers: Rc::clone(&gateway.buffers),
                organisation: call.organisation_name(),
                delivery: Rc::clone(&tracker.delivery),
                connection,
                deadline: deadline_of(&gateway, &call),
                status: response.status().as_u16(),
            };
            let buffers = Rc::clone(&gateway.buffers);
            let events = relay_events(gateway, *call, *events, tracker);
            if buffers.reads_ahead && understands_chunks {
                let held = read_ahead.start(events);
                return response.map(|()| ResponseBody::ReadAhead(held));
            }
            let delivery = read_ahead.delivery;
            let stream = events.map(move |events| {
                let events = events?;
                delivery.record(&events);
                Ok(events.bytes)
            });
            let stream = Box::pin(stream);
            if understands_chunks {
                response.map(|()| ResponseBody::Stream(stream))
            } else {
                let claim = buffers
                    .budget
                    .claim(BufferKind::WholeAnswer, read_ahead.organisation);
                collect_stream(response, stream, &buffers, claim).await
            }
        }
    }
}

/// Returns the refusal of a call whose target has not answered when the process ends.
fn end_by_stop<P: Platform>(tracker: &CallTracker<P>) -> Refused {
    let refusal = if tracker.may_have_run() {
        Refusal::StoppedBeforeAnswer
    } else {
        Refusal::Stopping
    };
    (refusal, "planned stop")
}

/// Builds a response with a length, for a caller that could not tell a stream which was broken off
/// from a complete one.
async fn collect_stream<S>(
    response: Response<()>,
    mut stream: Pin<Box<S>>,
    buffers: &CallBuffers,
    mut claim: ByteClaim,
) -> Response<ResponseBody<S>>
where
    S: Stream<Item = Result<Bytes, IncompleteResponse>>,
{
    let collected = async {
        let mut collected = BytesMut::new();
        while let Some(events) = stream.try_next().await? {
            let size = collected.len() + events.len();
            if size > MAX_COLLECTED_STREAM_BYTES {
                return Err(IncompleteResponse);
            }
            if buffers.reads_ahead {
                let grown = buffers.grow(&mut claim, size as u64).await;
                grown.map_err(|_reached| IncompleteResponse)?;
            }
            collected.extend_from_slice(&events);
        }
        Ok(collected)
    };
    match collected.await {
        Ok(events) => response.map(|()| ResponseBody::Full(Full::new(events.freeze()))),
        Err(IncompleteResponse) => refusal_response(Refusal::TargetFailed),
    }
}

/// Returns when a call ends.
fn deadline_of<P: Platform>(gateway: &Gateway<P>, call: &Call) -> Instant {
    Instant::now() + Duration::from_millis(call.left_ms(gateway.now_ms()))
}

async fn admit_and_send<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: Request<Incoming>,
    tracker: &mut CallTracker<P>,
) -> Result<(Box<Call>, TargetResponse<P>), Refused> {
    let read = read_call(gateway, request, tracker).await;
    let mut call = Box::new(read.map_err(|refusal| (refusal, "before admission"))?);
    if gateway.refuses_new_calls() {
        return Err((Refusal::Stopping, "planned stop"));
    }
    refuse_condemned(gateway, &call)?;
    resolve_origin(gateway, &mut call).await?;
    refuse_without_target(gateway, &call)?;
    let now_ms = gateway.now_ms();
    gateway
        .state
        .borrow_mut()
        .record_call(&call.service, &gateway.bounds(), now_ms);
    if let (Some(organisation), Some(counts)) = (&call.organisation, call.head.tokens)
        && organisation.prepaid.is_some()
    {
        reserve_tokens(gateway, organisation, counts.max_total(), call.deadline_ms).await?;
        tracker.hold_reservation(organisation.name.clone(), counts);
    }
    let response = send_with_retries(gateway, &mut call, tracker, None).await?;
    Ok((call, response))
}

fn full_response<P: Platform, S>(
    full: FullResponse,
    tracker: &mut CallTracker<P>,
    connection: Option<&CallerConnection>,
    deadline: Instant,
) -> Response<ResponseBody<S>> {
    tracker.complete(full.status.as_u16(), "whole");
    let body = match connection {
        Some(connection) => {
            let limit = connection.limit(deadline);
            ResponseBody::Pieces(BodyInPieces::new(full.body, full.claim, limit))
        }
        None => ResponseBody::Full(Full::new(full.body)),
    };
    let mut response = Response::new(body);
    *response.status_mut() = full.status;
    *response.headers_mut() = full.headers;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
