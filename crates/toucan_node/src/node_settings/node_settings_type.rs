//! Settings of one router VM.

use std::net::SocketAddr;

use toucan_config::TeamKey;
use toucan_platform::ClientSettings;
use toucan_router::OrderSettings;
use toucan_types::{DataCentreName, FastHashMap, VmInstance, VmName};
use toucan_wire::MembershipSettings;

use super::{AdmissionSettings, ListenSettings, LogSettings, PlatformSettings, TlsFiles};
use crate::{
    callers::{BodyLimits, ReplayLimits},
    http_server::ConnectionLimits,
};

/// Settings of one router VM.
///
/// ```
/// use toucan_node::NodeSettings;
///
/// let text = r#"{
///     // The VM as the platform names it.
///     "vm": "router-1", "instance": "i-1", "data_centre": "east-a",
/// }"#;
/// let settings = NodeSettings::parse(text).expect("valid settings");
/// assert_eq!(settings.vm.as_str(), "router-1");
///
/// let findings = NodeSettings::parse(r#"{ "vm": 7 }"#).expect_err("three findings");
/// assert_eq!(findings[2].to_string(), "1:9: error: vm: expected a text in double quotes");
/// ```
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this creation of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Addresses that the VM listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's interfaces.
    pub platform: PlatformSettings,
    /// Peer addresses of router VMs of the data centre to contact before the list is known.
    pub contacts: Vec<(VmName, SocketAddr)>,
    /// Keys for the links between nodes; [`None`] for plain links on one machine.
    pub tls: Option<TlsFiles>,
    /// Keys of operators by key id, each valid while the document has no key of its team.
    pub bootstrap_keys: FastHashMap<String, TeamKey>,
    /// Level and format of the log.
    pub log: LogSettings,
    /// Limits of callers' connections.
    pub connections: ConnectionLimits,
    /// Limits of callers' request bodies.
    pub body: BodyLimits,
    /// Limits of the memory of plain calls and their responses.
    pub replay: ReplayLimits,
    /// Limits of the admission of requests.
    pub admission: AdmissionSettings,
    /// Limits of calls of targets.
    pub targets: ClientSettings,
    /// Intervals and timeouts of the membership.
    pub membership: MembershipSettings,
    /// Timing of the orders to targets.
    pub orders: OrderSettings,
    /// Number of threads that serve callers.
    pub caller_threads: usize,
    /// Time between a stop request and the refusal of new requests, in milliseconds; the load
    /// balancer removes the VM meanwhile.
    pub leave_notice_ms: u64,
    /// Maximum time that a stop waits for requests in progress, in milliseconds.
    pub stop_timeout_ms: u64,
}

impl NodeSettings {
    /// Sets the names of the VM.
    #[must_use]
    pub fn with_vm(
        mut self,
        vm: impl Into<VmName>,
        instance: impl Into<VmInstance>,
        data_centre: impl Into<DataCentreName>,
    ) -> Self {
        self.vm = vm.into();
        self.instance = instance.into();
        self.data_centre = data_centre.into();
        self
    }

    /// Sets the addresses to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: ListenSettings) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the addresses of the platform's interfaces.
    #[must_use]
    pub fn with_platform(mut self, platform: PlatformSettings) -> Self {
        self.platform = platform;
        self
    }

    /// Sets the timing of the orders to targets.
    #[must_use]
    pub fn with_orders(mut self, orders: OrderSettings) -> Self {
        self.orders = orders;
        self
    }
}
