//! Handler that explains what happened to a request.

use toucan_config::operators::ExplainResponse;
use toucan_types::{BillId, BudgetName, OrganisationName, RequestId};
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, ok_response},
    api_request::ApiRequest,
    bill_search::find_bills,
};

/// Path prefix of the routes of this module.
const REQUESTS: &str = "/operators/v1/requests/";

/// `GET /operators/v1/requests/{id}?organisation=O`.
pub(super) async fn explain(request: ApiRequest) -> Result<Response, ApiProblem> {
    let id = RequestId::from(request.path_parameter(REQUESTS, "")?);
    let organisation = OrganisationName::from(request.query_parameter("organisation")?);
    let shared = &request.shared;

    let bill = BillId::of(&organisation, &id);
    let trace = shared.traces.get(bill);
    let document = shared.document.load_full().document.clone();
    let budgets = match &trace.budget {
        Some(budget) => vec![budget.clone()],
        None => budgets_of_organisation(&document, &organisation),
    };
    let mut billed = None;
    for budget in budgets {
        let bills = find_bills(shared, &budget).await?;
        if let Some(line) = bills.into_iter().find(|line| line.bill == bill) {
            billed = Some((budget, line.tokens));
            break;
        }
    }
    if billed.is_none() && trace.steps.is_empty() {
        let message = format!("neither this node nor the log knows request {id} of {organisation}");
        return Err(ApiProblem::not_found(message));
    }
    let (budget, billed_tokens) = match billed {
        Some((budget, tokens)) => (budget, Some(tokens)),
        None => (trace.budget.unwrap_or_default(), None),
    };
    Ok(ok_response(&ExplainResponse {
        request: id,
        organisation,
        bill,
        budget,
        billed_tokens,
        steps: trace.steps,
    }))
}

fn budgets_of_organisation(
    document: &toucan_config::Document,
    organisation: &OrganisationName,
) -> Vec<BudgetName> {
    let budgets = document.budgets();
    budgets
        .filter(|(_, budget)| budget.organisation == *organisation)
        .map(|(name, _)| name.clone())
        .collect()
}
