//! Routes opaque calls to targets under prepaid budgets that are kept in a keyed log.
//!
//! A [`Gateway`] is one process. It serves callers according to the operators' configuration,
//! selects a target for each call, and spends only tokens that the log has granted to it. A
//! [`Platform`] provides what depends on the deployment: the wire formats and the store.
//!
//! All tasks of a gateway run on one thread, because a VM has only a quarter of a core and threads
//! would not run in parallel. The decision logic is in [`budget`], [`placement`] and [`retries`].
//! It takes the current time as an argument and does no I/O.

pub mod budget;
pub mod buffers;
pub mod config;
pub mod keyed_log;
pub mod limits;
pub mod overload;
pub mod paths;
pub mod peers;
pub mod placement;
pub mod poison;
pub mod retries;
pub mod streams;
pub mod wire_format;

mod binary_format;
mod brittle_reports;
mod clock;
mod connection_life;
mod departure_reports;
mod duty;
mod error;
mod event_splitter;
mod gateway;
mod http_connection;
mod inspection;
mod launch;
mod limit_reports;
mod logging;
mod platform;
mod poison_reports;
mod serving;
mod settings;
mod socket_options;
mod state;
mod store_check;
mod tasks;

pub use error::Refusal;
pub use event_splitter::EventSplitter;
pub use gateway::Gateway;
pub use http_connection::{ConnectError, connect_http};
pub use inspection::install_metrics_recorder;
pub use launch::StartError;
pub use logging::{LoggingError, flush_logging, init_logging};
pub use platform::Platform;
pub use settings::{Bounds, Features, GatewaySettings, VmResources};
pub use store_check::StoreMismatch;
