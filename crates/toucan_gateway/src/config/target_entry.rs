//! One target as it registers itself.

use std::net::SocketAddrV4;

use toucan_types::{DataCentreName, ServiceName, TargetName};

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id under which it registers; a restart mostly brings a new one.
    pub name: TargetName,
    /// Service whose calls it runs.
    pub service: ServiceName,
    /// Where it accepts connections.
    pub address: SocketAddrV4,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it leaves and must get no new work.
    pub draining: bool,
    /// Unix time of its start; another value under the same id is another start.
    pub started_at_unix_ms: u64,
}
