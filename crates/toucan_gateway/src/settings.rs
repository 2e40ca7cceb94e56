//! Settings of a gateway.

use std::net::SocketAddrV4;

use toucan_types::{DataCentreName, VmName};

/// What a gateway must know before it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Where callers connect.
    pub caller_address: SocketAddrV4,
    /// Where the balancer asks whether the VM takes connections.
    pub readiness_address: SocketAddrV4,
    /// Where other gateways send datagrams.
    pub peer_address: SocketAddrV4,
    /// Where metrics and the state dump are served.
    pub metrics_address: SocketAddrV4,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
}

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the request to stop until the process is killed.
    pub stop_ms: u64,
    /// Time after a target's leaving is known from which no call may reach it.
    pub drain_ms: u64,
    /// Retries allowed for each request, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio in each window, over all VMs.
    pub retry_slack: u32,
    /// Partitions that a topic may have.
    pub most_partitions: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_ms: 8_000,
            drain_ms: 2_000,
            retry_ratio: 0.1,
            retry_slack: 10,
            most_partitions: 1,
        }
    }
}
