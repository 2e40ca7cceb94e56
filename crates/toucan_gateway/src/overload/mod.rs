//! Load on this gateway and on the targets, and what is refused because of it.

mod connect_result;
mod link_monitor;

pub use connect_result::ConnectResult;
pub use link_monitor::LinkMonitor;
