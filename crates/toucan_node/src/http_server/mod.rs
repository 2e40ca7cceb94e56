//! HTTP servers of a node: `volo-http` routes over `hyper` connections.
//!
//! `volo-http`'s own accept loop takes over the signals of the process and gives no limit on the
//! time that a header may take; both matter here, so this module accepts the connections itself and
//! hands each request to the `volo-http` router.

mod accept_loop;
mod connection_limits;
mod stall_limit;

pub(crate) use accept_loop::{HttpServer, ServerHandle};
pub use connection_limits::ConnectionLimits;
