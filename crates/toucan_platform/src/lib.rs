//! Clients of the platform: log, VM list, engines, weight store, plain services.
//!
//! [`formats`] holds the messages as the platform writes them; everything else of this crate turns
//! them into the types of the system.
//!
//! Every call is bounded: in time until its connection stands, until its answer begins and between
//! two parts of its answer, and in bytes. Every failed call says whether the request may have been
//! run: [`DispatchError::NotSent`] and [`CallError::NotSent`] are given only when no byte of the
//! request was handed to a connection.
//!
//! See also `docs/design/wire.md`.

#![allow(
    clippy::doc_markdown,
    reason = "the texts of errors, which displaydoc takes from doc comments, name fields"
)]

pub mod formats;

mod client_settings;
mod engine_call;
mod engine_client;
mod engine_event;
mod engine_start;
mod exchange;
mod http_target;
mod listed_vm;
mod log_client;
mod send_witness;
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
