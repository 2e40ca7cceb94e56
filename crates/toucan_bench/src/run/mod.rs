//! Runs of scenarios and their results.

mod run_result;
mod run_settings;
mod runner;

pub use run_result::RunResult;
pub use run_settings::RunSettings;
pub use runner::{FinishedRun, run_plan, run_scenario};
