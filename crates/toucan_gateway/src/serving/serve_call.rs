//! Serves one call: reads it, reserves tokens, sends it, and forwards the response.

use std::{pin::Pin, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, TryStreamExt};
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{Gateway, Platform, Refusal};

use super::{
    call::{Call, CallTracker},
    choose::refuse_during_pause,
    poison_trial::refuse_condemned,
    read_call::read_call,
    relay::relay_events,
    reserve_tokens::reserve_tokens,
    response::{IncompleteResponse, ResponseBody, refusal_response},
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
    let understands_chunks = request.version() >= Version::HTTP_11;
    let (call, response) = match admit_and_send(&gateway, request, &mut tracker).await {
        Ok(sent) => sent,
        Err((refusal, reason)) => {
            tracker.refuse(refusal, reason);
            return refusal_response(refusal);
        }
    };
    match response {
        TargetResponse::Full(full) => full_response(*full, &mut tracker),
        TargetResponse::Events(events) => {
            let mut response = Response::new(());
            *response.status_mut() = events.response.status;
            *response.headers_mut() = events.response.headers.clone();
            // Another target that resumes the stream may send more or fewer bytes.
            response.headers_mut().remove(header::CONTENT_LENGTH);
            let stream = Box::pin(relay_events(gateway, *call, *events, tracker));
            if understands_chunks {
                response.map(|()| ResponseBody::Stream(stream))
            } else {
                collect_stream(response, stream).await
            }
        }
    }
}

/// Builds a response with a length, for a caller that could not tell a stream which was broken off
/// from a complete one.
async fn collect_stream<S>(response: Response<()>, stream: Pin<Box<S>>) -> Response<ResponseBody<S>>
where
    S: Stream<Item = Result<Bytes, IncompleteResponse>>,
{
    let collected = stream.try_fold(BytesMut::new(), |mut collected, events| async move {
        if collected.len() + events.len() > MAX_COLLECTED_STREAM_BYTES {
            return Err(IncompleteResponse);
        }
        collected.extend_from_slice(&events);
        Ok(collected)
    });
    match collected.await {
        Ok(events) => response.map(|()| ResponseBody::Full(Full::new(events.freeze()))),
        Err(IncompleteResponse) => refusal_response(Refusal::TargetFailed),
    }
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
    refuse_during_pause(gateway, &call)?;
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
) -> Response<ResponseBody<S>> {
    tracker.complete(full.status.as_u16(), "whole");
    let mut response = Response::new(ResponseBody::Full(Full::new(full.body)));
    *response.status_mut() = full.status;
    *response.headers_mut() = full.headers;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}
