//! Addresses that a router VM listens on.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Addresses that a router VM listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Callers' HTTP interface.
    pub callers: SocketAddr,
    /// Operators' HTTP interface.
    pub operators: SocketAddr,
    /// Other nodes; exactly one process of a VM can listen here.
    pub peers: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port));
        Self {
            callers: local(8080),
            operators: local(8081),
            peers: local(8082),
        }
    }
}
