//! Serves calls: connections of callers, admission, and forwarding to targets.

mod answer_end;
mod body_framing;
mod call;
mod call_log;
mod caller_connection;
mod choose;
mod collect_body;
pub(crate) mod connection_count;
mod connection_pool;
mod content_end;
mod delivery;
mod established_connections;
mod exchange;
pub(crate) mod http_listener;
mod in_flight_call;
mod permit_wait;
mod poison_trial;
mod read_ahead;
mod read_call;
mod relay;
mod request_body;
mod reserve_tokens;
pub(crate) mod response;
mod resumption;
mod send;
mod serve_call;
pub(crate) mod tunnel_client;
mod tunnel_relay;
pub(crate) mod tunnel_server;

pub(crate) use call::Call;
pub(crate) use connection_pool::{ConnectionPath, ConnectionPool, TargetConnection};
pub(crate) use reserve_tokens::{TokenWait, WaitKind};
pub(crate) use serve_call::serve_call;
