//! Checks of the change from one document to the next.

use toucan_types::{Finding, Severity};

use crate::Document;

/// Returns the errors and warnings on a change.
pub(crate) fn check(old: &Document, new: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_shards(old, new, &mut findings);
    check_budgets(old, new, &mut findings);
    findings
}

fn check_shards(old: &Document, new: &Document, findings: &mut Vec<Finding>) {
    let (old_shards, new_shards) = (
        old.operations().ledger.shards,
        new.operations().ledger.shards,
    );
    if old_shards == new_shards || old.finance().budgets.is_empty() {
        return;
    }
    let message = format!("the number of shards is {old_shards} while budgets are funded");
    let finding = Finding::new(Severity::Error, "operations.ledger.shards", message)
        .with_hint("set the number of shards before the first budget");
    findings.push(finding);
}

fn check_budgets(old: &Document, new: &Document, findings: &mut Vec<Finding>) {
    for (name, budget) in old.budgets() {
        let path = format!("finance.budgets.{name}");
        let Some(successor) = new.budget(name.as_str()) else {
            let message = "the budget is removed; what remains of it is no longer granted";
            findings.push(Finding::new(Severity::Warning, path, message));
            continue;
        };
        if successor.organisation != budget.organisation {
            let message = format!(
                "the budget moves from organisation {} to {}",
                budget.organisation, successor.organisation
            );
            findings.push(Finding::new(Severity::Warning, path.as_str(), message));
        }
        for top_up in &budget.top_ups {
            if !successor.top_ups.iter().any(|kept| kept.id == top_up.id) {
                let message = format!("top-up {} is removed", top_up.id);
                let finding = Finding::new(Severity::Warning, path.as_str(), message)
                    .with_hint("add its tokens to purchased_tokens unless it was wrong");
                findings.push(finding);
            }
        }
    }
}
