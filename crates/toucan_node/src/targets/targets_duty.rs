//! State and tasks of the targets duty.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use tokio::{task::JoinHandle, time::Instant};
use toucan_config::{Document, Service, ServiceKind};
use toucan_platform::formats::{VmKind, VmState};
use toucan_platform::{ClientSettings, EngineClient, ListedVm, VmListing};
use toucan_router::{DRAIN_POLL_MS, TargetDescription};
use toucan_types::{DataCentreName, FastHashMap, FastHashSet, TargetName};

use super::{
    TargetsMessage,
    poll_intervals::{events_interval, load_interval},
    send_order::send_order,
};
use crate::{
    admission::{AdmissionMessage, KnownTarget},
    kernel::{Envelope, Ring, TaskReceiver},
    node_shared::{KnownAddress, TargetAddresses},
    orders::OrdersMessage,
};

/// Concurrent requests assumed for an engine until its first load report.
const ENGINE_BATCH_REQUESTS: u32 = 8;
/// Concurrent requests of a target of a plain service.
const SERVICE_BATCH_REQUESTS: u32 = 64;
/// Timeout of the response to an order, in milliseconds; half the time in which orders settle.
const ORDER_TIMEOUT_MS: u64 = 4_000;

/// Timeout of one load poll.
const LOAD_TIMEOUT: Duration = Duration::from_millis(DRAIN_POLL_MS);

/// Rings that the targets duty writes to.
#[derive(Clone)]
pub(crate) struct TargetsLinks {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The orders duty.
    pub(crate) orders: Ring<OrdersMessage>,
}

/// Keeps the admission duty informed of the targets until the duty is stopped.
pub(crate) async fn run_targets_duty(
    mut duty: TargetsDuty,
    mut messages: TaskReceiver<TargetsMessage>,
) {
    while let Some(envelope) = messages.recv().await {
        match envelope {
            Envelope::Work(TargetsMessage::Document(document)) => duty.document = document,
            Envelope::Work(TargetsMessage::VmList(listing)) => duty.listing = Some(listing),
            Envelope::Work(TargetsMessage::Order {
                order,
                address,
                decided_at,
            }) => {
                let (engines, orders) =
                    (Arc::clone(&duty.order_engines), duty.links.orders.clone());
                tokio::spawn(send_order(engines, orders, order, address, decided_at));
                continue;
            }
            Envelope::Dump(reply) => {
                let _unread = reply.send(duty.dump());
                continue;
            }
            Envelope::Stop => break,
        }
        duty.update();
    }
    for (_, poller) in duty.pollers.into_values() {
        poller.abort();
    }
}

/// State of the targets duty.
pub(crate) struct TargetsDuty {
    own_data_centre: DataCentreName,
    /// Client for orders; its timeout is too short for a download to complete.
    order_engines: Arc<EngineClient>,
    /// Number of polled engines, which determines the poll intervals.
    polled_engines: Arc<AtomicUsize>,
    engines: Arc<EngineClient>,
    addresses: Arc<ArcSwap<TargetAddresses>>,
    links: TargetsLinks,
    document: Arc<Document>,
    listing: Option<Arc<VmListing>>,
    pollers: FastHashMap<TargetName, (SocketAddr, JoinHandle<()>)>,
}

impl TargetsDuty {
    /// Creates a duty that knows no target yet.
    pub(crate) fn new(
        own_data_centre: DataCentreName,
        engines: Arc<EngineClient>,
        limits: ClientSettings,
        addresses: Arc<ArcSwap<TargetAddresses>>,
        links: TargetsLinks,
    ) -> Self {
        let order_engines = EngineClient::new(limits.with_first_byte_timeout_ms(ORDER_TIMEOUT_MS));
        Self {
            own_data_centre,
            order_engines: Arc::new(order_engines),
            polled_engines: Arc::default(),
            engines,
            addresses,
            links,
            document: Arc::new(Document::default()),
            listing: None,
            pollers: FastHashMap::default(),
        }
    }

    fn update(&mut self) {
        let targets = self.known_targets();
        self.poll(&targets);
        let named = |target: &KnownTarget| {
            let known = KnownAddress {
                address: target.address,
                is_engine: target.is_engine,
            };
            (target.description.name.clone(), known)
        };
        self.addresses
            .store(Arc::new(targets.iter().map(named).collect()));
        // If the ring is full, this update is lost; the next list follows within a second.
        let _full = self.links.orders.try_send(OrdersMessage::Targets {
            document: Arc::clone(&self.document),
            targets: targets.clone(),
        });
        let _full = self
            .links
            .admission
            .try_send(AdmissionMessage::Targets(targets));
    }

    /// Returns the targets of the document and of the platform's list.
    ///
    /// For targets in both, the list is the authority on which ones are leaving.
    fn known_targets(&self) -> Vec<KnownTarget> {
        let mut known: FastHashMap<TargetName, KnownTarget> = FastHashMap::default();
        for (name, target) in self.document.targets() {
            let Some(service) = self.document.service(target.service.as_str()) else {
                continue;
            };
            let description = TargetDescription {
                name: name.clone(),
                service: target.service.clone(),
                data_centre: target.data_centre.clone(),
                batch_limit: batch_limit(service),
            };
            known.insert(
                name.clone(),
                KnownTarget {
                    description,
                    address: target.address,
                    is_engine: is_engine(service),
                    leaving_by_platform: false,
                    drained_by_operator: target.is_drained,
                },
            );
        }
        for vm in self.listing.iter().flat_map(|listing| &listing.vms) {
            self.add_listed(vm, &mut known);
        }
        known.into_values().collect()
    }

