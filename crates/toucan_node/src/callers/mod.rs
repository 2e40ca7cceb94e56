//! HTTP interface for callers: chat completions, models and plain services.

mod authentication;
mod body_reader;
mod chat;
mod chat_call;
mod chat_sinks;
mod idempotency_cache;
mod models;
mod plain_call;
mod plain_services;
mod refusal;
mod relay;
mod replay_limits;
mod request_id;
mod request_lifecycle;
mod routes;

pub use body_reader::BodyLimits;
pub(crate) use body_reader::read_body;
pub use refusal::{Refusal, RefusalCode, RunStatus};
pub use replay_limits::ReplayLimits;
pub use routes::CALLER_ROUTES;
pub(crate) use routes::{caller_routes, readiness};
