//! Load generator: callers that send requests over HTTP and retry at other nodes.

mod caller;
mod load_driver;
mod load_settings;
mod node_directory;
mod recorder;
mod requests;
mod stream_reader;

pub(crate) use caller::Caller;
pub use load_driver::LoadDriver;
pub use load_settings::LoadSettings;
pub use node_directory::{NodeAddress, NodeDirectory};
pub use recorder::{Progress, Recorder};
pub(crate) use requests::{draw_request, request_id_in_message};
