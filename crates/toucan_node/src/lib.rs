//! The kernel of one router VM: duties, their rings, HTTP interfaces.
//!
//! A caller's request walks through the crate as the function `chat` in `callers/chat.rs` lists it:
//! accept, authenticate, reserve, queue, choose, dispatch, relay, settle. Each duty is a thread with
//! its own state and one bounded ring:
//!
//! | duty | job |
//! |---|---|
//! | admission | owns the wallets, the queues and the table of targets |
//! | ledger | folds the shards that this node gathers, appends the data centre's records |
//! | document | folds the operators' edits |
//! | membership | who is live and who has which role |
//! | peers | asks other nodes and answers them |
//! | platform | reads and appends to the log, reads the list of VMs |
//! | targets | finds targets, reads their load and cache events, sends them orders |
//! | orders | claims groups of targets and decides which models they load |
//!
//! The callers' and the operators' HTTP interfaces run on runtimes of their own.

mod admission;
mod callers;
mod document;
mod http_server;
mod kernel;
mod ledger;
mod logging;
mod membership;
mod metrics_recorder;
mod node;
mod node_settings;
mod node_shared;
mod operators;
mod orders;
mod peers;
mod platform_io;
mod shard_sync;
mod targets;

pub use callers::{BodyLimits, CALLER_ROUTES, Refusal, RefusalCode, ReplayLimits, RunStatus};
pub use http_server::ConnectionLimits;
pub use kernel::Identity;
pub use logging::{LoggingError, start_logging};
pub(crate) use metrics_recorder::metrics_handle;
pub use node::{Node, StartError};
pub use node_settings::{
    AdmissionSettings, ListenSettings, LogFormat, LogSettings, NodeSettings, PlatformSettings,
    SETTINGS_FIELDS, TlsFiles,
};
pub use operators::{API_ROUTES, OPERATOR_ROUTES};
