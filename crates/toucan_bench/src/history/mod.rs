//! What a run recorded: what callers asked and got, what targets ran, what the log holds.

mod attempt;
mod budget_history;
mod configuration_history;
mod log_history;
mod request_history;
mod target_run;

pub use attempt::{Attempt, Outcome, Ran};
pub use budget_history::{BudgetHistory, BudgetStatement, Purchase};
pub use configuration_history::{ConfigurationSample, PublishedEdit};
pub use log_history::{BillEntry, LoggedRecord, LoggedRelease};
pub use request_history::{Expectation, RequestHistory};
pub use target_run::TargetRun;

use serde::{Deserialize, Serialize};

/// The history of one run; all times are in milliseconds since 1970 by one clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Budgets with what was purchased when.
    pub budgets: Vec<BudgetHistory>,
    /// Requests with their attempts.
    pub requests: Vec<RequestHistory>,
    /// What engines and services ran.
    pub runs: Vec<TargetRun>,
    /// Numbered records of the ledger streams, in the order of stream and offset.
    pub records: Vec<LoggedRecord>,
    /// Releases of dead incarnations.
    pub releases: Vec<LoggedRelease>,
    /// What the nodes said of each budget at the end.
    pub statements: Vec<BudgetStatement>,
    /// Edits that operators were told are accepted.
    pub edits: Vec<PublishedEdit>,
    /// Versions in force at nodes over time.
    pub configuration_samples: Vec<ConfigurationSample>,
    /// Nodes that were stopped in a planned way, with the time of the order.
    pub planned_stops: Vec<(String, u64)>,
    /// Times at which a link was healed or a target spoke again; what was sent before may arrive
    /// then.
    pub heals_ms: Vec<u64>,
    /// Times at which all connections went silent for good, those of callers to nodes too.
    pub silences_ms: Vec<u64>,
    /// Time from the first to the last request.
    pub duration_ms: u64,
    /// Number of nodes.
    pub nodes: u64,
    /// Appends to the log during the run.
    pub appends: u64,
    /// Bytes between nodes, and between nodes and log and VM list, during the run.
    pub control_bytes: u64,
}
