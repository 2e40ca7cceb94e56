//! Accepts connections and serves HTTP/1 on them.

use std::{
    cell::{Cell, OnceCell},
    convert::Infallible,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

use crate::{
    config::CallerLimits,
    socket_options::{SlowPeerOptions, set_liveness_options},
};

use super::{caller_connection::CallerConnection, connection_count::ConnectionCount};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer.
const MIN_BUFFER_BYTES: usize = 16 * 1024;
/// Time for which the rest of a request is read and discarded after its answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Size of the buffer for that.
const DISCARD_BYTES: usize = 8 * 1024;

/// Shutdown state of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerState {
    /// Connections are kept alive.
    Open,
    /// Connections close after the request in progress.
    Closing,
}

/// Accepts and serves connections until the process ends.
///
/// Once the state is [`ListenerState::Closing`], open connections shut down gracefully. If `slow_peers` are
/// given, each request has a [`CallerConnection`] in its extensions. `count` counts connections from their first request to
/// their end.
pub(crate) async fn serve_listener<H, F, B>(
    name: &'static str,
    listener: TcpListener,
    limits: impl Fn() -> CallerLimits,
    slow_peers: Option<SlowPeerOptions>,
    state: watch::Receiver<ListenerState>,
    count: ConnectionCount,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: Body + 'static,
    B::Data: 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let handler = Rc::new(handler);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _peer)) => stream,
            Err(error) => {
                log::warn!(target: "listener", name = name, error:% = error; "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let options_set = set_liveness_options(&stream)
            .and_then(|()| slow_peers.map_or(Ok(()), |options| options.apply(&stream)));
        if let Err(error) = options_set {
            log::debug!(target: "listener", name = name, error:% = error; "socket options cannot be set, the connection is closed");
            continue;
        }
        metrics::counter!("toucan_accepted_connections_total", "listener" => name).increment(1);
        let handler = Rc::clone(&handler);
        let limits = limits();
        let mut state = state.clone();
        let count = count.clone();
        tokio::task::spawn_local(async move {
            let caller = slow_peers.map(|_options| CallerConnection::default());
            let handle = caller.clone();
            let counted = OnceCell::new();
            let is_answered_early = Rc::new(Cell::new(false));
            let answered_early = Rc::clone(&is_answered_early);
            let service = service_fn(move |mut request: Request<Incoming>| {
                counted.get_or_init(|| count.count());
                if let Some(handle) = &handle {
                    request.extensions_mut().insert(handle.clone());
                }
                let is_large = is_larger_than_buffer(request.body());
                let response = handler(request);
                let answered_early = Rc::clone(&answered_early);
                Box::pin(async move {
                    let response = response.await;
                    let is_failure = response.status().as_u16() >= 400;
                    answered_early.set(is_large && is_failure);
                    Ok::<_, Infallible>(response)
                })
            });
            let mut connection = http1::Builder::new()
                .timer(TokioTimer::new())
                // hyper applies this timeout between two requests as well, so it must not be
                // shorter than the idle timeout.
                .header_read_timeout(Duration::from_millis(
                    limits.idle_timeout_ms.max(limits.header_timeout_ms),
                ))
                .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream), service);
            // A connection accepted while closing is not shut down here: its one request is refused
            // with a response that closes it.
            let accepted_while_closing = *state.borrow() == ListenerState::Closing;
            let closing = async {
                if accepted_while_closing {
                    std::future::pending::<()>().await;
                }
                // An error means that the sender is gone because the process ends.
                let _gone = state
                    .wait_for(|state| *state == ListenerState::Closing)
                    .await;
            };
            let served = async {
                let ended = tokio::select! {
                    result = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(result),
                    () = closing => None,
                };
                let result = if let Some(result) = ended {
                    result
                } else {
                    Pin::new(&mut connection).graceful_shutdown();
                    poll_fn(|cx| connection.poll_without_shutdown(cx)).await
                };
                let is_regular = result.is_ok();
                log_end(name, result);
                if is_regular {
                    let stream = connection.into_parts().io.into_inner();
                    close(stream, is_answered_early.get()).await;
                }
            };
            let Some(caller) = caller else {
                return served.await;
            };
            tokio::select! {
                () = served => {}
                () = caller.ended() => {
                    log::debug!(target: "listener", name = name; "a call has ended whose caller does not read, its connection is closed");
                }
            }
        });
    }
}

/// Returns whether a request has a body of which a part may still be on its way when its head has been read.
fn is_larger_than_buffer(body: &Incoming) -> bool {
    let exact = body.size_hint().exact();
    exact.is_none_or(|bytes| bytes > MIN_BUFFER_BYTES as u64)
}

/// Closes a connection. If its last request was answered before it was read whole, the rest is read and discarded: the kernel
/// resets a connection that is closed with bytes unread, and the caller loses the answer.
async fn close(mut stream: TcpStream, has_unread_bytes: bool) {
    if stream.shutdown().await.is_err() || !has_unread_bytes {
        return;
    }
    let mut buffer = vec![0; DISCARD_BYTES];
    let discard = async { while matches!(stream.read(&mut buffer).await, Ok(1..)) {} };
    if timeout(DISCARD_TIME, discard).await.is_err() {
        log::debug!(target: "listener", "a caller still writes a request that was answered, its connection is closed");
    }
}

fn log_end(name: &'static str, result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(target: "listener", name = name, error:% = error; "a connection broke");
    }
}
