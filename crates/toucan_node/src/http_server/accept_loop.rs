//! Accepts connections and passes their requests to the router.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};
use volo::{net::Address, service::Service};
use volo_http::{
    body::Body,
    context::ServerContext,
    response::Response,
    server::{IntoResponse, Router},
};

use super::{ConnectionLimits, write_timeout::WriteTimeout};

/// Backoff after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(50);

/// Handle that shuts a server down gracefully.
///
/// After a shutdown, the server accepts no connections, closes idle ones and finishes the requests
/// in progress.
#[derive(Clone)]
pub(crate) struct ServerHandle {
    stop: watch::Sender<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl ServerHandle {
    /// Creates the handle of a running server.
    pub(crate) fn new() -> Self {
        Self {
            stop: watch::channel(false).0,
            open_connections: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Returns the number of open connections, which may still be sending responses.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Starts a graceful shutdown; requests in progress continue.
    pub(crate) fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// HTTP server of one listening address.
pub(crate) struct HttpServer {
    name: &'static str,
    listener: TcpListener,
    routes: Arc<Router>,
    limits: ConnectionLimits,
    shutdown: watch::Receiver<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Creates a server that listens on a bound socket.
    ///
    /// Must be called within a tokio runtime.
    pub(crate) fn new(
        name: &'static str,
        listener: std::net::TcpListener,
        routes: Router,
        limits: ConnectionLimits,
        handle: &ServerHandle,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Self {
            name,
            listener: TcpListener::from_std(listener)?,
            routes: Arc::new(routes),
            limits,
            shutdown: handle.stop.subscribe(),
            open_connections: Arc::clone(&handle.open_connections),
        })
    }

    /// Accepts connections until the server is shut down.
    pub(crate) async fn run(self) {
        let mut shutdown = self.shutdown.clone();
        loop {
            let accepted = tokio::select! {
                _ = shutdown.wait_for(|shutdown| *shutdown) => return,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.spawn_connection(stream, peer),
                Err(_out_of_resources) => tokio::time::sleep(ACCEPT_ERROR_BACKOFF).await,
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let open = self.open_connections.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard(Arc::clone(&self.open_connections));
        if open >= self.limits.max_connections {
            metrics::counter!("toucan_connections_refused_total", "server" => self.name)
                .increment(1);
            return;
        }
        // Without the option, responses are slower but correct.
        let _ignored = stream.set_nodelay(true);
        let routes = Arc::clone(&self.routes);
        let (limits, name) = (self.limits, self.name);
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move {
            let timeout = Duration::from_millis(limits.write_timeout_ms);
            let stream = WriteTimeout::new(stream, timeout, name);
            serve_connection(stream, peer, routes, limits, shutdown).await;
            drop(guard);
        });
    }
}

struct ConnectionGuard(Arc<AtomicUsize>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection(
    stream: WriteTimeout<TcpStream>,
    peer: SocketAddr,
    routes: Arc<Router>,
    limits: ConnectionLimits,
    mut shutdown: watch::Receiver<bool>,
) {
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let routes = Arc::clone(&routes);
        async move { Ok::<Response, Infallible>(respond(&routes, peer, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .max_headers(limits.max_header_fields)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let shutdown_requested = async {
        // An error means that the server's handle was dropped, which is a shutdown as well.
        let _gone = shutdown.wait_for(|shutdown| *shutdown).await;
    };
    tokio::select! {
        // The connection was closed or failed; its handlers detect that by themselves.
        _ended = connection.as_mut() => return,
        () = shutdown_requested => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

async fn respond(routes: &Router, peer: SocketAddr, request: hyper::Request<Incoming>) -> Response {
    let mut context = ServerContext::new(Address::Ip(peer));
    let request = request.map(Body::from_incoming);
    routes.call(&mut context, request).await.into_response()
}
