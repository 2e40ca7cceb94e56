//! One router VM: its duties, the rings between them and its HTTP interfaces.
//!
//! The function `chat` in `callers/chat.rs` lists the steps of a caller's request: accept,
//! authenticate, reserve, queue, choose, dispatch, relay, settle.
//!
//! Each duty is a thread with its own state and one bounded ring, its inbox:
//!
//! | duty | job |
//! |---|---|
//! | admission | owns the wallets, the queues and the table of targets |
//! | ledger | replays the shards that this node batches, appends the data centre's records |
//! | document | applies the operators' edits |
//! | membership | tracks which router VMs are live and assigns their roles |
//! | peers | sends requests to other nodes and answers theirs |
//! | platform | reads and appends to the log, reads the list of VMs |
//! | targets | discovers targets, polls their load and cache events, sends them orders |
//! | orders | claims groups of targets and decides which models their members load |
//!
//! The callers' and the operators' HTTP interfaces each run on their own runtime.

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
