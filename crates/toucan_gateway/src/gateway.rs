//! State and shared services of one gateway process.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::Rng;
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};
use toucan_types::{
    DataCentreName, OrganisationName, RequestId, ServiceName, TargetName, Tokens, VmName,
};

use crate::{
    Platform,
    budget::GatewayProcess,
    buffers::CallBuffers,
    clock::boot_time_ms,
    config::CallerLimits,
    overload::CallAdmission,
    paths::TunnelPeers,
    peers::{Datagram, GatewayLocation, Lending, MemberEntry, PeerMessage, Transfers},
    placement::DepartureCatchUp,
    poison::PoisonTable,
    serving::{ConnectionPool, connection_count::ConnectionCount, http_listener::ListenerState},
    settings::{Bounds, GatewaySettings, VmResources},
    socket_options::SlowPeerOptions,
    state::GatewayState,
    streams::{OriginLookups, StreamOrigin},
    tasks::fresh_read::FreshRead,
};

/// Maximum age of a budget snapshot that may show a budget as exhausted.
const BUDGET_SNAPSHOT_MAX_AGE_MS: u64 = 2_000;

/// One gateway process.
pub struct Gateway<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) location: GatewayLocation,
    /// Data centres that are known to lie in other regions than this VM.
    pub(crate) in_other_regions: Vec<DataCentreName>,
    pub(crate) state: RefCell<GatewayState>,
    pub(crate) pool: Rc<ConnectionPool>,
    /// Bytes that are held for callers and targets.
    pub(crate) buffers: Rc<CallBuffers>,
    pub(crate) lending: RefCell<Lending>,
    pub(crate) transfers: RefCell<Transfers>,
    pub(crate) origin_lookups: RefCell<OriginLookups>,
    /// Notifies calls that wait for the origin of a stream.
    pub(crate) origins_changed: Notify,
    /// Wakes the task that writes where streams began.
    pub(crate) origin_waiting: Notify,
    /// Reads of where streams began, as the store tells.
    pub(crate) stored_origins: FreshRead,
    /// Reads of the targets' registrations.
    pub(crate) registrations: FreshRead,
    /// Notifies calls that wait for tokens.
    pub(crate) tokens_changed: Notify,
    /// Notifies calls that wait for the trial of a part.
    pub(crate) poison_changed: Notify,
    /// Notifies calls that wait for permits.
    pub(crate) permits_changed: Notify,
    /// Notifies calls that wait until it is known which targets have left.
    pub(crate) departures_learnt: Notify,
    /// Notified when the task that draws and reports tokens has failed.
    pub(crate) grants_failed: Notify,
    /// Wakes the task that writes verdicts on parts.
    pub(crate) verdicts_changed: Notify,
    /// Whether calls are ended whose targets have not answered yet, as the process ends.
    pub(crate) calls_end: watch::Sender<bool>,
    /// Wakes the task that draws and returns tokens.
    pub(crate) sync_requested: Notify,
    /// Start time of the last completed synchronisation of the wallets with the store.
    pub(crate) grants_synced_at: watch::Sender<u64>,
    pub(crate) listener_state: watch::Sender<ListenerState>,
    bounds: Cell<Bounds>,
    start_id: u64,
    datagram_key: [u8; 32],
    /// Other gateways that could not open tunnels a moment ago.
    pub(crate) tunnel_peers: RefCell<TunnelPeers>,
    /// Number of tunnels that are open for other gateways.
    pub(crate) open_tunnels: ConnectionCount,
    /// Connections of callers that have sent a call. Once the listener is closing, each ends when its caller has taken
    /// the answer.
    pub(crate) caller_connections: ConnectionCount,
    peers_socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl<P: Platform> Gateway<P> {
    /// Creates a gateway whose tasks and sockets have not been started.
    pub(crate) fn new(platform: P, settings: GatewaySettings) -> Self {
        let start_id = rand::rng().random();
        let slow_target = settings
            .features
            .slow_readers
            .then_some(SlowPeerOptions::TARGET);
        // Where callers and targets may read slowly, the memory of calls is counted where it is held.
        let counted_memory_bytes = settings
            .resources
            .memory_bytes
            .filter(|_bytes| !settings.features.slow_readers);
        let admission_resources = VmResources {
            memory_bytes: counted_memory_bytes,
            ..settings.resources
        };
        let state = GatewayState {
            poison: PoisonTable::new(start_id),
            admission: CallAdmission::new(admission_resources),
            departure_catch_up: DepartureCatchUp::new(boot_time_ms()),
            ..GatewayState::default()
        };
        Self {
            platform,
            state: RefCell::new(state),
            pool: Rc::new(ConnectionPool::new(slow_target)),
            buffers: Rc::new(CallBuffers::new(&settings)),
            lending: RefCell::default(),
            transfers: RefCell::default(),
            origin_lookups: RefCell::default(),
            origins_changed: Notify::new(),
            origin_waiting: Notify::new(),
            stored_origins: FreshRead::default(),
            registrations: FreshRead::default(),
            tokens_changed: Notify::new(),
            poison_changed: Notify::new(),
            permits_changed: Notify::new(),
            departures_learnt: Notify::new(),
            verdicts_changed: Notify::new(),
            grants_failed: Notify::new(),
            calls_end: watch::channel(false).0,
            sync_requested: Notify::new(),
            grants_synced_at: watch::channel(0).0,
            listener_state: watch::channel(ListenerState::Open).0,
            bounds: Cell::new(settings.bounds),
            location: GatewayLocation {
                vm: settings.vm.clone(),
                data_centre: settings.data_centre.clone(),
            },
            in_other_regions: settings.regions.in_other_regions(&settings.data_centre),
            settings,
            start_id,
            datagram_key: rand::rng().random(),
            tunnel_peers: RefCell::default(),
            open_tunnels: ConnectionCount::default(),
            caller_connections: ConnectionCount::default(),
            peers_socket: RefCell::default(),
        }
    }

    /// Sets the socket from which datagrams are sent.
    pub(crate) fn set_peers_socket(&self, socket: Rc<UdpSocket>) {
        *self.peers_socket.borrow_mut() = Some(socket);
    }

    /// Replaces the current bounds.
    ///
    /// The other settings of a gateway are addresses and names, which are fixed until the process ends.
    pub fn apply_bounds(&self, bounds: Bounds) {
        let before = self.bounds.replace(bounds);
        if before != bounds {
            log::info!(target: "process", before:? = before, bounds:? = bounds; "bounds changed");
        }
    }

    /// Returns the limits for callers in the current configuration.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.state
            .borrow()
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.caller_limits)
    }

    /// Returns the current time.
    pub(crate) fn now_ms(&self) -> u64 {
        boot_time_ms()
    }

    /// Returns the current bounds.
    pub(crate) const fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Returns the random number that identifies this run of the process.
    pub(crate) const fn start_id(&self) -> u64 {
        self.start_id
    }

    /// Returns the identity of this process as a holder of grants.
    pub(crate) fn process(&self) -> GatewayProcess {
        GatewayProcess {
            vm: self.settings.vm.clone(),
            start_id: self.start_id,
        }
    }

    /// Returns the entry with which this process registers in the store.
    pub(crate) fn member_entry(&self) -> MemberEntry {
        MemberEntry {
            start: self.start_id,
            address: self.settings.peer_address,
            key: self.datagram_key,
            data_centre: self.settings.data_centre.clone(),
        }
    }

    /// Returns whether a shutdown has reached the phase in which new calls are refused.
    pub(crate) fn refuses_new_calls(&self) -> bool {
        self.state.borrow().refuses_new_calls(self.now_ms())
    }

    /// Completes when calls are ended whose targets have not answered yet.
    pub(crate) async fn calls_ended(&self) {
        let mut calls_end = self.calls_end.subscribe();
        // Fails only if the sender is gone, which lives as long as the gateway.
        let _ended = calls_end.wait_for(|has_ended| *has_ended).await;
    }

    /// Returns whether the retry budget of a service has a retry left.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        let state = self.state.borrow();
        state
            .retry_budgets
            .get(service)
            .is_some_and(toucan_router::RetryBudget::has_retry)
    }

    /// Returns whether the store's records show that a budget cannot cover `tokens`, even if all
    /// tokens that are granted but not reported as spent were returned.
    ///
    /// Records read more than `BUDGET_SNAPSHOT_MAX_AGE_MS` before `since_ms` are ignored.
    pub(crate) fn is_budget_exhausted(
        &self,
        organisation: &OrganisationName,
        tokens: Tokens,
        since_ms: u64,
    ) -> bool {
        let state = self.state.borrow();
        let Some(snapshot) = state.budget_snapshots.get(organisation) else {
            return false;
        };
        snapshot.read_at_ms + BUDGET_SNAPSHOT_MAX_AGE_MS >= since_ms
            && snapshot.prepaid.saturating_sub(snapshot.spent) < tokens
    }

    /// Returns where a stream began, if this gateway knows it.
    pub(crate) fn stream_origin(&self, attempt: &RequestId) -> Option<StreamOrigin> {
        self.state.borrow().stream_origins.get(attempt).cloned()
    }

    /// Returns whether this gateway holds tokens of an organisation for its data centre.
    pub(crate) fn is_holder(&self, organisation: &OrganisationName) -> bool {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        state.is_holder(organisation, &self.location, now_ms)
    }

    /// Returns whether the store may still grant tokens of an organisation.
    pub(crate) fn can_draw(&self, organisation: &OrganisationName) -> bool {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        !state.grants_unreachable && !state.is_fully_granted(organisation, now_ms)
    }

    /// Returns whether neither the store nor another gateway had tokens of an organisation a moment
    /// ago.
    pub(crate) fn is_loan_hopeless(&self, organisation: &OrganisationName) -> bool {
        let now_ms = self.now_ms();
        !self.can_draw(organisation) && self.lending.borrow().is_cycle_over(organisation, now_ms)
    }

    /// Asks some of the other gateways for the tokens that calls wait for and this one lacks.
    pub(crate) fn request_loans(&self, organisation: &OrganisationName) {
        let now_ms = self.now_ms();
        let mut lenders = self
            .state
            .borrow()
            .members
            .lenders(organisation, &self.location, now_ms);
        let mut lending = self.lending.borrow_mut();
        let chosen = lending.next_round(organisation, lenders.len(), now_ms);
        if chosen.is_empty() {
            // Every waiting call gets here, usually before the next round is due.
            return;
        }
        lending.reorder(organisation, &mut lenders, now_ms);
        let missing = self.state.borrow_mut().missing_tokens(organisation);
        for vm in chosen.into_iter().filter_map(|index| lenders.get(index)) {
            let Some(lender_start) = self.state.borrow().members.start_of(vm) else {
                continue;
            };
            let (id, tokens) = lending.ask(organisation, vm, lender_start, missing, now_ms);
            let message = PeerMessage::AskLoan {
                id,
                lender_start,
                organisation: organisation.clone(),
                tokens,
            };
            self.send_to_peers(std::iter::once(vm), message);
        }
    }

    /// Records that a target is leaving, and tells the other gateways of this data centre if it was
    /// not known.
    pub(crate) fn record_leaving_target(&self, target: &TargetName, started_at_unix_ms: u64) {
        let is_new = {
            let targets = &mut self.state.borrow_mut().targets;
            targets.record_leaving(target, started_at_unix_ms)
        };
        if !is_new {
            return;
        }
        metrics::counter!("toucan_leaving_targets_total").increment(1);
        log::info!(target: "target", name = target.as_str(); "the target states that it is leaving");
        let neighbours = self.state.borrow().members.neighbours(&self.location);
        let message = PeerMessage::TargetLeaving {
            target: target.clone(),
            started_at_unix_ms,
        };
        self.send_to_peers(neighbours.iter(), message);
    }

    /// Records that another process answers at a target's address, and tells the other gateways if it was
    /// not known. They may not be able to read that the registration has ended.
    pub(crate) fn record_replaced_target(&self, target: &TargetName, started_at_unix_ms: u64) {
        let is_new = {
            let targets = &mut self.state.borrow_mut().targets;
            targets.record_replaced(target, started_at_unix_ms)
        };
        if !is_new {
            return;
        }
        metrics::counter!("toucan_replaced_targets_total").increment(1);
        log::info!(target: "target", name = target.as_str(); "another process answers at the target's address");
        self.tell_all(PeerMessage::TargetReplaced {
            target: target.clone(),
            started_at_unix_ms,
        });
    }

    /// Records that a target wants no calls from this VM for some time.
    pub(crate) fn record_throttling_target(
        &self,
        target: &TargetName,
        started_at_unix_ms: u64,
        throttle: Duration,
    ) {
        let now_ms = self.now_ms();
        let targets = &mut self.state.borrow_mut().targets;
        let until_ms =
            targets.record_throttle(target, started_at_unix_ms, throttle, self.start_id, now_ms);
        let Some(until_ms) = until_ms else {
            return;
        };
        metrics::counter!("toucan_throttling_targets_total").increment(1);
        log::info!(
            target: "target",
            name = target.as_str(),
            asked_ms = throttle.as_millis() as u64,
            throttled_ms = until_ms.saturating_sub(now_ms);
            "the target throttles this VM"
        );
    }

    /// Returns a message as an authenticated datagram.
    pub(crate) fn encode_datagram(&self, message: PeerMessage) -> Option<Vec<u8>> {
        let datagram = Datagram {
            vm: self.settings.vm.clone(),
            start: self.start_id,
            message,
        };
        match datagram.encode(&self.datagram_key) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::error!(target: "peers", error:% = error; "a datagram was not sent");
                None
            }
        }
    }

    /// Returns the socket for datagrams; [`None`] before the gateway listens.
    pub(crate) fn peers_socket(&self) -> Option<Rc<UdpSocket>> {
        self.peers_socket.borrow().clone()
    }

    /// Sends a message to other gateways without guaranteed delivery.
    pub(crate) fn send_to_peers<'a>(
        &self,
        vms: impl Iterator<Item = &'a VmName>,
        message: PeerMessage,
    ) {
        let Some(socket) = self.peers_socket() else {
            return;
        };
        let Some(bytes) = self.encode_datagram(message) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        for vm in vms {
            let Some(member) = state.members.get_mut(vm) else {
                continue;
            };
            let address = SocketAddr::V4(member.entry.address);
            if let Err(error) = socket.try_send_to(&bytes, address) {
                metrics::counter!("toucan_unsent_datagrams_total").increment(1);
                log::debug!(target: "peers", vm = vm.as_str(), error:% = error; "a datagram was not sent");
            }
        }
    }
}
