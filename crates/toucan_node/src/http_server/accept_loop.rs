//! Accepts connections and hands requests to the routes.

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

use super::{ConnectionLimits, stall_limit::StallLimit};

/// Pause after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tells a server to stop: it accepts no more, closes unused connections, and lets requests end.
#[derive(Clone)]
pub(crate) struct ServerHandle {
    stop: watch::Sender<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl ServerHandle {
    /// The handle of a server that runs.
    pub(crate) fn new() -> Self {
        Self {
            stop: watch::channel(false).0,
            open_connections: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Connections that are open; answers may still be on their way over them.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Stops the server; requests in progress go on.
    pub(crate) fn stop(&self) {
        self.stop.send_replace(true);
    }
}

/// One listening address with its routes.
pub(crate) struct HttpServer {
    name: &'static str,
    listener: TcpListener,
    routes: Arc<Router>,
    limits: ConnectionLimits,
    stopped: watch::Receiver<bool>,
    open_connections: Arc<AtomicUsize>,
}

impl HttpServer {
    /// A server that listens on a bound socket.
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
            stopped: handle.stop.subscribe(),
            open_connections: Arc::clone(&handle.open_connections),
        })
    }

    /// Accepts connections until the server is stopped.
    pub(crate) async fn run(self) {
        let mut stopped = self.stopped.clone();
        loop {
            let accepted = tokio::select! {
                _ = stopped.wait_for(|stopped| *stopped) => return,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(_out_of_resources) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let open = self.open_connections.fetch_add(1, Ordering::Relaxed);
        let guard = CountGuard(Arc::clone(&self.open_connections));
        if open >= self.limits.max_connections {
            metrics::counter!("toucan_connections_refused_total", "server" => self.name)
                .increment(1);
            return;
        }
        // A failure leaves the option off, which costs time but no correctness.
        let _ignored = stream.set_nodelay(true);
        let routes = Arc::clone(&self.routes);
        let (limits, name) = (self.limits, self.name);
        let stopped = self.stopped.clone();
        tokio::spawn(async move {
            let stall = Duration::from_millis(limits.write_timeout_ms);
            let stream = StallLimit::new(stream, stall, name);
            serve(stream, peer, routes, limits, stopped).await;
            drop(guard);
        });
    }
}

struct CountGuard(Arc<AtomicUsize>);

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    stream: StallLimit<TcpStream>,
    peer: SocketAddr,
    routes: Arc<Router>,
    limits: ConnectionLimits,
    mut stopped: watch::Receiver<bool>,
) {
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let routes = Arc::clone(&routes);
        async move { Ok::<Response, Infallible>(answer(&routes, peer, request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes)
        .max_headers(limits.max_header_fields)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = async {
        // An error means that the server is gone, which is a stop as well.
        let _gone = stopped.wait_for(|stopped| *stopped).await;
    };
    tokio::select! {
        // A broken connection is the caller's end of it; the handlers notice by themselves.
        _ended = connection.as_mut() => return,
        () = stopping => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

async fn answer(routes: &Router, peer: SocketAddr, request: hyper::Request<Incoming>) -> Response {
    let mut context = ServerContext::new(Address::Ip(peer));
    let request = request.map(Body::from_incoming);
    routes.call(&mut context, request).await.into_response()
}