    fn add_listed(&self, vm: &ListedVm, known: &mut FastHashMap<TargetName, KnownTarget>) {
        if vm.kind != VmKind::Target {
            return;
        }
        let name = TargetName::from(vm.vm.as_str());
        let is_leaving = vm.state != VmState::Live;
        if let Some(target) = known.get_mut(&name) {
            target.leaving_by_platform = is_leaving;
            return;
        }
        let Some(service_name) = &vm.service else {
            return;
        };
        let Some(service) = self.document.service(service_name.as_str()) else {
            return;
        };
        if vm.state == VmState::Gone {
            return;
        }
        let description = TargetDescription {
            name: name.clone(),
            service: service_name.clone(),
            data_centre: vm.data_centre.clone(),
            batch_limit: batch_limit(service),
        };
        // An operator drains a listed target by adding an entry with its name to the document.
        let drained_by_operator = false;
        known.insert(
            name,
            KnownTarget {
                description,
                address: vm.address,
                is_engine: is_engine(service),
                leaving_by_platform: is_leaving,
                drained_by_operator,
            },
        );
    }

    fn poll(&mut self, targets: &[KnownTarget]) {
        let engines: FastHashSet<(&TargetName, SocketAddr)> = targets
            .iter()
            .filter(|target| target.is_engine)
            .map(|target| (&target.description.name, target.address))
            .collect();
        let own: FastHashSet<&TargetName> = targets
            .iter()
            .filter(|target| target.description.data_centre == self.own_data_centre)
            .map(|target| &target.description.name)
            .collect();
        self.pollers.retain(|name, (address, poller)| {
            let stays = engines.contains(&(name, *address));
            if !stays {
                poller.abort();
            }
            stays
        });
        self.polled_engines.store(engines.len(), Ordering::Relaxed);
        for (name, address) in engines {
            if self.pollers.contains_key(name) {
                continue;
            }
            let poller = EnginePoller {
                engines: Arc::clone(&self.engines),
                links: self.links.clone(),
                polled_engines: Arc::clone(&self.polled_engines),
                target: name.clone(),
                address,
                gets_orders: own.contains(name),
            };
            let task = tokio::spawn(async move {
                tokio::join!(poller.poll_load(), poller.poll_events());
            });
            self.pollers.insert(name.clone(), (address, task));
        }
    }

    fn dump(&self) -> serde_json::Value {
        let listed_at_ms = self.listing.as_ref().map(|listing| listing.as_of_ms);
        serde_json::json!({
            "engines_polled": self.pollers.len(),
            "listed_at_ms": listed_at_ms,
        })
    }
}

/// Polls one engine.
struct EnginePoller {
    engines: Arc<EngineClient>,
    links: TargetsLinks,
    polled_engines: Arc<AtomicUsize>,
    target: TargetName,
    address: SocketAddr,
    /// Whether this node may decide the engine's orders, since both are in one data centre.
    gets_orders: bool,
}

impl EnginePoller {
    async fn poll_load(&self) {
        loop {
            let next = Instant::now() + load_interval(self.polled_engines.load(Ordering::Relaxed));
            let request = self.engines.load(self.address);
            // A silent connection must not hide for long that the engine is leaving.
            if let Ok(Ok(load)) = tokio::time::timeout(LOAD_TIMEOUT, request).await {
                metrics::counter!("toucan_target_looks_total", "of" => "load").increment(1);
                if self.gets_orders {
                    let (target, load) = (self.target.clone(), load.clone());
                    let message = OrdersMessage::Load { target, load };
                    let _full = self.links.orders.try_send(message);
                }
                let target = self.target.clone();
                let message = AdmissionMessage::Load { target, load };
                let _full = self.links.admission.try_send(message);
            }
            tokio::time::sleep_until(next).await;
        }
    }

    /// Polls cache events separately from the load, so that a slow response does not delay the
    /// notice that a target is leaving.
    async fn poll_events(&self) {
        let mut after = 0;
        loop {
            let next =
                Instant::now() + events_interval(self.polled_engines.load(Ordering::Relaxed));
            tokio::time::sleep_until(next).await;
            let Ok(page) = self.engines.events(self.address, after).await else {
                continue;
            };
            metrics::counter!("toucan_target_looks_total", "of" => "events").increment(1);
            after = page.last_sequence;
            let target = self.target.clone();
            let message = AdmissionMessage::CacheEvents { target, page };
            let _full = self.links.admission.try_send(message);
        }
    }
}

fn is_engine(service: &Service) -> bool {
    matches!(service.kind, ServiceKind::Models { .. })
}

fn batch_limit(service: &Service) -> u32 {
    match service.kind {
        ServiceKind::Models { .. } => ENGINE_BATCH_REQUESTS,
        ServiceKind::Plain { .. } => SERVICE_BATCH_REQUESTS,
    }
}
