//! Routes of the operators' interface.

use std::sync::Arc;

use http::{HeaderValue, StatusCode, header};
use metrics_exporter_prometheus::PrometheusHandle;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{Router, route::get},
};

use super::api_routes::with_api_routes;
use crate::{callers::readiness, node_shared::NodeShared};

/// Routes of the operators' interface, as `docs/interfaces.md` lists them.
pub const OPERATOR_ROUTES: [&str; 5] = [
    "GET /metrics",
    "GET /state",
    "GET /state/{duty}",
    "GET /healthz",
    "GET /readyz",
];

/// Returns the router of the operators' interface.
pub(crate) fn operator_routes(shared: &Arc<NodeShared>, metrics: PrometheusHandle) -> Router {
    let state_shared = Arc::clone(shared);
    let duty_shared = Arc::clone(shared);
    let readiness_shared = Arc::clone(shared);
    let router = Router::new()
        .route(
            "/metrics",
            get(move || {
                let text = metrics.render();
                async move { text }
            }),
        )
        .route("/state", get(move || node_state(Arc::clone(&state_shared))))
        .route(
            "/state/{duty}",
            get(move |request: Request| duty_state(Arc::clone(&duty_shared), request)),
        )
        .route("/healthz", get(|| async { "ok\n" }))
        .route(
            "/readyz",
            get(move || {
                let response = readiness(&readiness_shared);
                async move { response }
            }),
        );
    with_api_routes(router, shared)
}

pub(super) async fn node_state(shared: Arc<NodeShared>) -> Response {
    let mut all = serde_json::Map::new();
    all.insert("identity".to_owned(), serde_json::json!(shared.identity));
    all.insert(
        "stage".to_owned(),
        format!("{:?}", shared.status()).to_lowercase().into(),
    );
    all.insert("open_requests".to_owned(), shared.open_requests().into());
    for duty in crate::node_shared::DUTIES {
        let dump = shared.rings.dump(duty).await;
        all.insert(duty.to_owned(), dump.unwrap_or(serde_json::Value::Null));
    }
    json_response(StatusCode::OK, &serde_json::Value::Object(all))
}

async fn duty_state(shared: Arc<NodeShared>, request: Request) -> Response {
    let duty = request
        .uri()
        .path()
        .trim_start_matches("/state/")
        .to_owned();
    match shared.rings.dump(&duty).await {
        Some(dump) => json_response(StatusCode::OK, &dump),
        None => {
            let known = crate::node_shared::DUTIES.join(", ");
            let message = format!("there is no duty {duty}; expected one of {known}");
            json_response(
                StatusCode::NOT_FOUND,
                &serde_json::json!({ "error": message }),
            )
        }
    }
}

/// Returns a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: &serde_json::Value) -> Response {
    let mut response = Response::new(Body::from(body.to_string()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
