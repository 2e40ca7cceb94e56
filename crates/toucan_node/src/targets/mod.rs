//! The targets duty: discovers targets, polls their load and cache events, and sends them orders.

mod poll_intervals;
mod send_order;
mod targets_duty;
mod targets_message;

pub(crate) use targets_duty::{TargetsDuty, TargetsLinks, run_targets_duty};
pub(crate) use targets_message::TargetsMessage;
