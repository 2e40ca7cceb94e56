//! State shared by the tasks of the HTTP interfaces.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use tokio::sync::oneshot;
use toucan_platform::{ClientSettings, EngineClient, ServiceClient};
use toucan_types::{FastHashMap, TargetName};

use crate::{
    admission::AdmissionMessage,
    callers::{Refusal, RefusalCode},
    document::{DocumentMessage, DocumentState},
    kernel::{Clock, Identity, Ring},
    ledger::LedgerMessage,
    membership::MembershipMessage,
    node_settings::NodeSettings,
    operators::RequestTraces,
    orders::OrdersMessage,
    peers::PeersMessage,
    platform_io::PlatformCommand,
    targets::TargetsMessage,
};

/// Retry delay for a caller whose request met a full ring, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;

/// Address and kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KnownAddress {
    /// Address.
    pub(crate) address: SocketAddr,
    /// Whether it is a model engine.
    pub(crate) is_engine: bool,
}

/// Addresses of the currently known targets.
pub(crate) type TargetAddresses = FastHashMap<TargetName, KnownAddress>;

/// Lifecycle status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeStatus {
    /// No document is in force yet.
    Starting,
    /// Serves requests.
    Ready,
    /// Completes the requests in progress and takes no new ones.
    Leaving,
}

/// Rings of all duties.
#[derive(Clone)]
pub(crate) struct Rings {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The ledger duty.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The document duty.
    pub(crate) document: Ring<DocumentMessage>,
    /// The membership duty.
    pub(crate) membership: Ring<MembershipMessage>,
    /// The peers duty.
    pub(crate) peers: Ring<PeersMessage>,
    /// The platform duty.
    pub(crate) platform: Ring<PlatformCommand>,
    /// The targets duty.
    pub(crate) targets: Ring<TargetsMessage>,
    /// The orders duty.
    pub(crate) orders: Ring<OrdersMessage>,
}

/// Names of the duties, as the state dump lists them.
pub(crate) const DUTIES: [&str; 8] = [
    "admission",
    "ledger",
    "document",
    "membership",
    "peers",
    "platform",
    "targets",
    "orders",
];

impl Rings {
    /// Returns a duty's state dump; [`None`] if there is no such duty or it does not answer.
    pub(crate) async fn dump(&self, duty: &str) -> Option<serde_json::Value> {
        match duty {
            "admission" => self.admission.dump().await,
            "ledger" => self.ledger.dump().await,
            "document" => self.document.dump().await,
            "membership" => self.membership.dump().await,
            "peers" => self.peers.dump().await,
            "platform" => self.platform.dump().await,
            "targets" => self.targets.dump().await,
            "orders" => self.orders.dump().await,
            _ => None,
        }
    }

    /// Stops all duties.
    pub(crate) fn stop(&self) {
        self.orders.stop();
        self.targets.stop();
        self.platform.stop();
        self.peers.stop();
        self.membership.stop();
        self.document.stop();
        self.ledger.stop();
        self.admission.stop();
    }
}

/// State shared by the tasks of the HTTP interfaces.
pub(crate) struct NodeShared {
    pub(crate) identity: Identity,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) rings: Rings,
    pub(crate) document: Arc<ArcSwap<DocumentState>>,
    pub(crate) engines: Arc<EngineClient>,
    pub(crate) services: Arc<ServiceClient>,
    pub(crate) addresses: Arc<ArcSwap<TargetAddresses>>,
    /// Events of the most recent requests.
    pub(crate) traces: RequestTraces,
    is_draining: AtomicBool,
    open_requests: AtomicUsize,
}

impl NodeShared {
    /// Creates the shared state of a starting node.
    pub(crate) fn new(
        identity: Identity,
        settings: NodeSettings,
        clock: Clock,
        rings: Rings,
        document: Arc<ArcSwap<DocumentState>>,
        engines: Arc<EngineClient>,
        addresses: Arc<ArcSwap<TargetAddresses>>,
    ) -> Self {
        // An idle connection may be dead, and a call that may not be repeated cannot be sent again
        // to find out, so each call uses a new connection.
        let own_connections = ClientSettings {
            max_idle_connections: 0,
            ..settings.targets.clone()
        };
        let services = Arc::new(ServiceClient::new(own_connections));
        Self {
            identity,
            settings,
            clock,
            rings,
            document,
            engines,
            services,
            addresses,
            traces: RequestTraces::default(),
            is_draining: AtomicBool::new(false),
            open_requests: AtomicUsize::new(0),
        }
    }

    /// Returns the address of a target, if it is known.
    pub(crate) fn target_address(&self, target: &TargetName) -> Option<SocketAddr> {
        self.addresses.load().get(target).map(|known| known.address)
    }

    /// Returns the first known engines in the order of their names.
    pub(crate) fn engine_addresses(&self, limit: usize) -> Vec<(TargetName, SocketAddr)> {
        let known = self.addresses.load();
        let mut engines: Vec<_> = known
            .iter()
            .filter(|(_, known)| known.is_engine)
            .map(|(name, known)| (name.clone(), known.address))
            .collect();
        engines.sort_unstable();
        engines.truncate(limit);
        engines
    }

    /// Returns the lifecycle status of the node.
    pub(crate) fn status(&self) -> NodeStatus {
        if self.is_draining.load(Ordering::Relaxed) {
            return NodeStatus::Leaving;
        }
        if self.document.load().document.budgets().len() == 0 {
            return NodeStatus::Starting;
        }
        NodeStatus::Ready
    }

    /// Starts draining: no new requests are taken from now on.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(Arc::clone(self))
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Sends a message to the admission duty; if its ring is full, the request is refused.
    pub(crate) fn send_to_admission(&self, message: AdmissionMessage) -> Result<(), Refusal> {
        self.rings.admission.try_send(message).map_err(|full| {
            Refusal::new(RefusalCode::NodeBusy, full.to_string()).retry_after_ms(BUSY_RETRY_MS)
        })
    }

    /// Sends a message to the admission duty and waits for the reply.
    pub(crate) async fn ask_admission<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> AdmissionMessage,
    ) -> Result<T, Refusal> {
        let (reply, response) = oneshot::channel();
        self.send_to_admission(message(reply))?;
        response.await.map_err(|_ended| {
            Refusal::new(RefusalCode::NotReady, "this node is stopping")
                .retry_after_ms(BUSY_RETRY_MS)
        })
    }
}

/// Counts a request as open until it is dropped.
pub(crate) struct OpenRequest(Arc<NodeShared>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
