//! Result of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::RunSettings;
use crate::checker::{Breach, CheckResult, Figures};
use crate::history::{BudgetStatement, History, Outcome};

/// Result of one run, as `--json` writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Settings of the run.
    #[serde(flatten)]
    pub settings: RunSettings,
    /// Figures of the run.
    #[serde(flatten)]
    pub figures: Figures,
    /// Number of refused attempts by code.
    pub refusals_by_code: BTreeMap<String, u64>,
    /// Balance of each organisation's budget at the end.
    pub budgets: Vec<BudgetStatement>,
    /// Breach with the shortest excerpt for each broken promise.
    pub broken: Vec<Breach>,
    /// Command that repeats the run.
    pub command: String,
}

impl RunResult {
    /// Builds the result of a run from its history and the check of it.
    #[must_use]
    pub fn new(settings: RunSettings, history: &History, check_result: &CheckResult) -> Self {
        let mut refusals_by_code = BTreeMap::new();
        let attempts = history
            .requests
            .iter()
            .flat_map(|request| &request.attempts);
        for attempt in attempts {
            if let Outcome::Refused { code, .. } = &attempt.outcome {
                *refusals_by_code.entry(code.clone()).or_default() += 1;
            }
        }
        Self {
            command: settings.command(),
            figures: check_result.figures.clone(),
            refusals_by_code,
            budgets: history.statements.clone(),
            broken: check_result.shortest().into_iter().cloned().collect(),
            settings,
        }
    }
}
