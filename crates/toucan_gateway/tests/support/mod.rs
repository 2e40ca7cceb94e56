//! Fleets of gateways spread over data centres, as seen by one of them.

use std::net::SocketAddrV4;

use toucan_gateway::peers::{GatewayLocation, MemberEntry, Members};
use toucan_types::{DataCentreName, VmName};

/// Returns the location of a gateway in a fleet spread evenly over data centres.
pub fn location(at: usize, data_centres: usize) -> GatewayLocation {
    GatewayLocation {
        vm: VmName::from(format!("vm-{at}")),
        data_centre: DataCentreName::from(format!("dc-{}", at % data_centres)),
    }
}

/// Returns the members that gateway `local` sees in a fleet spread over data centres.
pub fn members_seen_by(local: usize, gateways: usize, data_centres: usize) -> Members {
    let mut members = Members::default();
    for at in (0..gateways).filter(|at| *at != local) {
        let other = location(at, data_centres);
        let entry = MemberEntry {
            start: 1,
            address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
            key: [0; 32],
            data_centre: other.data_centre,
        };
        members.register(other.vm, entry, 0);
    }
    members
}
