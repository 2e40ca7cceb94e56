//! Handlers for targets as this node sees them.

use serde_json::Value;
use toucan_config::operators::{DrainRequest, TargetLine, TargetsResponse};
use toucan_types::TargetName;
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, edit_response, ok_response},
    api_request::ApiRequest,
    document_api::submit_edit,
};

/// Path prefix of the routes of single targets.
const TARGETS: &str = "/operators/v1/targets/";

/// `GET /operators/v1/targets`.
pub(super) async fn get_targets(request: ApiRequest) -> Result<Response, ApiProblem> {
    let shared = &request.shared;
    let dump = shared.rings.dump("admission").await;
    let dump = dump.ok_or_else(|| ApiProblem::unavailable("this node is busy or stopping"))?;
    let document = shared.document.load_full().document.clone();
    let dumped = dump["targets"].as_array().cloned().unwrap_or_default();
    let lines = dumped.iter().filter_map(|entry| {
        let target = TargetName::from(entry["target"].as_str()?);
        let listed = document.target(target.as_str());
        Some(TargetLine {
            service: entry["service"].as_str()?.into(),
            data_centre: entry["data_centre"].as_str()?.into(),
            address: shared.target_address(&target)?,
            is_drained: listed.is_some_and(|listed| listed.is_drained),
            state: target_state(entry).to_owned(),
            in_progress: entry["own_requests"].as_u64().unwrap_or_default(),
            target,
        })
    });
    Ok(ok_response(&TargetsResponse {
        targets: lines.collect(),
    }))
}

/// `POST /operators/v1/targets/{name}/drain`.
pub(super) async fn post_drain(request: ApiRequest) -> Result<Response, ApiProblem> {
    let target = TargetName::from(request.path_parameter(TARGETS, "/drain")?);
    let drain: DrainRequest = request.json()?;
    let document = request.shared.document.load_full().document.clone();
    if document.target(target.as_str()).is_none() {
        let message = format!("there is no target {target} in the document");
        return Err(ApiProblem::not_found(message));
    }
    let outcome = submit_edit(&request, drain.into_edit(&target)).await?;
    Ok(edit_response(&outcome))
}

fn target_state(entry: &Value) -> &'static str {
    if entry["draining"].as_bool() == Some(true) {
        "draining"
    } else if entry["takes_work"].as_bool() == Some(true) {
        "open"
    } else {
        "resting"
    }
}
