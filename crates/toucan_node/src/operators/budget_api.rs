//! Handlers for budgets, top-ups and statements.

use http::StatusCode;
use tokio::sync::oneshot;
use toucan_config::operators::{
    BudgetLine, BudgetResponse, BudgetTerms, BudgetsResponse, HolderLine, StatementResponse,
    TopUpRequest,
};
use toucan_ledger::{AccountView, Holding};
use toucan_types::{BudgetName, Offset};
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, edit_response, ok_response},
    api_request::ApiRequest,
    bill_search::find_bills,
    document_api::submit_edit,
};
use crate::{
    ledger::{BudgetHolder, BudgetHoldings, LedgerMessage},
    node_shared::NodeShared,
};

/// Path prefix of the routes of single budgets.
const BUDGETS: &str = "/operators/v1/budgets/";

/// `GET /operators/v1/budgets`.
pub(super) async fn get_budgets(request: ApiRequest) -> Result<Response, ApiProblem> {
    let (reply, answer) = oneshot::channel();
    request
        .shared
        .rings
        .ledger
        .try_send(LedgerMessage::Views(reply))?;
    let unavailable = |_dropped| ApiProblem::unavailable("this node is stopping");
    let views = answer.await.map_err(unavailable)?;
    let lines = views.into_iter().flat_map(|view| {
        let as_of = view.next_offset.unwrap_or_default();
        view.accounts.into_iter().map(move |account| BudgetLine {
            terms: terms(&account, as_of),
            budget: account.budget,
            organisation: account.organisation,
        })
    });
    Ok(ok_response(&BudgetsResponse {
        budgets: lines.collect(),
    }))
}

/// `GET /operators/v1/budgets/{name}`.
pub(super) async fn get_budget(request: ApiRequest) -> Result<Response, ApiProblem> {
    let name = BudgetName::from(request.path_parameter(BUDGETS, "")?);
    let document = request.shared.document.load_full().document.clone();
    let budget = document
        .budget(name.as_str())
        .ok_or_else(|| ApiProblem::not_found(format!("there is no budget {name}")))?;
    let holdings = holdings(&request.shared, &name).await?;
    Ok(ok_response(&BudgetResponse {
        budget: name,
        organisation: budget.organisation.clone(),
        purchased_tokens: budget.total_tokens().unwrap_or_default(),
        bridge_ms: budget.bridge_ms,
        terms: holdings.map(|holdings| terms(&holdings.account, holdings.as_of)),
    }))
}

/// `POST /operators/v1/budgets/{name}/top-ups`.
pub(super) async fn post_top_up(request: ApiRequest) -> Result<Response, ApiProblem> {
    let name = BudgetName::from(request.path_parameter(BUDGETS, "/top-ups")?);
    let top_up: TopUpRequest = request.json()?;
    let outcome = submit_edit(&request, top_up.into_edit(name)).await?;
    Ok(edit_response(&outcome))
}

/// `GET /operators/v1/budgets/{name}/statement`.
pub(super) async fn get_statement(request: ApiRequest) -> Result<Response, ApiProblem> {
    let name = BudgetName::from(request.path_parameter(BUDGETS, "/statement")?);
    let holdings = holdings(&request.shared, &name).await?.ok_or_else(|| {
        let message = format!("this node does not fold the stream of budget {name}");
        ApiProblem::new(StatusCode::MISDIRECTED_REQUEST, message)
    })?;
    let bills = if request.query_parameter("bills")? == "true" {
        Some(find_bills(&request.shared, &name).await?)
    } else {
        None
    };
    Ok(ok_response(&StatementResponse {
        budget: name,
        organisation: holdings.account.organisation.clone(),
        terms: terms(&holdings.account, holdings.as_of),
        holders: holdings.holders.into_iter().map(holder_line).collect(),
        bills,
    }))
}

/// Returns the terms and holders of a budget; [`None`] if this node does not replay its stream.
async fn holdings(
    shared: &NodeShared,
    budget: &BudgetName,
) -> Result<Option<BudgetHoldings>, ApiProblem> {
    let (reply, answer) = oneshot::channel();
    let budget = budget.clone();
    shared
        .rings
        .ledger
        .try_send(LedgerMessage::Holdings { budget, reply })?;
    answer
        .await
        .map_err(|_dropped| ApiProblem::unavailable("this node is stopping"))
}

fn terms(account: &AccountView, as_of: Offset) -> BudgetTerms {
    BudgetTerms {
        purchased_tokens: account.purchased_tokens,
        spent_tokens: account.spent_tokens,
        outstanding_tokens: account.outstanding_tokens,
        held_tokens: account.held_tokens,
        remaining_tokens: account.remaining_tokens,
        cut_owed_tokens: account.cut_owed_tokens,
        as_of,
    }
}

fn holder_line(holder: BudgetHolder) -> HolderLine {
    let Holding {
        incarnation,
        status,
        tokens,
    } = holder.holding;
    HolderLine {
        vm: holder.vm,
        data_centre: holder.data_centre,
        incarnation,
        stage: format!("{status:?}").to_lowercase(),
        tokens,
    }
}
