//! Tasks of the targets duty.

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
    load_interval::{events_interval, load_interval},
    send_order::send_order,
};
use crate::{
    admission::{AdmissionMessage, KnownTarget},
    kernel::{Envelope, Ring, TaskReceiver},
    node_shared::{KnownAddress, TargetAddresses},
    orders::OrdersMessage,
};

/// Requests that an engine takes at once until its first report.
const ENGINE_BATCH_REQUESTS: u32 = 8;
/// Requests that a target of a plain service takes at once.
const SERVICE_BATCH_REQUESTS: u32 = 64;
/// Longest wait for the answer to an order, in milliseconds; half the time in which orders settle.
const ORDER_ANSWER_MS: u64 = 4_000;

/// Longest wait for a report.
const LOAD_PATIENCE: Duration = Duration::from_millis(DRAIN_POLL_MS);

/// Rings that the targets duty writes to.
#[derive(Clone)]
pub(crate) struct TargetsLinks {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The orders duty.
    pub(crate) orders: Ring<OrdersMessage>,
}

/// Tells the admission duty of targets until the duty is stopped.
pub(crate) async fn run_targets_duty(
    mut duty: TargetsDuty,
    mut messages: TaskReceiver<TargetsMessage>,
) {
    while let Some(envelope) = messages.recv().await {
        match envelope {
            Envelope::Work(TargetsMessage::Document(document)) => duty.document = document,
            Envelope::Work(TargetsMessage::Listed(listing)) => duty.listing = Some(listing),
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
    /// Client for orders, which do not wait for a download to end.
    order_engines: Arc<EngineClient>,
    /// Engines that are polled, which sets the intervals.
    polled: Arc<AtomicUsize>,
    engines: Arc<EngineClient>,
    addresses: Arc<ArcSwap<TargetAddresses>>,
    links: TargetsLinks,
    document: Arc<Document>,
    listing: Option<Arc<VmListing>>,
    pollers: FastHashMap<TargetName, (SocketAddr, JoinHandle<()>)>,
}

impl TargetsDuty {
    /// A duty that knows of no target yet.
    pub(crate) fn new(
        own_data_centre: DataCentreName,
        engines: Arc<EngineClient>,
        limits: ClientSettings,
        addresses: Arc<ArcSwap<TargetAddresses>>,
        links: TargetsLinks,
    ) -> Self {
        let order_engines = EngineClient::new(limits.with_first_byte_timeout_ms(ORDER_ANSWER_MS));
        Self {
            own_data_centre,
            order_engines: Arc::new(order_engines),
            polled: Arc::default(),
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
        // A full ring loses one update; the next list follows within a second.
        let _full = self.links.orders.try_send(OrdersMessage::Targets {
            document: Arc::clone(&self.document),
            targets: targets.clone(),
        });
        let _full = self
            .links
            .admission
            .try_send(AdmissionMessage::Targets(targets));
    }

    /// Targets of the document and of the platform's list; the list knows better who leaves.
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
        // An operator drains a listed target by an entry of its name in the document.
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
        self.polled.store(engines.len(), Ordering::Relaxed);
        for (name, address) in engines {
            if self.pollers.contains_key(name) {
                continue;
            }
            let look = EngineLook {
                engines: Arc::clone(&self.engines),
                links: self.links.clone(),
                polled: Arc::clone(&self.polled),
                target: name.clone(),
                address,
                gets_orders: own.contains(name),
            };
            let poller = tokio::spawn(async move {
                tokio::join!(look.poll_load(), look.poll_events());
            });
            self.pollers.insert(name.clone(), (address, poller));
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

/// Looks at one engine.
struct EngineLook {
    engines: Arc<EngineClient>,
    links: TargetsLinks,
    polled: Arc<AtomicUsize>,
    target: TargetName,
    address: SocketAddr,
    /// Whether this node may decide the engine's orders.
    gets_orders: bool,
}

impl EngineLook {
    async fn poll_load(&self) {
        loop {
            let next = Instant::now() + load_interval(self.polled.load(Ordering::Relaxed));
            let look = self.engines.load(self.address);
            // A connection gone silent must not hide for long that the engine leaves.
            if let Ok(Ok(load)) = tokio::time::timeout(LOAD_PATIENCE, look).await {
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

    /// Apart from the loads, so that a slow answer does not delay the word that a target leaves.
    async fn poll_events(&self) {
        let mut after = 0;
        loop {
            let next = Instant::now() + events_interval(self.polled.load(Ordering::Relaxed));
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
