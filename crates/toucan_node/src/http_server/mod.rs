//! HTTP servers of a node: `volo-http` routes over `hyper` connections.
//!
//! The accept loop of `volo-http` takes over the process's signals and has no timeout for headers.
//! This module needs control over both, so it accepts the connections itself and passes each
//! request to the `volo-http` router.

mod accept_loop;
mod connection_limits;
mod write_timeout;

pub(crate) use accept_loop::{HttpServer, ServerHandle};
pub use connection_limits::ConnectionLimits;
