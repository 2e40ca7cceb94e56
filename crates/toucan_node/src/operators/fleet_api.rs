//! Handlers for the fleet as this node sees it.

use http::StatusCode;
use tokio::sync::oneshot;
use toucan_config::Section;
use toucan_config::operators::{
    FleetResponse, ReleaseRequest, ReleaseResponse, StrandedTokens, VmLine,
};
use toucan_types::{IncarnationId, Offset};
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, ok_response},
    api_request::ApiRequest,
};
use crate::{
    ledger::{BudgetHolder, LedgerMessage},
    membership::{FleetMember, FleetView, MembershipMessage},
    node_shared::NodeShared,
};

/// `GET /operators/v1/fleet`.
pub(super) async fn get_fleet(request: ApiRequest) -> Result<Response, ApiProblem> {
    let shared = &request.shared;
    let (reply, answer) = oneshot::channel();
    shared
        .rings
        .membership
        .try_send(MembershipMessage::Fleet(reply))?;
    let unavailable = |_dropped| ApiProblem::unavailable("this node is stopping");
    let fleet: FleetView = answer.await.map_err(unavailable)?;
    let (reply, answer) = oneshot::channel();
    shared
        .rings
        .ledger
        .try_send(LedgerMessage::Holders(reply))?;
    let holders = answer.await.map_err(unavailable)?;
    let vms = fleet
        .members
        .iter()
        .map(|member| vm_line(shared, member, &holders));
    let mut fleet_response = FleetResponse {
        seen_from: shared.identity.vm.clone(),
        vms: vms.collect(),
    };
    fleet_response
        .vms
        .extend(unlisted_incarnations(&fleet, &holders));
    Ok(ok_response(&fleet_response))
}

/// `POST /operators/v1/incarnations/{id}/release`.
pub(super) async fn release(request: ApiRequest) -> Result<Response, ApiProblem> {
    if request.operator.team != Section::Operations.team() {
        let message = "only team operations may release what a process holds";
        return Err(ApiProblem::new(StatusCode::FORBIDDEN, message));
    }
    let body: ReleaseRequest = request.json()?;
    if !body.is_destroyed {
        return Err(ApiProblem::malformed(
            "a release needs the word that the VM is destroyed",
        ));
    }
    let id = request.path_parameter("/operators/v1/incarnations/", "/release")?;
    let incarnation = parse_incarnation(&id)
        .ok_or_else(|| ApiProblem::malformed(format!("`{id}` is not an incarnation")))?;
    log::warn!(
        "{} releases incarnation {incarnation}",
        request.operator.author
    );
    let (reply, answer) = oneshot::channel();
    let message = LedgerMessage::ReleaseByOperator { incarnation, reply };
    request.shared.rings.ledger.try_send(message)?;
    let unavailable = |_dropped| ApiProblem::unavailable("this node is stopping");
    let shards = answer.await.map_err(unavailable)?;
    Ok(ok_response(&ReleaseResponse { shards }))
}

fn vm_line(shared: &NodeShared, member: &FleetMember, holders: &[BudgetHolder]) -> VmLine {
    let state = shared.document.load();
    let applied_to = Offset(member.document_offset);
    // Heartbeats contain the offset only, so the versions are known only at this node's own offset.
    let versions = (applied_to == state.applied_to).then(|| state.document.versions());
    let incarnation = member.incarnation.as_deref().and_then(parse_incarnation);
    let now_ms = shared.clock.now_ms();
    let is_live = member.state == "live";
    let stranded = holders
        .iter()
        .filter(|holder| Some(holder.holding.incarnation) == incarnation)
        .filter(|holder| !is_live || !holder.is_live());
    VmLine {
        vm: member.vm.as_str().into(),
        data_centre: member.data_centre.as_str().into(),
        incarnation,
        stage: member.state.to_owned(),
        versions,
        applied_to: Some(applied_to),
        heard_ago_ms: (!is_live).then(|| now_ms.saturating_sub(member.since_ms)),
        stranded: stranded.map(stranded_tokens).collect(),
    }
}

/// Returns lines for the incarnations that hold tokens but belong to no known VM.
fn unlisted_incarnations(fleet: &FleetView, holders: &[BudgetHolder]) -> Vec<VmLine> {
    let known = |incarnation: IncarnationId| {
        let text = incarnation.to_string();
        fleet
            .members
            .iter()
            .any(|member| member.incarnation.as_deref() == Some(&text))
    };
    let mut lines: Vec<VmLine> = Vec::new();
    for holder in holders {
        let incarnation = holder.holding.incarnation;
        if known(incarnation) || holder.holding.tokens.is_zero() {
            continue;
        }
        let stranded = stranded_tokens(holder);
        let line = lines
            .iter_mut()
            .find(|line| line.incarnation == Some(incarnation));
        if let Some(line) = line {
            line.stranded.push(stranded);
            continue;
        }
        lines.push(VmLine {
            vm: holder.vm.clone(),
            data_centre: holder.data_centre.clone(),
            incarnation: Some(incarnation),
            stage: format!("{:?}", holder.holding.status).to_lowercase(),
            versions: None,
            applied_to: None,
            heard_ago_ms: None,
            stranded: vec![stranded],
        });
    }
    lines
}

fn stranded_tokens(holder: &BudgetHolder) -> StrandedTokens {
    StrandedTokens {
        budget: holder.budget.clone(),
        tokens: holder.holding.tokens,
    }
}

fn parse_incarnation(text: &str) -> Option<IncarnationId> {
    u64::from_str_radix(text, 16).ok().map(IncarnationId)
}
