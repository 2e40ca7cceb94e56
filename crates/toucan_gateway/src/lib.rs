//! Routes opaque calls to targets under prepaid budgets that are kept in a keyed log.
//!
//! A [`Gateway`] is one process. It serves callers by the operators' configuration, places calls at
//! targets, and spends only tokens that the log has granted to it. What it needs of the deployment
//! around it (formats of calls, the store) it takes from a [`Platform`].
//!
//! All tasks of a gateway run on one thread: a VM has a quarter of a core, so threads would only
//! take turns. Decisions are in [`budget`], [`placement`] and the rules of retries; they take the
//! present time as an argument and do no input or output.

pub mod budget;
pub mod config;
pub mod keyed_log;
pub mod peers;
pub mod placement;
pub mod retries;
pub mod wire_format;

mod clock;
mod core;
mod duties;
mod error;
mod event_splitter;
mod gateway;
mod http_connection;
mod inspection;
mod launch;
mod logging;
mod platform;
mod serving;
mod settings;
mod socket_options;

pub use error::Refusal;
pub use event_splitter::EventSplitter;
pub use gateway::Gateway;
pub use http_connection::{ConnectError, connect_http};
pub use inspection::install_metrics_recorder;
pub use launch::StartError;
pub use logging::{LoggingError, flush_logging, init_logging};
pub use platform::Platform;
pub use settings::{Bounds, GatewaySettings};
