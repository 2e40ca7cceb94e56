//! Settings of a gateway.

use std::net::SocketAddrV4;

use toucan_types::{DataCentreName, VmName};

use crate::config::RegionTable;

/// Settings with which a gateway starts.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Regions of this and other data centres.
    pub regions: RegionTable,
    /// Address on which callers' connections are accepted.
    pub caller_address: SocketAddrV4,
    /// Address for the readiness probes of the load balancer.
    pub readiness_address: SocketAddrV4,
    /// Address to which other gateways send datagrams.
    pub peer_address: SocketAddrV4,
    /// Address on which metrics and the state dump are served.
    pub metrics_address: SocketAddrV4,
    /// Bounds that the deployment sets.
    pub bounds: Bounds,
    /// Resources of the VM.
    pub resources: VmResources,
    /// Optional behaviour that the deployment asks for.
    pub features: Features,
}

/// Resources of a VM; [`None`] for a resource whose limit the settings do not state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct VmResources {
    /// Memory above which the process is killed.
    pub memory_bytes: Option<u64>,
    /// Bandwidth of the VM's link, in each direction.
    pub link_bits_per_s: Option<f64>,
    /// Processor time per second, in seconds.
    pub cpu_share: Option<f64>,
    /// File descriptors that the process may have open.
    pub max_open_files: Option<u32>,
}

/// Optional behaviour that a deployment asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Whether callers and targets may read slowly, so that what is held for them is bounded by the memory
    /// of the VM.
    pub slow_readers: bool,
}

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time from the stop request until the process is killed.
    pub stop_ms: u64,
    /// Time after which no call may reach a target whose deregistration is known.
    pub drain_ms: u64,
    /// Time after the end of a disturbance from which the bounds hold again.
    pub contact_ms: u64,
    /// Interval between two registrations of a live target.
    pub heartbeat_ms: u64,
    /// Retries allowed per request, over all VMs.
    pub retry_ratio: f64,
    /// Retries allowed in addition to the ratio in each window, over all VMs.
    pub retry_slack: u32,
    /// Maximum number of partitions of a topic.
    pub most_partitions: u32,
    /// Time after which no call may reach a data centre whose evacuation the store has acknowledged;
    /// [`None`] if the deployment sets no bound.
    pub evacuate_ms: Option<u64>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_ms: 8_000,
            drain_ms: 2_000,
            contact_ms: 3_000,
            heartbeat_ms: 1_200,
            retry_ratio: 0.1,
            retry_slack: 10,
            most_partitions: 1,
            evacuate_ms: None,
        }
    }
}
