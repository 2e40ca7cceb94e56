//! Decides whether a failed call is retried, within this gateway's share of the fleet's limits.

mod fleet_share;
mod next_step;

pub use fleet_share::{connection_share, initial_retry_budget, retry_share};
pub use next_step::{CallProgress, NextStep, SendFailure, next_step};
