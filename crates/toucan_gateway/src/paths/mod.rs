//! By which way targets are reached: directly, or by way of another gateway while this VM is cut off from them.

mod path_evidence;
mod path_table;
mod tunnel_peers;
mod tunnel_request;

pub use path_evidence::{DirectResult, TunnelResult};
pub use path_table::{Path, PathTable};
pub use tunnel_peers::{TunnelPeer, TunnelPeers};
pub use tunnel_request::{TunnelRequest, TunnelStatus, UnknownTunnelStatus};
