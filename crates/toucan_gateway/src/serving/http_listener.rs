//! Accepts connections and serves HTTP/1 on them.

use std::{cell::OnceCell, convert::Infallible, future::Future, rc::Rc, time::Duration};

use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::watch};

use crate::{
    config::CallerLimits,
    socket_options::{SlowPeerOptions, set_liveness_options},
};

use super::{caller_connection::CallerConnection, connection_count::ConnectionCount};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer.
const MIN_BUFFER_BYTES: usize = 16 * 1024;

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
            let service = service_fn(move |mut request: Request<Incoming>| {
                counted.get_or_init(|| count.count());
                if let Some(handle) = &handle {
                    request.extensions_mut().insert(handle.clone());
                }
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                // hyper applies this timeout between two requests as well, so it must not be
                // shorter than the idle timeout.
                .header_read_timeout(Duration::from_millis(
                    limits.idle_timeout_ms.max(limits.header_timeout_ms),
                ))
                .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
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
                tokio::select! {
                    result = connection.as_mut() => return log_end(name, result),
                    () = closing => connection.as_mut().graceful_shutdown(),
                }
                log_end(name, connection.await);
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

fn log_end(name: &'static str, result: hyper::Result<()>) {
    if let Err(error) = result {
        log::debug!(target: "listener", name = name, error:% = error; "a connection broke");
    }
}
