//! Starts and stops one router VM: its duties, their rings and its HTTP interfaces.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    thread::JoinHandle,
    time::Duration,
};

use arc_swap::ArcSwap;
use displaydoc::Display;
use rand::Rng;
use tokio::sync::oneshot;
use toucan_config::Document;
use toucan_platform::EngineClient;
use toucan_types::{IncarnationId, Offset};
use toucan_wire::{PeerIdentity, PeerTarget, Tls, TlsError};

use crate::{
    admission::{AdmissionDuty, AdmissionLinks, AdmissionMessage},
    callers::caller_routes,
    document::{DocumentDuty, DocumentLinks, DocumentState},
    http_server::{HttpServer, ServerHandle},
    kernel::{
        Clock, FailureSignal, Identity, Ring, TaskReceiver, ThreadReceiver, spawn_duty,
        spawn_io_duty,
    },
    ledger::{LedgerDuty, LedgerLinks, LedgerMessage},
    membership::{MembershipDuty, MembershipLinks, MembershipMessage},
    node_settings::NodeSettings,
    node_shared::{NodeShared, Rings, TargetAddresses},
    operators::operator_routes,
    orders::{OrdersDuty, OrdersLinks, OrdersMessage},
    peers::{PeersLinks, PeersMessage, run_peers_duty},
    platform_io::{PlatformCommand, PlatformEndpoints, PlatformLinks, run_platform_duty},
    targets::{TargetsDuty, TargetsLinks, TargetsMessage, run_targets_duty},
};

/// Interval at which a stop checks whether the requests in progress have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that a stop waits for the shutdown notice to be read back, in milliseconds.
const SHUTDOWN_NOTICE_TIMEOUT_MS: u64 = 10_000;
/// Maximum time that a stop waits for responses to be written out, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 2_000;
/// Name of the callers' interface.
const CALLERS: &str = "callers";
/// Number of threads that serve peers.
const PEER_THREADS: usize = 2;

/// A failure to start a node or to reload its keys.
#[derive(Debug, Display)]
pub enum StartError {
    /// cannot listen on {address} for {interface}: {error}
    Listen {
        /// Name of the interface.
        interface: &'static str,
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// cannot read the keys for peers: {0}
    KeyFiles(std::io::Error),
    /// cannot use the keys for peers: {0}
    Keys(TlsError),
    /// cannot start a thread: {0}
    Thread(std::io::Error),
}

impl std::error::Error for StartError {}

/// A running router VM.
///
/// Several can run in one process, as they do in the demo and in the tests.
///
/// See also [`NodeSettings`].
pub struct Node {
    shared: Arc<NodeShared>,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    /// Handles of the servers by interface; dropping one stops its server.
    servers: Vec<(&'static str, ServerHandle)>,
    tls: Option<Arc<Tls>>,
    threads: Vec<JoinHandle<()>>,
    stop_senders: Vec<oneshot::Sender<()>>,
    failure: FailureSignal,
}

/// Receiving ends of the rings.
struct Receivers {
    admission: ThreadReceiver<AdmissionMessage>,
    ledger: ThreadReceiver<LedgerMessage>,
    document: ThreadReceiver<crate::document::DocumentMessage>,
    membership: ThreadReceiver<MembershipMessage>,
    peers: TaskReceiver<PeersMessage>,
    platform: TaskReceiver<PlatformCommand>,
    targets: TaskReceiver<TargetsMessage>,
    orders: ThreadReceiver<OrdersMessage>,
}

impl Node {
    /// Starts a node: binds its ports, then starts its duties.
    ///
    /// # Errors
    ///
    /// [`StartError`], in which case nothing is left running.
    pub fn start(settings: NodeSettings) -> Result<Self, StartError> {
        let clock = Clock::start();
        let identity = Identity {
            vm: settings.vm.clone(),
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation: IncarnationId(rand::rng().random()),
        };
        let tls = read_tls(&settings)?;
        // The peer port is bound first, since this fails while an older process of the VM runs.
        let peers = listen("peers", settings.listen.peers)?;
        let callers = listen("callers", settings.listen.callers)?;
        let operators = listen("operators", settings.listen.operators)?;
        let (rings, receivers) = rings(settings.admission.ring_capacity);
        let in_force = Arc::new(ArcSwap::from_pointee(DocumentState {
            document: Arc::new(Document::default()),
            applied_to: Offset(0),
            is_waiting: false,
        }));
        let engines = Arc::new(EngineClient::new(settings.targets.clone()));
        let addresses = Arc::new(ArcSwap::from_pointee(TargetAddresses::default()));
        let shared = Arc::new(NodeShared::new(
            identity, settings, clock, rings, in_force, engines, addresses,
        ));
        let mut node = Self {
            callers: address_of(&callers),
            operators: address_of(&operators),
            peers: address_of(&peers),
            shared,
            servers: Vec::new(),
            tls,
            threads: Vec::new(),
            stop_senders: Vec::new(),
            failure: FailureSignal::new(),
        };
        node.start_duties(receivers, peers)
            .map_err(StartError::Thread)?;
        node.start_servers(callers, operators)
            .map_err(StartError::Thread)?;
        Ok(node)
    }

