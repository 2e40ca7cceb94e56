//! Routes of the callers' interface.

use std::{future::Future, sync::Arc};

use http::{HeaderValue, StatusCode, header};
use toucan_types::RequestId;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{MethodRouter, any, get, post},
    },
};

use super::{
    Refusal, RefusalCode, chat::chat, idempotency_cache::IdempotencyCache, models::models,
    plain_services::plain_service, request_id::request_id,
};
use crate::node_shared::{NodeShared, NodeStatus};

/// Routes of the callers' interface, as `docs/interfaces.md` lists them.
pub const CALLER_ROUTES: [&str; 5] = [
    "POST /v1/chat/completions",
    "GET /v1/models",
    "ANY /services/{service}/{*path}",
    "GET /healthz",
    "GET /readyz",
];

/// Returns the router of the callers' interface.
pub(crate) fn caller_routes(shared: &Arc<NodeShared>) -> Router {
    let chat_shared = Arc::clone(shared);
    let models_shared = Arc::clone(shared);
    let services_shared = Arc::clone(shared);
    let cache = IdempotencyCache::new(shared.settings.replay);
    let readiness_shared = Arc::clone(shared);
    Router::new()
        .route(
            "/v1/chat/completions",
            only(
                "POST",
                post(move |request: Request| {
                    let shared = Arc::clone(&chat_shared);
                    respond(request, async move |request, id| {
                        chat(shared, request, &id).await
                    })
                }),
            ),
        )
        .route(
            "/v1/models",
            only(
                "GET",
                get(move |request: Request| {
                    let shared = Arc::clone(&models_shared);
                    respond(request, async move |request, _id| {
                        models(&shared, request.headers())
                    })
                }),
            ),
        )
        .route(
            "/services/{service}/{*path}",
            any(move |request: Request| {
                let (shared, cache) = (Arc::clone(&services_shared), Arc::clone(&cache));
                respond(request, async move |request, id| {
                    plain_service(shared, cache, request, &id).await
                })
            }),
        )
        .route("/healthz", only("GET", get(|| async { "ok\n" })))
        .route(
            "/readyz",
            only(
                "GET",
                get(move || {
                    let response = readiness(&readiness_shared);
                    async move { response }
                }),
            ),
        )
        .fallback(|request: Request| {
            respond(request, async |request: Request, _id| {
                let message = format!("there is no route {}", request.uri().path());
                Err(Refusal::new(RefusalCode::NotFound, message))
            })
        })
}

/// Refuses the methods that a route does not support.
fn only(allow: &'static str, route: MethodRouter) -> MethodRouter {
    route.fallback(move |request: Request| async move {
        let mut response = respond(request, async |request: Request, _id| {
            let message = format!("{} takes {allow}", request.uri().path());
            Err(Refusal::new(RefusalCode::MethodNotAllowed, message))
        })
        .await;
        let allow = HeaderValue::from_static(allow);
        response.headers_mut().insert(header::ALLOW, allow);
        response
    })
}

/// Assigns the request's id, runs its handler and converts a refusal to a response.
async fn respond<F, T>(request: Request, handler: F) -> Response
where
    F: FnOnce(Request, RequestId) -> T,
    T: Future<Output = Result<Response, Refusal>>,
{
    let id = match request_id(request.headers(), &mut rand::rng()) {
        Ok(id) => id,
        Err(refusal) => return refusal.into_response(&RequestId::default()),
    };
    metrics::counter!("toucan_requests_total").increment(1);
    match handler(request, id.clone()).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(&id),
    }
}

/// Returns the readiness response, which tells the load balancer whether to send requests here.
pub(crate) fn readiness(shared: &NodeShared) -> Response {
    let (status, text) = match shared.status() {
        NodeStatus::Ready => (StatusCode::OK, "ready\n"),
        NodeStatus::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        NodeStatus::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
    };
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    response
}
