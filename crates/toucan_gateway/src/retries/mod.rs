//! Whether a call that failed is sent again.

mod fleet_share;
mod next_step;

pub use fleet_share::{connection_share, initial_retry_budget, retry_share};
pub use next_step::{CallProgress, NextStep, SendFailure, next_step};
