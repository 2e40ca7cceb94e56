//! HTTP server of a stand-in.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use toucan_types::FastHashMap;
use volo::Service;
use volo::net::incoming::DefaultIncoming;
use volo_http::context::ServerContext;
use volo_http::request::Request;
use volo_http::response::Response;
use volo_http::server::Server;

use crate::http_call::{HttpCall, text_response};

/// Handler of HTTP calls.
pub(crate) trait HttpHandler: Send + Sync + 'static {
    /// Handles one call.
    fn handle(self: Arc<Self>, call: HttpCall) -> impl Future<Output = Response> + Send;
}

struct StandinService<S>(Arc<S>);

impl<S: HttpHandler> Service<ServerContext, Request> for StandinService<S> {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        let (parts, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "the body broke off"));
        };
        let call = HttpCall {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            query: parse_query(parts.uri.query().unwrap_or_default()),
            headers: parts.headers,
            body: body.to_bytes(),
        };
        Ok(Arc::clone(&self.0).handle(call).await)
    }
}

fn parse_query(query: &str) -> FastHashMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Serves a stand-in until the runtime stops, and returns the address on which it listens.
pub(crate) async fn serve<S: HttpHandler>(
    standin: Arc<S>,
    address: SocketAddr,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let server = Server::new(StandinService(standin));
    tokio::spawn(server.run(DefaultIncoming::from(listener)));
    Ok(address)
}

/// Loopback address with port 0, for which the system chooses a port.
pub(crate) fn any_loopback_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
