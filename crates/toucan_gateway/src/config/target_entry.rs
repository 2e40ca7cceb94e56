//! The registration of a target.

use std::net::SocketAddrV4;

use toucan_types::{DataCentreName, ServiceName, SoftwareVersion, TargetName};

use crate::poison::TargetInstance;

/// The registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// Id under which the target registers; usually new after a restart.
    pub name: TargetName,
    /// Service whose calls the target runs.
    pub service: ServiceName,
    /// Address at which the target accepts connections.
    pub address: SocketAddrV4,
    /// Data centre of the target.
    pub data_centre: DataCentreName,
    /// Version of the target's software.
    pub software_version: SoftwareVersion,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is draining and must get no new calls.
    pub draining: bool,
    /// Time from the registration for which the target is cold: it has just started, and takes few calls.
    pub cold_ms: u64,
    /// Unix time of the target's start; another value under the same id means another start.
    pub started_at_unix_ms: u64,
}

impl TargetEntry {
    /// Returns the start of the target that the registration is of.
    #[must_use]
    pub fn instance(&self) -> TargetInstance {
        TargetInstance {
            name: self.name.clone(),
            started_at_unix_ms: self.started_at_unix_ms,
        }
    }
}
