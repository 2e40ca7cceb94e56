//! Routes of the operators' API, which `toucanctl` calls.

use std::sync::Arc;

use volo_http::{
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, post},
    },
};

use super::{
    api_problem::ApiProblem, api_request::ApiRequest, budget_api, document_api, fleet_api,
    request_api, routes, target_api,
};
use crate::node_shared::NodeShared;

/// Routes that `toucanctl` calls, as `docs/interfaces.md` lists them.
pub const API_ROUTES: [&str; 15] = [
    "GET /operators/v1/document",
    "POST /operators/v1/document/check",
    "POST /operators/v1/document/edits",
    "GET /operators/v1/document/history",
    "GET /operators/v1/document/blame",
    "GET /operators/v1/budgets",
    "GET /operators/v1/budgets/{name}",
    "POST /operators/v1/budgets/{name}/top-ups",
    "GET /operators/v1/budgets/{name}/statement",
    "GET /operators/v1/fleet",
    "POST /operators/v1/incarnations/{id}/release",
    "GET /operators/v1/targets",
    "POST /operators/v1/targets/{name}/drain",
    "GET /operators/v1/requests/{id}",
    "GET /operators/v1/state",
];

/// Adds the routes that `toucanctl` calls to a router.
pub(crate) fn with_api_routes(router: Router, shared: &Arc<NodeShared>) -> Router {
    /// Wraps a handler so that the call is authenticated and read first.
    macro_rules! api {
        ($method:ident, $handler:path) => {{
            let shared = Arc::clone(shared);
            $method(move |request: Request| {
                let shared = Arc::clone(&shared);
                handle(shared, request, $handler)
            })
        }};
    }
    router
        .route(
            "/operators/v1/document",
            api!(get, document_api::get_document),
        )
        .route(
            "/operators/v1/document/check",
            api!(post, document_api::check_edit),
        )
        .route(
            "/operators/v1/document/edits",
            api!(post, document_api::post_edit),
        )
        .route(
            "/operators/v1/document/history",
            api!(get, document_api::get_history),
        )
        .route(
            "/operators/v1/document/blame",
            api!(get, document_api::get_blame),
        )
        .route("/operators/v1/budgets", api!(get, budget_api::get_budgets))
        .route(
            "/operators/v1/budgets/{name}",
            api!(get, budget_api::get_budget),
        )
        .route(
            "/operators/v1/budgets/{name}/top-ups",
            api!(post, budget_api::post_top_up),
        )
        .route(
            "/operators/v1/budgets/{name}/statement",
            api!(get, budget_api::get_statement),
        )
        .route("/operators/v1/fleet", api!(get, fleet_api::get_fleet))
        .route(
            "/operators/v1/incarnations/{id}/release",
            api!(post, fleet_api::release),
        )
        .route("/operators/v1/targets", api!(get, target_api::get_targets))
        .route(
            "/operators/v1/targets/{name}/drain",
            api!(post, target_api::post_drain),
        )
        .route(
            "/operators/v1/requests/{id}",
            api!(get, request_api::explain),
        )
        .route("/operators/v1/state", api!(get, get_state))
}

/// Reads the call, runs its handler and converts an error to a response.
async fn handle<T>(
    shared: Arc<NodeShared>,
    request: Request,
    handler: impl FnOnce(ApiRequest) -> T,
) -> Response
where
    T: Future<Output = Result<Response, ApiProblem>>,
{
    let result = match ApiRequest::read(shared, request).await {
        Ok(request) => handler(request).await,
        Err(problem) => Err(problem),
    };
    result.unwrap_or_else(ApiProblem::into_response)
}

async fn get_state(request: ApiRequest) -> Result<Response, ApiProblem> {
    Ok(routes::node_state(request.shared).await)
}