    /// Returns the version of each section of the document in force at this node.
    pub fn document_versions(&self) -> toucan_config::Versions {
        self.shared.document.load().document.versions()
    }

    /// Returns the address of the callers' interface.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the operators' interface.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address at which other nodes reach this one.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the identity of this node.
    pub fn identity(&self) -> &Identity {
        &self.shared.identity
    }

    /// Reads the key files again; new connections use the new keys.
    ///
    /// # Errors
    ///
    /// [`StartError::KeyFiles`] or [`StartError::Keys`]; the previous keys then stay in use.
    pub fn reload_keys(&self) -> Result<(), StartError> {
        let (Some(tls), Some(files)) = (&self.tls, &self.shared.settings.tls) else {
            return Ok(());
        };
        let settings = files.read().map_err(StartError::KeyFiles)?;
        tls.reload(&settings).map_err(StartError::Keys)
    }

    /// Returns whether a duty has panicked; the process must then be restarted.
    pub fn has_failed(&self) -> bool {
        self.failure.has_failed()
    }

    /// Waits until a duty has panicked.
    pub async fn failed(&self) {
        self.failure.wait().await;
    }

    /// Shuts down gracefully: leaves the load balancer, waits for requests in progress, settles and
    /// sends the shutdown notice.
    ///
    /// Returns the number of requests that were cut off because they exceeded the stop timeout.
    pub fn stop(mut self) -> usize {
        let settings = &self.shared.settings;
        let (notice_ms, timeout_ms) = (settings.leave_notice_ms, settings.stop_timeout_ms);
        log::info!("{} is shutting down", self.shared.identity.vm);
        self.shared.start_draining();
        let _ended = self.shared.rings.membership.send(MembershipMessage::Drain);
        let _ended = self.shared.rings.peers.send(PeersMessage::AnnounceLeaving);
        // The load balancer removes the VM meanwhile; requests that arrive later are refused before
        // they run.
        std::thread::sleep(Duration::from_millis(notice_ms));
        let _ended = self.shared.rings.admission.send(AdmissionMessage::Drain);
        for (name, handle) in &self.servers {
            // The operators' interface serves until the node ends.
            if *name == CALLERS {
                handle.stop();
            }
        }
        let cut_off = self.wait_for_requests(timeout_ms);
        self.wait_for_connections();
        self.send_shutdown_notice();
        self.stop_threads();
        cut_off
    }

    /// Stops at once, as if the VM were destroyed: settles nothing and sends no shutdown notice.
    pub fn kill(mut self) {
        self.stop_threads();
    }

