//! Refusals for lack of budget although the budget covered the request.

use crate::history::{Attempt, BudgetHistory, History, Outcome, RequestHistory};

/// Codes of refusals for lack of budget.
const BUDGET_CODES: [&str; 2] = ["budget_spent", "budget_not_reachable"];

/// Returns the number of attempts that were refused for lack of budget although the budget covered
/// the maximum cost of the request.
///
/// What is left of a budget is the tokens purchased by then, minus the usage of answered requests
/// and the maximum cost of all others that may have run.
pub(crate) fn false_refusals(history: &History) -> u64 {
    let budgets = history.budgets.iter();
    budgets
        .map(|budget| false_refusals_of(history, budget))
        .sum()
}

fn false_refusals_of(history: &History, budget: &BudgetHistory) -> u64 {
    let requests = history.requests.iter();
    let requests: Vec<&RequestHistory> = requests
        .filter(|request| request.budget == budget.budget)
        .collect();
    let mut count = 0;
    for request in &requests {
        for attempt in request
            .attempts
            .iter()
            .filter(|attempt| is_budget_refusal(attempt))
        {
            let used = requests.iter().filter(|other| other.bill != request.bill);
            let used: u64 = used
                .map(|other| max_tokens_used_by(other, attempt.ended_ms))
                .sum();
            let purchased = budget.purchased_until(attempt.started_ms);
            if purchased >= used + request.most_tokens {
                count += 1;
            }
        }
    }
    count
}

fn is_budget_refusal(attempt: &Attempt) -> bool {
    matches!(&attempt.outcome, Outcome::Refused { code, .. } if BUDGET_CODES.contains(&code.as_str()))
}

/// Returns the maximum number of tokens that a request may have used by a time.
fn max_tokens_used_by(request: &RequestHistory, at_ms: u64) -> u64 {
    if request.started_ms() > at_ms || request.is_refused_as_not_run() {
        return 0;
    }
    if request.ended_ms() <= at_ms && request.is_answered() {
        return request.usage_tokens();
    }
    request.most_tokens
}
