//! What happened to one request.

use toucan_config::operators::ExplainResponse;
use toucan_types::{BillId, BudgetName, OrganisationName, RequestId};
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, done},
    api_request::ApiRequest,
    bill_search::bills_of,
};

/// Start of the paths of this module.
const REQUESTS: &str = "/operators/v1/requests/";

/// `GET /operators/v1/requests/{id}?organisation=O`.
pub(super) async fn explain(request: ApiRequest) -> Result<Response, ApiProblem> {
    let id = RequestId::from(request.path_part(REQUESTS, "")?);
    let organisation = OrganisationName::from(request.query("organisation")?);
    let shared = &request.shared;

    let bill = BillId::of(&organisation, &id);
    let trail = shared.traces.of(bill);
    let document = shared.document.load_full().document.clone();
    let budgets = match &trail.budget {
        Some(budget) => vec![budget.clone()],
        None => budgets_of(&document, &organisation),
    };
    let mut billed = None;
    for budget in budgets {
        let bills = bills_of(shared, &budget).await?;
        if let Some(line) = bills.into_iter().find(|line| line.bill == bill) {
            billed = Some((budget, line.tokens));
            break;
        }
    }
    if billed.is_none() && trail.steps.is_empty() {
        let message = format!("neither this node nor the log knows request {id} of {organisation}");
        return Err(ApiProblem::not_found(message));
    }
    let (budget, billed_tokens) = match billed {
        Some((budget, tokens)) => (budget, Some(tokens)),
        None => (trail.budget.unwrap_or_default(), None),
    };
    Ok(done(&ExplainResponse {
        request: id,
        organisation,
        bill,
        budget,
        billed_tokens,
        steps: trail.steps,
    }))
}

fn budgets_of(
    document: &toucan_config::Document,
    organisation: &OrganisationName,
) -> Vec<BudgetName> {
    let budgets = document.budgets();
    budgets
        .filter(|(_, budget)| budget.organisation == *organisation)
        .map(|(name, _)| name.clone())
        .collect()
}
