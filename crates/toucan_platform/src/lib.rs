//! Clients of the platform: log, VM list, engines, weight store and plain services.
//!
//! [`formats`] holds the platform's message types; the rest of the crate converts them into the
//! types of the system.
//!
//! Every call has timeouts for connecting, for the response head and between two parts of the
//! response body, and a size limit. Every failed call states whether the request may have run:
//! [`DispatchError::NotSent`] and [`CallError::NotSent`] are returned only if no byte of the
//! request was passed to a connection.
//!
//! See also `docs/design/wire.md`.

#![allow(
    clippy::doc_markdown,
    reason = "error messages, which displaydoc takes from doc comments, contain field names"
)]

pub mod formats;

mod client_settings;
mod engine_call;
mod engine_client;
mod engine_event;
mod engine_start;
mod http_target;
mod listed_vm;
mod log_client;
mod outgoing_request;
mod send_tracker;
mod service_client;
mod standby;
mod target_pool;
mod token_reader;
mod token_stream;
mod url_segment;
mod vm_list_client;
mod weight_store_client;

pub use client_settings::ClientSettings;
pub use engine_call::{DispatchError, EngineCall};
pub use engine_client::{EngineClient, EngineError, OrderError};
pub use engine_event::{EngineEvent, StreamError};
pub use listed_vm::{ListedVm, ListedVmError, VmListing};
pub use log_client::{AppendError, LogBatch, LogClient, LogEntry, LogExtent, ReadError};
pub use service_client::{CallError, ServiceCall, ServiceClient, ServiceResponse};
pub use token_stream::TokenStream;
pub use vm_list_client::{VmListClient, VmListError};
pub use weight_store_client::{DownloadError, WeightStoreClient};
