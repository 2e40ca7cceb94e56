//! Starts streams, also when the first connection is unresponsive.

use std::pin::pin;
use std::sync::Arc;

use tokio::time::{Duration, timeout};
use toucan_types::RequestId;

use crate::engine_client::{open_stream, read_stream};
use crate::http_target::HttpTarget;
use crate::outgoing_request::OutgoingRequest;
use crate::token_reader::TokenReader;
use crate::{DispatchError, EngineEvent, TokenStream};

/// Status with which an engine reports that a stream with this id already exists.
const STATUS_STREAM_EXISTS: u16 = 409;
/// Status with which an engine reports that no stream with this id exists.
const STATUS_STREAM_NOT_FOUND: u16 = 404;

/// Starts a stream.
///
/// If no response arrives within the standby delay, a new connection is opened. It resumes the
/// stream, or sends the request again if the engine has no such stream. An engine accepts an id
/// only once, so the request runs once even if both copies arrive.
pub(crate) async fn start_stream(
    target: Arc<HttpTarget>,
    outgoing: OutgoingRequest,
    request_id: RequestId,
) -> Result<TokenStream, DispatchError> {
    let quiet = Duration::from_millis(target.settings().standby_after_ms);
    let mut first = pin!(read_stream(&target, outgoing.clone()));
    if let Ok(started) = timeout(quiet, &mut first).await {
        let reader = started?;
        return Ok(TokenStream::new(target.clone(), request_id, reader, 0));
    }
    // Pooled connections may be as unresponsive as the first one.
    target.abandon_connections();
    let mut second = pin!(start_over_new_connection(&target, outgoing, &request_id));
    let new_stream = |reader| TokenStream::new(target.clone(), request_id.clone(), reader, 0);
    tokio::select! {
        started = &mut first => match started {
            Ok(reader) => Ok(new_stream(reader)),
            Err(error) if may_run(&error) => {
                let Some((reader, event)) = second.await else {
                    return Err(error);
                };
                Ok(new_stream(reader).with_first_event(event))
            }
            Err(error) => Err(error),
        },
        started = &mut second => {
            let Some((reader, event)) = started else {
                return first.await.map(new_stream);
            };
            metrics::counter!("toucan_engine_links_silent_total").increment(1);
            Ok(new_stream(reader).with_first_event(event))
        }
    }
}

/// Opens the stream over a new connection and returns it with its first event.
async fn start_over_new_connection(
    target: &Arc<HttpTarget>,
    outgoing: OutgoingRequest,
    request_id: &RequestId,
) -> Option<(TokenReader, EngineEvent)> {
    let opened = match open_stream(target, request_id, 0).await {
        Err(DispatchError::Refused {
            status: STATUS_STREAM_NOT_FOUND,
            ..
        }) => {
            metrics::counter!("toucan_engine_requests_sent_again_total").increment(1);
            read_stream(target, outgoing).await
        }
        opened => opened,
    };
    let mut reader = opened.ok()?;
    let event = reader.read().await.ok()?;
    Some((reader, event))
}

/// Returns whether the request may be running despite the error.
fn may_run(error: &DispatchError) -> bool {
    match error {
        DispatchError::Unknown { .. } => true,
        DispatchError::Refused { status, .. } => *status == STATUS_STREAM_EXISTS,
        DispatchError::NotSent { .. } => false,
    }
}
