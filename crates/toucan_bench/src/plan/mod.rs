//! Scenarios: load and faults of a run, determined by a seed.

mod action;
mod scenario;
mod storm;

pub use action::{Action, Plan};
pub use scenario::Scenario;
