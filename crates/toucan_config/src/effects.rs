//! Warnings on what an edit changes for budgets, models, keys and targets in use.

use toucan_types::{BudgetName, Finding, Severity, Tokens};

use crate::{Document, Section};

/// Tokens of a budget that cannot be granted any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUse {
    /// Tokens billed.
    pub spent_tokens: Tokens,
    /// Tokens granted to routers and not yet billed.
    pub outstanding_tokens: Tokens,
    /// Tokens held until it is known whether they were spent.
    pub held_tokens: Tokens,
}

/// Returns warnings on what the change from one document to the next will do.
///
/// `budget_use` returns the ledger's figures for a budget, or [`None`] if it has none.
#[must_use]
pub fn effect_warnings(
    old: &Document,
    new: &Document,
    budget_use: impl Fn(&BudgetName) -> Option<BudgetUse>,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    budget_effects(old, new, budget_use, &mut findings);
    model_effects(old, new, &mut findings);
    key_effects(old, new, &mut findings);
    target_effects(old, new, &mut findings);
    findings
}

fn warning(path: String, message: String) -> Finding {
    Finding::new(Severity::Warning, path, message)
}

fn budget_effects(
    old: &Document,
    new: &Document,
    budget_use: impl Fn(&BudgetName) -> Option<BudgetUse>,
    findings: &mut Vec<Finding>,
) {
    for (name, budget) in old.budgets() {
        let old_total = budget.total_tokens().unwrap_or_default();
        let successor = new.budget(name.as_str());
        let new_total = successor.map_or(Tokens::ZERO, |budget| {
            budget.total_tokens().unwrap_or_default()
        });
        if new_total >= old_total {
            continue;
        }
        let path = format!("finance.budgets.{name}");
        let used = budget_use(name).unwrap_or_default();
        let committed = used
            .spent_tokens
            .saturating_add(used.outstanding_tokens)
            .saturating_add(used.held_tokens);
        findings.push(if new_total < used.spent_tokens {
            let message = format!(
                "cut from {old_total} to {new_total} tokens, below the {} already spent",
                used.spent_tokens
            );
            warning(path, message)
        } else if new_total < committed {
            let message = format!(
                "cut from {old_total} to {new_total} tokens; {committed} are spent, granted or held, \
                 so the rest is taken as grants come back"
            );
            warning(path, message)
        } else {
            warning(path, format!("cut from {old_total} to {new_total} tokens"))
        });
    }
}

fn model_effects(old: &Document, new: &Document, findings: &mut Vec<Finding>) {
    for (name, model) in old.models().models.iter() {
        let path = format!("models.models.{name}");
        let service = old.service_for_model(name.as_str());
        let served_by = service.map_or_else(String::new, |(service, _)| {
            format!(", which service {service} serves")
        });
        let Some(successor) = new.model(name.as_str()) else {
            findings.push(warning(path, format!("the model is removed{served_by}")));
            continue;
        };
        if service.is_some() && new.service_for_model(name.as_str()).is_none() {
            let message = "no service serves the model any more".to_owned();
            findings.push(warning(path.clone(), message));
        }
        if successor.serving_version != model.serving_version {
            let message = format!(
                "requests change from version {} to {}{served_by}",
                model.serving_version, successor.serving_version
            );
            findings.push(warning(path.clone(), message));
        }
        for version in &model.versions {
            if successor.version(version.name.as_str()).is_none() {
                let message = format!("version {} is removed", version.name);
                findings.push(warning(path.clone(), message));
            }
        }
        for adapter in &model.adapters {
            if successor.adapter(adapter.name.as_str()).is_none() {
                let message = format!("adapter {} is removed", adapter.name);
                findings.push(warning(path.clone(), message));
            }
        }
        for organisation in old.finance().organisations.names() {
            let is_cut = model.organisations.allows(organisation)
                && !successor.organisations.allows(organisation);
            if is_cut {
                let message = format!("organisation {organisation} may no longer use the model");
                findings.push(warning(path.clone(), message));
            }
        }
    }
}

fn key_effects(old: &Document, new: &Document, findings: &mut Vec<Finding>) {
    for (key_id, key) in old.finance().caller_keys.iter() {
        let Some(successor) = new.caller_by_key_id(key_id) else {
            let message = format!("a key of organisation {} is removed", key.organisation);
            findings.push(warning(format!("finance.caller_keys.{key_id}"), message));
            continue;
        };
        if successor.key != key.key {
            let message = "the key's secret changes at once; add a second key to rotate without a \
                           gap"
            .to_owned();
            findings.push(warning(format!("finance.caller_keys.{key_id}"), message));
        }
    }
    let has_key = |document: &Document, section: Section| {
        document
            .operations()
            .team_keys
            .values()
            .any(|key| key.team == section.team())
    };
    for section in Section::ALL {
        if has_key(old, section) && !has_key(new, section) {
            let message = format!("team {section} has no key left in the document");
            findings.push(warning("operations.team_keys".to_owned(), message));
        }
    }
}

fn target_effects(old: &Document, new: &Document, findings: &mut Vec<Finding>) {
    let open_targets = |document: &Document, service: &str| {
        document
            .targets()
            .filter(|(_, target)| target.service.as_str() == service && !target.is_drained)
            .count()
    };
    for service in old.operations().services.names() {
        let (before, after) = (
            open_targets(old, service.as_str()),
            open_targets(new, service.as_str()),
        );
        let path = format!("operations.services.{service}");
        if before > 0 && after == 0 {
            findings.push(warning(path, "no target is left to serve it".to_owned()));
        } else if after < before {
            let message = format!("targets that take new work go from {before} to {after}");
            findings.push(warning(path, message));
        }
    }
}
