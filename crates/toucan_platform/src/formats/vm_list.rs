//! The platform's VM list, `GET /vms`; it lags.

use serde::{Deserialize, Serialize};

/// Purpose of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// Runs a router of this system.
    Router,
    /// Runs a target: an engine or a plain service.
    Target,
}

/// Last state of a VM known to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be destroyed; must get no new work.
    Leaving,
    /// Destroyed; none of its processes can run again.
    Gone,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Name; a replacement VM may have the name of the VM that it replaces.
    pub vm: String,
    /// Identifier of this instance of the VM, never reused.
    pub instance: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Purpose of the VM.
    pub kind: VmKind,
    /// Service of a target, as named in the document; [`None`] for a router.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// IP address and port: the peer port of a router, the HTTP port of a target.
    pub address: String,
    /// State of the VM.
    pub state: VmState,
    /// Time of the last state change, in milliseconds since 1970.
    pub since_ms: u64,
}

/// The VM list; destroyed VMs stay on it for at least an hour.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Time as of which the list is accurate, in milliseconds since 1970; it lags.
    pub as_of_ms: u64,
    /// All VMs.
    pub vms: Vec<VmEntry>,
}
