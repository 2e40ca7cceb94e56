//! Checks of spending against budgets, and of one correct bill per request.

use std::collections::BTreeMap;

use super::replay::Replay;
use super::{Breach, Promise};
use crate::history::{History, RequestHistory};

/// Returns the budgets for which more tokens were billed, stated as spent, or delivered to callers
/// than purchased.
pub(crate) fn overspend(history: &History, replay: &Replay<'_>) -> Vec<Breach> {
    let mut delivered: BTreeMap<&str, u64> = BTreeMap::new();
    for request in &history.requests {
        *delivered.entry(&request.budget).or_default() += request.usage_tokens();
    }
    let mut breaches = Vec::new();
    for budget in &history.budgets {
        let purchased_tokens = budget.purchased_tokens();
        let of = |terms: &BTreeMap<&str, u64>| terms.get(budget.budget.as_str()).copied();
        let delivered_tokens = of(&delivered).unwrap_or(0);
        let billed_tokens = of(&replay.spent_tokens).unwrap_or(0);
        let stated = history.statements.iter();
        let stated = stated.filter(|statement| statement.budget == budget.budget);
        let stated_tokens = stated.map(|statement| statement.spent_tokens).max();
        let stated_tokens = stated_tokens.unwrap_or(0);
        let spent_tokens = delivered_tokens.max(billed_tokens).max(stated_tokens);
        if spent_tokens > purchased_tokens {
            breaches.push(Breach {
                promise: Promise::NoOverspend,
                amount: spent_tokens - purchased_tokens,
                excerpt: vec![format!(
                    "budget {}: purchased {purchased_tokens}, billed in the log {billed_tokens}, \
                     delivered to callers {delivered_tokens}, spent by statement {stated_tokens}",
                    budget.budget
                )],
            });
        }
    }
    breaches
}

/// Returns the requests whose bill differs from their usage or budget, and the statements of more
/// spent tokens than the sum of the bills in the log, each counted once.
pub(crate) fn billed_twice(history: &History, replay: &Replay<'_>) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for request in &history.requests {
        let Some(bill) = replay.bills.get(request.bill.as_str()) else {
            continue;
        };
        let usage_tokens = request.usage_tokens();
        let wrong_price = request.is_answered() && usage_tokens > 0 && bill.tokens != usage_tokens;
        let wrong_budget = bill.budget != request.budget;
        if wrong_price || wrong_budget {
            let mut excerpt = describe_request(request);
            excerpt.push(format!(
                "bill {}: {} tokens of budget {}, written {} more times; usage {usage_tokens}",
                request.bill, bill.tokens, bill.budget, bill.duplicates
            ));
            breaches.push(Breach::one(Promise::BilledOnce, excerpt));
        }
    }
    for statement in &history.statements {
        let effective = replay.spent_tokens.get(statement.budget.as_str()).copied();
        let effective_tokens = effective.unwrap_or(0);
        if statement.spent_tokens > effective_tokens {
            breaches.push(Breach::one(
                Promise::BilledOnce,
                vec![format!(
                    "budget {}: node {} states {} tokens spent, the bills of the log, each counted \
                     once, come to {effective_tokens}",
                    statement.budget, statement.node, statement.spent_tokens
                )],
            ));
        }
    }
    breaches
}

/// Returns the answered requests without an effective bill.
pub(crate) fn unbilled(history: &History, replay: &Replay<'_>) -> Vec<Breach> {
    let answered = history
        .requests
        .iter()
        .filter(|request| request.usage_tokens() > 0);
    let unbilled = answered.filter(|request| !replay.bills.contains_key(request.bill.as_str()));
    unbilled
        .map(|request| {
            let mut excerpt = describe_request(request);
            excerpt.push(format!("no bill {} counts in the log", request.bill));
            Breach::one(Promise::Billed, excerpt)
        })
        .collect()
}

/// Formats a request and its attempts, one line each.
pub(crate) fn describe_request(request: &RequestHistory) -> Vec<String> {
    let mut lines = vec![format!(
        "request {} of {}, budget {}",
        request.request_id, request.organisation, request.budget
    )];
    for attempt in &request.attempts {
        lines.push(format!(
            "attempt at {} from {} to {}: {:?}",
            attempt.node, attempt.started_ms, attempt.ended_ms, attempt.outcome
        ));
    }
    lines
}
