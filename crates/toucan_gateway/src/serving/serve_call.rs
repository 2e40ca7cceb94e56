//! Serves one call: reads it, reserves tokens, sends it, and forwards the response.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::{Gateway, Platform, Refusal};

use super::{
    answer::{AnswerBody, IncompleteAnswer, refusal_answer},
    call::{Call, CallAccount},
    read_call::read_call,
    relay::relay_events,
    reserve::reserve_tokens,
    send::{Answered, Refused, WholeAnswer, send_until_answered},
};

/// Serves one call and returns the response for its caller.
pub(crate) async fn serve_call<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> Response<AnswerBody<impl Stream<Item = Result<Bytes, IncompleteAnswer>>>> {
    let mut account = CallAccount::new(Rc::clone(&gateway));
    let (call, answered) = match open_call(&gateway, request, &mut account).await {
        Ok(opened) => opened,
        Err((refusal, reason)) => {
            account.refuse(refusal, reason);
            return refusal_answer(refusal);
        }
    };
    match answered {
        Answered::Whole(whole) => whole_answer(*whole, &mut account),
        Answered::Events(events) => {
            let mut response = Response::new(());
            *response.status_mut() = events.answer.status;
            *response.headers_mut() = events.answer.headers.clone();
            let stream = relay_events(gateway, *call, *events, account);
            response.map(|()| AnswerBody::Relayed(Box::pin(stream)))
        }
    }
}

async fn open_call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: Request<Incoming>,
    account: &mut CallAccount<P>,
) -> Result<(Box<Call>, Answered<P>), Refused> {
    let read = read_call(gateway, request, account).await;
    let mut call = Box::new(read.map_err(|refusal| (refusal, "before admission"))?);
    if gateway.refuses_new_calls() {
        return Err((Refusal::Stopping, "planned stop"));
    }
    let now_ms = gateway.now_ms();
    gateway
        .core
        .borrow_mut()
        .note_call(&call.service, &gateway.bounds(), now_ms);
    if let (Some(organisation), Some(counts)) = (&call.organisation, call.head.tokens)
        && organisation.prepaid.is_some()
    {
        reserve_tokens(gateway, organisation, counts.max_total(), call.deadline_ms).await?;
        account.hold(organisation.name.clone(), counts);
    }
    let answered = send_until_answered(gateway, &mut call, account, None).await?;
    Ok((call, answered))
}

fn whole_answer<P: Platform, S>(
    whole: WholeAnswer,
    account: &mut CallAccount<P>,
) -> Response<AnswerBody<S>> {
    account.answer(whole.status.as_u16(), "whole");
    let mut response = Response::new(AnswerBody::Whole(Full::new(whole.body)));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}
