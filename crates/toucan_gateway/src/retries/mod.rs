//! Whether a call that failed is sent again.

mod next_step;

pub use next_step::{CallProgress, NextStep, SendFailure, next_step};