    fn wait_for_requests(&self, timeout_ms: u64) -> usize {
        let until_ms = self.shared.clock.now_ms().saturating_add(timeout_ms);
        loop {
            let open = self.shared.open_requests();
            if open == 0 || self.shared.clock.now_ms() >= until_ms {
                return open;
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Waits until the responses of ended requests are written out.
    fn wait_for_connections(&self) {
        let until_ms = self.shared.clock.now_ms().saturating_add(FLUSH_TIMEOUT_MS);
        let is_open = |(name, handle): &(&str, ServerHandle)| {
            *name == CALLERS && handle.open_connections() > 0
        };
        while self.servers.iter().any(is_open) && self.shared.clock.now_ms() < until_ms {
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    fn send_shutdown_notice(&self) {
        let (reply, mut confirmed) = oneshot::channel();
        if self
            .shared
            .rings
            .admission
            .send(AdmissionMessage::ShutDown(reply))
            .is_err()
        {
            return;
        }
        let until_ms = self
            .shared
            .clock
            .now_ms()
            .saturating_add(SHUTDOWN_NOTICE_TIMEOUT_MS);
        while self.shared.clock.now_ms() < until_ms {
            if confirmed.try_recv().is_ok() {
                return log::info!("{} said farewell", self.shared.identity.vm);
            }
            std::thread::sleep(STOP_POLL_INTERVAL);
        }
        log::warn!(
            "{}: the shutdown notice was not read back in time; it is left to the live peers",
            self.shared.identity.vm
        );
    }

    fn stop_threads(&mut self) {
        for stop in self.stop_senders.drain(..) {
            let _ended = stop.send(());
        }
        self.shared.rings.stop();
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                log::error!("a thread of {} has panicked", self.shared.identity.vm);
            }
        }
    }

    fn start_duties(&mut self, receivers: Receivers, peers: TcpListener) -> std::io::Result<()> {
        let shared = &self.shared;
        let (identity, settings, clock) = (&shared.identity, &shared.settings, shared.clock);
        let rings = &shared.rings;
        let admission = AdmissionDuty::new(
            identity.clone(),
            settings.admission,
            AdmissionLinks {
                ledger: rings.ledger.clone(),
                peers: rings.peers.clone(),
            },
        );
        let ledger = LedgerDuty::new(
            identity.clone(),
            LedgerLinks {
                admission: rings.admission.clone(),
                peers: rings.peers.clone(),
                platform: rings.platform.clone(),
            },
        );
        let document = DocumentDuty::new(
            DocumentLinks {
                admission: rings.admission.clone(),
                ledger: rings.ledger.clone(),
                membership: rings.membership.clone(),
                targets: rings.targets.clone(),
                platform: rings.platform.clone(),
            },
            Arc::clone(&shared.document),
            identity.incarnation.0,
        );
        let contacts = settings.contacts.iter().map(|(vm, address)| PeerTarget {
            identity: PeerIdentity::new(vm.clone(), settings.data_centre.clone()),
            address: *address,
        });
        let membership = MembershipDuty::new(
            identity.clone(),
            self.peers,
            contacts.collect(),
            settings.membership.clone(),
            MembershipLinks {
                admission: rings.admission.clone(),
                ledger: rings.ledger.clone(),
                peers: rings.peers.clone(),
                orders: rings.orders.clone(),
            },
            clock.now_ms(),
        );
        let peers_links = PeersLinks {
            admission: rings.admission.clone(),
            ledger: rings.ledger.clone(),
            membership: rings.membership.clone(),
            document: rings.document.clone(),
        };
        let platform_links = PlatformLinks {
            ledger: rings.ledger.clone(),
            document: rings.document.clone(),
            membership: rings.membership.clone(),
            targets: rings.targets.clone(),
            orders: rings.orders.clone(),
        };
        let endpoints = PlatformEndpoints {
            log: settings.platform.log,
            vm_list: settings.platform.vm_list,
            vm_list_poll_ms: settings.platform.vm_list_poll_ms,
        };
        let (tls, local_identity) = (self.tls.clone(), identity.clone());
        let (engines, addresses) = (Arc::clone(&shared.engines), Arc::clone(&shared.addresses));
        let targets_links = TargetsLinks {
            admission: rings.admission.clone(),
            orders: rings.orders.clone(),
        };
        let orders = OrdersDuty::new(
            identity.clone(),
            settings.orders,
            OrdersLinks {
                platform: rings.platform.clone(),
                targets: rings.targets.clone(),
            },
        );
        let (own_data_centre, order_limits) =
            (identity.data_centre.clone(), settings.targets.clone());
        let Receivers {
            admission: admission_ring,
            ledger: ledger_ring,
            document: document_ring,
            membership: membership_ring,
            peers: peers_ring,
            platform: platform_ring,
            targets: targets_ring,
            orders: orders_ring,
        } = receivers;
        self.threads.extend([
            spawn_duty(admission, admission_ring, clock, &self.failure)?,
            spawn_duty(ledger, ledger_ring, clock, &self.failure)?,
            spawn_duty(document, document_ring, clock, &self.failure)?,
            spawn_duty(membership, membership_ring, clock, &self.failure)?,
            spawn_duty(orders, orders_ring, clock, &self.failure)?,
            spawn_io_duty("peers", PEER_THREADS, &self.failure, move || {
                run_peers_duty(local_identity, tls, peers, peers_links, peers_ring)
            })?,
            spawn_io_duty("platform", 1, &self.failure, move || {
                run_platform_duty(endpoints, platform_links, platform_ring)
            })?,
            spawn_io_duty("targets", 1, &self.failure, move || {
                run_targets_duty(
                    TargetsDuty::new(
                        own_data_centre,
                        engines,
                        order_limits,
                        addresses,
                        targets_links,
                    ),
                    targets_ring,
                )
            })?,
        ]);
        let from = Offset(0);
        let _ended = shared
            .rings
            .platform
            .send(PlatformCommand::FollowDocument { from });
        let _ended = shared
            .rings
            .platform
            .send(PlatformCommand::FollowOrders { from });
        Ok(())
    }

    fn start_servers(
        &mut self,
        callers: TcpListener,
        operators: TcpListener,
    ) -> std::io::Result<()> {
        let caller_routes = caller_routes(&self.shared);
        let operator_routes = operator_routes(&self.shared, crate::metrics_handle());
        let threads = self.shared.settings.caller_threads.max(1);
        self.serve(CALLERS, callers, caller_routes, threads)?;
        self.serve("operators", operators, operator_routes, 1)
    }

    fn serve(
        &mut self,
        name: &'static str,
        listener: TcpListener,
        routes: volo_http::server::Router,
        threads: usize,
    ) -> std::io::Result<()> {
        let limits = self.shared.settings.connections;
        let handle = ServerHandle::new();
        self.servers.push((name, handle.clone()));
        let (stop, stopped) = oneshot::channel();
        self.stop_senders.push(stop);
        let thread = spawn_io_duty(name, threads, &self.failure, move || async move {
            match HttpServer::new(name, listener, routes, limits, &handle) {
                Ok(server) => {
                    tokio::spawn(server.run());
                    // An error means that the sender was dropped, which stops the server too.
                    let _dropped = stopped.await;
                }
                Err(error) => log::error!("the {name} interface cannot be served: {error}"),
            }
        })?;
        self.threads.push(thread);
        Ok(())
    }
}

fn read_tls(settings: &NodeSettings) -> Result<Option<Arc<Tls>>, StartError> {
    let Some(files) = &settings.tls else {
        return Ok(None);
    };
    let keys = files.read().map_err(StartError::KeyFiles)?;
    Ok(Some(Arc::new(Tls::new(&keys).map_err(StartError::Keys)?)))
}

fn listen(interface: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|error| StartError::Listen {
        interface,
        address,
        error,
    })
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    // A bound socket has an address; if the system fails to return it, the unspecified address is
    // reported.
    listener
        .local_addr()
        .unwrap_or_else(|_error| SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn rings(capacity: usize) -> (Rings, Receivers) {
    let (admission, admission_ring) = Ring::to_thread("admission", capacity);
    let (ledger, ledger_ring) = Ring::to_thread("ledger", capacity);
    let (document, document_ring) = Ring::to_thread("document", capacity);
    let (membership, membership_ring) = Ring::to_thread("membership", capacity);
    let (peers, peers_ring) = Ring::to_task("peers", capacity);
    let (platform, platform_ring) = Ring::to_task("platform", capacity);
    let (targets, targets_ring) = Ring::to_task("targets", capacity);
    let (orders, orders_ring) = Ring::to_thread("orders", capacity);
    let rings = Rings {
        admission,
        ledger,
        document,
        membership,
        peers,
        platform,
        targets,
        orders,
    };
    let receivers = Receivers {
        admission: admission_ring,
        ledger: ledger_ring,
        document: document_ring,
        membership: membership_ring,
        peers: peers_ring,
        platform: platform_ring,
        targets: targets_ring,
        orders: orders_ring,
    };
    (rings, receivers)
}
