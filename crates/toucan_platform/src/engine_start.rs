//! Starts a stream over a connection that may have gone silent.

use std::pin::pin;
use std::sync::Arc;

use tokio::time::{Duration, timeout};
use toucan_types::RequestId;

use crate::engine_client::{open_stream, read_stream};
use crate::exchange::Exchange;
use crate::http_target::HttpTarget;
use crate::token_reader::TokenReader;
use crate::{DispatchError, EngineEvent, TokenStream};

/// Status by which an engine says that it holds a stream of the id already.
const HELD_ALREADY: u16 = 409;
/// Status by which an engine says that it holds no stream of the id.
const NOT_HELD: u16 = 404;

/// Starts a stream.
///
/// If no answer begins for a while, the engine is asked over a new connection: first for the
/// stream, and if it holds none, by sending the request again. An engine takes an id once, so the
/// request runs once whichever of the two arrives.
pub(crate) async fn start_stream(
    target: Arc<HttpTarget>,
    exchange: Exchange,
    request: RequestId,
) -> Result<TokenStream, DispatchError> {
    let quiet = Duration::from_millis(target.settings().standby_after_ms);
    let mut first = pin!(read_stream(&target, exchange.clone()));
    if let Ok(started) = timeout(quiet, &mut first).await {
        let reader = started?;
        return Ok(TokenStream::new(target.clone(), request, reader, 0));
    }
    // A pooled connection may have gone silent like the one that is in doubt.
    target.abandon_connections();
    let mut second = pin!(second_start(&target, exchange, &request));
    let new_stream = |reader| TokenStream::new(target.clone(), request.clone(), reader, 0);
    tokio::select! {
        started = &mut first => match started {
            Ok(reader) => Ok(new_stream(reader)),
            Err(error) if may_run(&error) => {
                let Some((reader, event)) = second.await else {
                    return Err(error);
                };
                Ok(new_stream(reader).starting_with(event))
            }
            Err(error) => Err(error),
        },
        started = &mut second => {
            let Some((reader, event)) = started else {
                return first.await.map(new_stream);
            };
            metrics::counter!("toucan_engine_links_silent_total").increment(1);
            Ok(new_stream(reader).starting_with(event))
        }
    }
}

/// The stream over a new connection, once it has brought something.
async fn second_start(
    target: &Arc<HttpTarget>,
    exchange: Exchange,
    request: &RequestId,
) -> Option<(TokenReader, EngineEvent)> {
    let opened = match open_stream(target, request, 0).await {
        Err(DispatchError::Refused {
            status: NOT_HELD, ..
        }) => {
            metrics::counter!("toucan_engine_requests_sent_again_total").increment(1);
            read_stream(target, exchange).await
        }
        opened => opened,
    };
    let mut reader = opened.ok()?;
    let event = reader.read().await.ok()?;
    Some((reader, event))
}

/// Whether the request may run in spite of the error.
fn may_run(error: &DispatchError) -> bool {
    match error {
        DispatchError::Unknown { .. } => true,
        DispatchError::Refused { status, .. } => *status == HELD_ALREADY,
        DispatchError::NotSent { .. } => false,
    }
}
