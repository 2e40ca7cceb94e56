//! `GET /v1/models`: list of models.

use http::{HeaderMap, HeaderValue, header};
use serde_json::json;
use volo_http::{body::Body, response::Response};

use super::{Refusal, authentication::authenticate};
use crate::node_shared::NodeShared;

/// Lists the models that the caller's organisation may use.
pub(crate) fn models(shared: &NodeShared, headers: &HeaderMap) -> Result<Response, Refusal> {
    let document = shared.document.load().document.clone();
    let caller = authenticate(&document, headers, shared.clock.now_ms())?;
    let allowed = document
        .models()
        .models
        .iter()
        .filter(|(_, model)| model.organisations.allows(&caller.organisation))
        .map(|(name, _)| json!({ "id": name, "object": "model", "created": 0, "owned_by": "toucanthread" }));
    let list = json!({ "object": "list", "data": allowed.collect::<Vec<_>>() });
    let mut response = Response::new(Body::from(list.to_string()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    Ok(response)
}
