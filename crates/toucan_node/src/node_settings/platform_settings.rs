//! Addresses of the platform's interfaces.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Addresses of the platform's interfaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the append-only log.
    pub log: SocketAddr,
    /// Address of the list of VMs.
    pub vm_list: SocketAddr,
    /// Poll interval of the list of VMs, in milliseconds.
    pub vm_list_poll_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        Self {
            log: local(9000),
            vm_list: local(9001),
            vm_list_poll_ms: 1_000,
        }
    }
}
