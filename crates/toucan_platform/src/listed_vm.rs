//! Entries of the platform's list of VMs.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, ServiceName, VmInstance, VmName};

use crate::formats::{VmEntry, VmKind, VmList, VmState};

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name; a replacement may carry the name of the VM it replaces.
    pub vm: VmName,
    /// Identifier of this creation of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// What the VM is for.
    pub kind: VmKind,
    /// For a target: the service that it belongs to.
    pub service: Option<ServiceName>,
    /// Of a router its peer port, of a target its HTTP port.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
    /// Time at which the state was entered, in milliseconds since 1970.
    pub since_ms: u64,
}

/// the VM {vm} has an address that is not an IP address and port: {address}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub struct ListedVmError {
    /// Name of the VM.
    pub vm: VmName,
    /// The address as listed.
    pub address: String,
}

impl std::error::Error for ListedVmError {}

impl TryFrom<VmEntry> for ListedVm {
    type Error = ListedVmError;

    fn try_from(entry: VmEntry) -> Result<Self, ListedVmError> {
        let Ok(address) = entry.address.parse() else {
            return Err(ListedVmError {
                vm: VmName::from(entry.vm),
                address: entry.address,
            });
        };
        Ok(Self {
            vm: VmName::from(entry.vm),
            instance: VmInstance::from(entry.instance),
            data_centre: DataCentreName::from(entry.data_centre),
            kind: entry.kind,
            service: entry.service.map(ServiceName::from),
            address,
            state: entry.state,
            since_ms: entry.since_ms,
        })
    }
}

/// The platform's list; one bad entry does not hide the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListing {
    /// Time for which the list holds, in milliseconds since 1970; it lags.
    pub as_of_ms: u64,
    /// The VMs.
    pub vms: Vec<ListedVm>,
    /// Entries that are not understood.
    pub invalid: Vec<ListedVmError>,
}

impl From<VmList> for VmListing {
    fn from(list: VmList) -> Self {
        let mut listing = Self {
            as_of_ms: list.as_of_ms,
            ..Self::default()
        };
        for entry in list.vms {
            match ListedVm::try_from(entry) {
                Ok(vm) => listing.vms.push(vm),
                Err(error) => listing.invalid.push(error),
            }
        }
        listing
    }
}
