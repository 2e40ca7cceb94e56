//! One gateway process.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use displaydoc::Display;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use tokio::{
    net::{TcpListener, TcpSocket, UdpSocket},
    sync::{Notify, watch},
    task::spawn_local,
    time::sleep,
};
use toucan_types::{OrganisationName, ServiceName, Tokens, VmName};

use crate::{
    Platform,
    budget::Holder,
    clock::boot_time_ms,
    config::CallerLimits,
    core::Core,
    duties::{
        config_duty::follow_config,
        grant_duty::keep_wallets,
        member_duty::follow_members,
        peer_duty::{receive_datagrams, tell_load},
        stop_duty,
        target_duty::follow_targets,
    },
    inspection::inspect,
    peers::{Datagram, Lending, MemberEntry, PeerMessage},
    serving::{
        TargetPool,
        answer::{AnswerBody, IncompleteAnswer, text_answer},
        http_listener::{ListenerState, serve_listener},
        serve_call,
    },
    settings::{Bounds, GatewaySettings},
};

/// Connections that wait to be accepted.
const LISTEN_QUEUE: u32 = 1_024;
/// Time between two looks at idle connections to targets.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the store's word on a budget up to which it may be called spent.
const BUDGET_VIEW_MS: u64 = 2_000;

/// the gateway cannot start: {what}: {error}
#[derive(Debug, Display)]
pub struct StartError {
    /// What failed.
    pub what: &'static str,
    /// The system's error.
    pub error: io::Error,
}

impl std::error::Error for StartError {}

/// State and parts of one gateway process.
pub struct Gateway<P: Platform> {
    pub(crate) platform: P,
    pub(crate) settings: GatewaySettings,
    pub(crate) core: RefCell<Core>,
    pub(crate) pool: Rc<TargetPool>,
    pub(crate) lending: RefCell<Lending>,
    /// Wakes calls that wait for tokens.
    pub(crate) tokens_changed: Notify,
    /// Wakes the duty that draws tokens.
    pub(crate) draw_soon: Notify,
    /// When the last pass began that brought all wallets and their records up to date.
    pub(crate) wallets_kept_at: watch::Sender<u64>,
    pub(crate) listener_state: watch::Sender<ListenerState>,
    bounds: Cell<Bounds>,
    start: u64,
    key: [u8; 32],
    peers_socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl<P: Platform + 'static> Gateway<P> {
    /// Starts a gateway on the present thread's local tasks.
    ///
    /// # Errors
    ///
    /// [`StartError`] if an address cannot be listened on.
    pub async fn launch(platform: P, settings: GatewaySettings) -> Result<Rc<Self>, StartError> {
        let gateway = Rc::new(Self {
            platform,
            core: RefCell::default(),
            pool: Rc::default(),
            lending: RefCell::default(),
            tokens_changed: Notify::new(),
            draw_soon: Notify::new(),
            wallets_kept_at: watch::channel(0).0,
            listener_state: watch::channel(ListenerState::Open).0,
            bounds: Cell::new(settings.bounds),
            settings,
            start: rand::rng().random(),
            key: rand::rng().random(),
            peers_socket: RefCell::default(),
        });
        gateway.listen().await?;
        spawn_local(follow_config(Rc::clone(&gateway)));
        spawn_local(follow_targets(Rc::clone(&gateway)));
        spawn_local(follow_members(Rc::clone(&gateway)));
        spawn_local(keep_wallets(Rc::clone(&gateway)));
        spawn_local(sweep_connections(Rc::clone(&gateway)));
        log::info!(
            target: "process",
            vm = gateway.settings.vm.as_str(),
            start = gateway.start,
            data_centre = gateway.settings.data_centre.as_str(),
            callers:% = gateway.settings.callers;
            "gateway started"
        );
        Ok(gateway)
    }

    async fn listen(self: &Rc<Self>) -> Result<(), StartError> {
        let callers = bind("callers", self.settings.callers.into())?;
        let readiness = bind("readiness", self.settings.readiness.into())?;
        let metrics = bind("metrics", self.settings.metrics.into())?;
        let peers = UdpSocket::bind(self.settings.peers).await;
        let peers = Rc::new(peers.map_err(|error| StartError {
            what: "peers",
            error,
        })?);
        *self.peers_socket.borrow_mut() = Some(Rc::clone(&peers));
        spawn_local(receive_datagrams(Rc::clone(self), peers));
        spawn_local(tell_load(Rc::clone(self)));

        let state = || self.listener_state.subscribe();
        let gateway = Rc::clone(self);
        let limits = {
            let gateway = Rc::clone(self);
            move || gateway.caller_limits()
        };
        let calls = move |request| serve_call(Rc::clone(&gateway), request);
        spawn_local(serve_listener("callers", callers, limits, state(), calls));

        // The balancer and operators are answered until the process ends.
        let (always_open, never_closed) = watch::channel(ListenerState::Open);
        let gateway = Rc::clone(self);
        let probes = move |request| answer_probe(Rc::clone(&gateway), request);
        let limits = CallerLimits::default;
        spawn_local(serve_listener(
            "readiness",
            readiness,
            limits,
            never_closed.clone(),
            probes,
        ));
        let gateway = Rc::clone(self);
        let inspections = move |request| {
            let _open = &always_open;
            answer_inspection(Rc::clone(&gateway), request)
        };
        spawn_local(serve_listener(
            "metrics",
            metrics,
            limits,
            never_closed,
            inspections,
        ));
        Ok(())
    }

