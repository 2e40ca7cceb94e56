//! History of a run: requests and answers of the callers, runs at the targets, contents of the log.

mod attempt;
mod budget_history;
mod configuration_history;
mod log_history;
mod request_history;
mod target_run;

pub use attempt::{Attempt, Outcome, RunStatus};
pub use budget_history::{BudgetHistory, BudgetStatement, Purchase};
pub use configuration_history::{ConfigurationSample, PublishedEdit};
pub use log_history::{BillEntry, LoggedRecord, LoggedRelease};
pub use request_history::{Expectation, RequestHistory};
pub use target_run::TargetRun;

use serde::{Deserialize, Serialize};

/// History of one run; all times are milliseconds since the Unix epoch (1970), from one clock.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Budgets with their purchases.
    pub budgets: Vec<BudgetHistory>,
    /// Requests with their attempts.
    pub requests: Vec<RequestHistory>,
    /// Requests that engines and services ran.
    pub runs: Vec<TargetRun>,
    /// Records of the ledger streams that have a sequence number, ordered by stream and offset.
    pub records: Vec<LoggedRecord>,
    /// Releases of ended incarnations.
    pub releases: Vec<LoggedRelease>,
    /// Balance of each budget at the end, by node.
    pub statements: Vec<BudgetStatement>,
    /// Accepted edits.
    pub edits: Vec<PublishedEdit>,
    /// Versions in force at nodes over time.
    pub configuration_samples: Vec<ConfigurationSample>,
    /// Nodes that were stopped as planned, with the time of the stop command.
    pub planned_stops: Vec<(String, u64)>,
    /// Times at which a link was restored or a silent target or a paused node resumed; data sent
    /// before may be delivered then.
    pub heals_ms: Vec<u64>,
    /// Times at which all open connections, including those of callers, permanently stopped
    /// delivering data.
    pub silences_ms: Vec<u64>,
    /// Time during which requests were started, in milliseconds.
    pub duration_ms: u64,
    /// Number of nodes.
    pub nodes: u64,
    /// Appends to the log during the run.
    pub appends: u64,
    /// Bytes exchanged during the run between nodes, and between nodes and the log and VM list.
    pub control_bytes: u64,
}
