//! Serves calls: connections of callers, admission, and forwarding to targets.

pub(crate) mod answer;
mod call;
mod call_log;
mod exchange;
pub(crate) mod http_listener;
mod read_call;
mod relay;
mod reserve;
mod send;
mod serve_call;
mod target_pool;

pub(crate) use serve_call::serve_call;
pub(crate) use target_pool::{TargetConnection, TargetPool};