    /// Puts other bounds in force.
    ///
    /// The other settings are addresses and names, which hold until the process ends.
    pub fn apply_bounds(&self, bounds: Bounds) {
        let before = self.bounds.replace(bounds);
        if before != bounds {
            log::info!(target: "process", before:? = before, bounds:? = bounds; "bounds changed");
        }
    }

    /// Stops as planned and returns how many calls were cut off.
    pub async fn stop(self: &Rc<Self>) -> u32 {
        stop_duty::stop(self).await
    }

    fn caller_limits(&self) -> CallerLimits {
        self.core
            .borrow()
            .config
            .as_ref()
            .map_or_else(CallerLimits::default, |config| config.caller_limits)
    }
}

impl<P: Platform> Gateway<P> {
    /// Present time.
    pub(crate) fn now_ms(&self) -> u64 {
        boot_time_ms()
    }

    /// The bounds in force.
    pub(crate) const fn bounds(&self) -> Bounds {
        self.bounds.get()
    }

    /// Random number of this start of the process.
    pub(crate) const fn start(&self) -> u64 {
        self.start
    }

    /// This process as a holder of grants.
    pub(crate) fn holder(&self) -> Holder {
        Holder {
            vm: self.settings.vm.clone(),
            start: self.start,
        }
    }

    /// What this process says of itself in the store.
    pub(crate) fn member_entry(&self) -> MemberEntry {
        MemberEntry {
            start: self.start,
            address: self.settings.peers,
            key: self.key,
        }
    }

    /// Whether a planned stop has come so far that calls are refused.
    pub(crate) fn refuses_new_calls(&self) -> bool {
        self.core.borrow().refuses_new_calls(self.now_ms())
    }

    /// Whether the allowance of retries of a service is not used up.
    pub(crate) fn allows_retry(&self, service: &ServiceName) -> bool {
        let core = self.core.borrow();
        core.retries
            .get(service)
            .is_some_and(toucan_router::RetryBudget::has_any)
    }

    /// Whether the store's records, read since `since_ms` or just before, show that a budget does
    /// not cover `tokens`, even if everything that is granted but not reported as spent came back.
    pub(crate) fn is_spent(
        &self,
        organisation: &OrganisationName,
        tokens: Tokens,
        since_ms: u64,
    ) -> bool {
        let core = self.core.borrow();
        let Some(view) = core.budget_views.get(organisation) else {
            return false;
        };
        view.read_at_ms + BUDGET_VIEW_MS >= since_ms
            && view.prepaid.saturating_sub(view.spent) < tokens
    }

    /// Asks some other gateways for a loan.
    pub(crate) fn ask_peers(&self, organisation: &OrganisationName, lacking: Tokens) {
        let now_ms = self.now_ms();
        let mut peers: Vec<(VmName, u64)> = {
            let core = self.core.borrow();
            core.members
                .live(now_ms)
                .map(|(vm, member)| (vm.clone(), member.entry.start))
                .collect()
        };
        peers.sort_unstable();
        let chosen = self
            .lending
            .borrow_mut()
            .next_round(organisation, peers.len(), now_ms);
        for (vm, lender_start) in chosen.into_iter().filter_map(|at| peers.get(at)) {
            let (id, tokens) =
                self.lending
                    .borrow_mut()
                    .ask(organisation, vm, *lender_start, lacking);
            let message = PeerMessage::AskLoan {
                id,
                lender_start: *lender_start,
                organisation: organisation.clone(),
                tokens,
            };
            self.send_to_peers(std::iter::once(vm), &message);
        }
    }

    /// Sends a message to other gateways; it may be lost.
    pub(crate) fn send_to_peers<'a>(
        &self,
        vms: impl Iterator<Item = &'a VmName>,
        message: &PeerMessage,
    ) {
        let Some(socket) = self.peers_socket.borrow().clone() else {
            return;
        };
        let datagram = Datagram {
            vm: self.settings.vm.clone(),
            start: self.start,
            message: message.clone(),
        };
        let bytes = match datagram.encode(&self.key) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(target: "peers", error:% = error; "a datagram was not sent");
                return;
            }
        };
        let mut core = self.core.borrow_mut();
        for vm in vms {
            let Some(member) = core.members.get_mut(vm) else {
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

fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = || -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_QUEUE)
    };
    bound().map_err(|error| StartError { what, error })
}

async fn sweep_connections<P: Platform>(gateway: Rc<Gateway<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let is_known =
            |name: &toucan_types::TargetName| gateway.core.borrow().targets.get(name).is_some();
        gateway.pool.sweep(is_known, gateway.now_ms());
    }
}

type OwnAnswer =
    Response<AnswerBody<futures_util::stream::Empty<Result<bytes::Bytes, IncompleteAnswer>>>>;

/// Answers the balancer.
async fn answer_probe<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> OwnAnswer {
    if request.uri().path() != gateway.platform.readiness_path() {
        return text_answer(StatusCode::NOT_FOUND, String::new());
    }
    let status = if gateway.core.borrow().is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    text_answer(status, String::new())
}

/// Answers operators.
async fn answer_inspection<P: Platform>(
    gateway: Rc<Gateway<P>>,
    request: Request<Incoming>,
) -> OwnAnswer {
    match inspect(&gateway, request.uri().path()) {
        Some(text) => text_answer(StatusCode::OK, text),
        None => text_answer(StatusCode::NOT_FOUND, String::new()),
    }
}
