//! Load generation, fault injection, checks of the recorded histories, and reports.

mod capacity;
mod checker;
mod clock;
mod demo;
mod fleet;
mod history;
mod load;
mod overhead;
mod plan;
mod profile;
mod report;
mod run;
mod slopes;

pub use capacity::fill_page;
pub use checker::{Breach, CheckResult, Figures, Promise, check};
pub use demo::{DemoSettings, demo};
pub use fleet::{Fleet, read_log};
pub use history::{
    Attempt, BillEntry, BudgetHistory, BudgetStatement, ConfigurationSample, Expectation, History,
    LoggedRecord, LoggedRelease, Outcome, PublishedEdit, Purchase, RequestHistory, RunStatus,
    TargetRun,
};
pub use load::{LoadDriver, LoadSettings, NodeAddress, NodeDirectory, Progress, Recorder};
pub use overhead::{Overhead, PathFigures, measure_overhead};
pub use plan::{Action, Plan, Scenario};
pub use profile::{
    CallerIdentity, FleetDocument, FleetProfile, OrganisationProfile, ServiceProfile,
};
pub use report::{markdown_table, read_results, write_report};
pub use run::{FinishedRun, RunResult, RunSettings, run_plan, run_scenario};
pub use slopes::{Slope, measure_slopes, probe, read_slopes, write_slope};
