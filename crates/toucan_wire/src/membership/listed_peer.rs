//! Router VMs in the platform's list.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, VmInstance, VmName};

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Running.
    Live,
    /// Will be destroyed soon.
    Leaving,
    /// Destroyed; no process can run on it again.
    Gone,
}

/// One router VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPeer {
    /// Name of the VM; a replacement may have the same name as the VM it replaces.
    pub vm: VmName,
    /// The platform's identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: ListedState,
}
