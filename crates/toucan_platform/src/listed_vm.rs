//! Entries of the platform's VM list.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, ServiceName, VmInstance, VmName};

use crate::formats::{VmEntry, VmKind, VmList, VmState};

/// One entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// Name; a replacement VM may have the name of the VM that it replaces.
    pub vm: VmName,
    /// Identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Purpose of the VM.
    pub kind: VmKind,
    /// Service of a target; [`None`] for a router.
    pub service: Option<ServiceName>,
    /// Peer address of a router, HTTP address of a target.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
    /// Time of the last state change, in milliseconds since 1970.
    pub since_ms: u64,
}

/// the VM {vm} has an address that is not an IP address and port: {address}
#[derive(Clone, Debug, displaydoc::Display, PartialEq, Eq)]
pub struct ListedVmError {
    /// Name of the VM.
    pub vm: VmName,
    /// Address as listed.
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

/// The platform's VM list; invalid entries are kept apart from the valid ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmListing {
    /// Time as of which the list is accurate, in milliseconds since 1970; it lags.
    pub as_of_ms: u64,
    /// Valid entries.
    pub vms: Vec<ListedVm>,
    /// Errors of the invalid entries.
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
