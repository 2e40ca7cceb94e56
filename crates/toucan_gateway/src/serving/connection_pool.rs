//! Pool of connections to targets.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use displaydoc::Display;
use hyper::client::conn::http1::SendRequest;
use tokio::{net::TcpStream, time::timeout};
use toucan_types::{FastHashMap, TargetName};

use crate::{
    clock::boot_time_ms,
    config::TargetEntry,
    connection_life::ConnectionLife,
    http_connection::{ConnectError, connect_tcp, start_http},
    overload::{ConnectResult, LinkMonitor},
    paths::{DirectResult, Path, PathTable, TunnelResult},
    placement::CallOutcome,
    socket_options::{SlowPeerOptions, discard_when_closed, set_target_timeout},
};

use super::{
    established_connections::EstablishedConnections,
    request_body::RequestBody,
    tunnel_client::{Tunnel, TunnelConnector, TunnelFailure, TunnelHolder},
};

/// Maximum wait until an idle connection is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Idle timeout of connections to targets that announce none.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// Time before the idle timeout at which a connection is no longer used, so that the target does
/// not close it under a request.
const IDLE_MARGIN_MS: u64 = 500;
/// Idle timeout of connections by way of other gateways, which end soon after a cut is over.
const TUNNEL_IDLE_MS: u64 = 1_500;
/// Timeout of a connect that is tried by way of another gateway next, or that looks whether a cut is over.
const PROBE_TIMEOUT_MS: u64 = 250;
/// Maximum number of idle connections per target.
const MAX_IDLE_PER_TARGET: usize = 32;

/// no connection is available: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub(crate) enum CheckoutError {
    /// the target's connections are all in use
    Exhausted,
    /// {0}
    Connect(ConnectFailure),
}

impl CheckoutError {
    /// Returns the name used in logs.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Exhausted => "exhausted",
            Self::Connect(failure) => failure.error.name(),
        }
    }

    /// Returns the time that the attempt to connect took.
    pub(crate) const fn took_ms(&self) -> u64 {
        match self {
            Self::Exhausted => 0,
            Self::Connect(failure) => failure.took_ms,
        }
    }

    /// Returns the outcome that is recorded for the target.
    pub(crate) const fn call_outcome(&self) -> CallOutcome {
        match self {
            Self::Exhausted => CallOutcome::Shed,
            Self::Connect(failure) if failure.is_local => CallOutcome::LocalFault,
            Self::Connect(_) => CallOutcome::NotConnected,
        }
    }
}

impl From<ConnectFailure> for CheckoutError {
    fn from(failure: ConnectFailure) -> Self {
        Self::Connect(failure)
    }
}

/// {error}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub(crate) struct ConnectFailure {
    /// Error of the connect.
    pub(crate) error: ConnectError,
    /// Time that it took.
    pub(crate) took_ms: u64,
    /// Whether this VM is the cause and not the target.
    pub(crate) is_local: bool,
}

impl std::error::Error for ConnectFailure {}

/// Connections by target.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    link: RefCell<LinkMonitor>,
    paths: RefCell<PathTable>,
    /// Targets whose failures were recorded before it was found that this VM is cut off from them.
    cut_off: RefCell<Vec<TargetName>>,
    by_target: RefCell<FastHashMap<TargetName, TargetConnections>>,
    /// Options of connections to targets that may read slowly.
    slow_peer_options: Option<SlowPeerOptions>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    open: u32,
    established: EstablishedConnections,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until_ms: u64,
}

/// The way of a connection to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPath {
    /// To the target itself.
    Direct,
    /// By way of another gateway.
    Tunnel(TunnelHolder),
}

impl ConnectionPath {
    /// Returns whether it leads by way of another gateway.
    pub(crate) const fn is_tunnel(&self) -> bool {
        matches!(self, Self::Tunnel(_))
    }
}

/// A connection to a target, used by one call at a time.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    /// Sends requests on the connection.
    pub(crate) sender: SendRequest<RequestBody>,
    /// Whether the connection has served a call before.
    pub(crate) is_reused: bool,
    /// The way that it goes.
    pub(crate) path: ConnectionPath,
    address: SocketAddrV4,
    started_at_unix_ms: u64,
    _open: OpenGuard,
}

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenGuard {
    pool: Rc<ConnectionPool>,
    target: TargetName,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        // Fails only if the pool drops a connection while its map is borrowed, which its methods
        // avoid. The connection then stays counted.
        let Ok(mut targets) = self.pool.by_target.try_borrow_mut() else {
            log::warn!(target: "pool", name = self.target.as_str(); "a connection that was dropped during pool access stays counted as open");
            return;
        };
        if let Some(pooled) = targets.get_mut(&self.target) {
            pooled.open = pooled.open.saturating_sub(1);
        }
    }
}

impl ConnectionPool {
    /// Creates an empty pool, for targets that may read slowly if `options` are given.
    pub(crate) fn new(options: Option<SlowPeerOptions>) -> Self {
        Self {
            slow_peer_options: options,
            ..Self::default()
        }
    }

    /// Returns an idle connection to the target or opens a new one.
    ///
    /// # Errors
    ///
    /// [`CheckoutError`] if there is no usable connection. No request has been sent then.
    pub(crate) async fn checkout(
        self: &Rc<Self>,
        target: &TargetEntry,
        max_open: u32,
        left_ms: u64,
        now_ms: u64,
        tunnels: &impl TunnelConnector,
    ) -> Result<TargetConnection, CheckoutError> {
        while let Some(mut connection) = self.take_idle(target, now_ms) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
        if self.open(&target.name) >= max_open {
            return Err(CheckoutError::Exhausted);
        }
        Ok(self.connect(target, left_ms, tunnels).await?)
    }

    /// Opens a connection to the target and keeps it for a later call. If this VM cannot connect to the target,
    /// another gateway is asked whether it can.
    ///
    /// # Errors
    ///
    /// [`ConnectFailure`] if the target does not accept it.
    pub(crate) async fn connect_idle(
        self: &Rc<Self>,
        target: &TargetEntry,
        now_ms: u64,
        tunnels: &impl TunnelConnector,
    ) -> Result<(), ConnectFailure> {
        let mut connection = self.connect_by_any_way(target, tunnels).await?;
        // The driver of a new connection reports it as ready once it has run.
        let _ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        self.check_in(&target.name, connection, None, now_ms);
        Ok(())
    }

    /// Opens a connection to the target, by way of another gateway if this VM cannot.
    ///
    /// # Errors
    ///
    /// [`ConnectFailure`] if the target does not accept it.
    pub(crate) async fn connect_by_any_way(
        self: &Rc<Self>,
        target: &TargetEntry,
        tunnels: &impl TunnelConnector,
    ) -> Result<TargetConnection, ConnectFailure> {
        match self.connect_directly(target, u64::MAX, true).await {
            Err(failure) if failure.error.is_of_peer() => {
                let tunnelled = self.connect_by_tunnel(target, tunnels).await;
                tunnelled.ok_or(failure)
            }
            connected => connected,
        }
    }

    /// Returns a connection to the target for a tunnel that another gateway has opened; [`None`] if it closed at once.
    pub(crate) async fn connection_of(
        self: &Rc<Self>,
        target: &TargetEntry,
        tunnel: Tunnel,
    ) -> Option<TargetConnection> {
        let open = self.count_open(target);
        let started = start_http(tunnel.stream, self.slow_peer_options).await;
        metrics::counter!("toucan_target_connections_total", "path" => "tunnel").increment(1);
        let (sender, life) = started.ok()?;
        self.record_established(target, life);
        Some(TargetConnection {
            sender,
            is_reused: false,
            path: ConnectionPath::Tunnel(tunnel.holder),
            address: target.address,
            started_at_unix_ms: target.started_at_unix_ms,
            _open: open,
        })
    }

    /// Makes a connection whose last response was read to its end available again.
    pub(crate) fn check_in(
        &self,
        target: &TargetName,
        mut connection: TargetConnection,
        keep_alive: Option<Duration>,
        now_ms: u64,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_ms = keep_alive.map_or(DEFAULT_IDLE_MS, |time| time.as_millis() as u64);
        let idle_ms = if connection.path.is_tunnel() {
            idle_ms.min(TUNNEL_IDLE_MS)
        } else {
            idle_ms
        };
        connection.is_reused = true;
        let idle = IdleConnection {
            connection,
            usable_until_ms: now_ms.saturating_add(idle_ms.saturating_sub(IDLE_MARGIN_MS)),
        };
        let surplus = {
            let mut targets = self.by_target.borrow_mut();
            let pooled = targets.entry(target.clone()).or_default();
            pooled.idle.push(idle);
            (pooled.idle.len() > MAX_IDLE_PER_TARGET).then(|| pooled.idle.remove(0))
        };
        drop(surplus);
    }

    /// Closes expired idle connections and those of targets that are no longer in use.
    pub(crate) fn sweep(&self, is_in_use: impl Fn(&TargetName) -> bool, now_ms: u64) {
        let mut closed = Vec::new();
        {
            let mut targets = self.by_target.borrow_mut();
            for (name, pooled) in targets.iter_mut() {
                let keep = is_in_use(name);
                let (stay, go): (Vec<_>, Vec<_>) = pooled.idle.drain(..).partition(|idle| {
                    keep && now_ms < idle.usable_until_ms && !idle.connection.sender.is_closed()
                });
                pooled.idle = stay;
                closed.extend(go);
            }
        }
        drop(closed);
        self.by_target
            .borrow_mut()
            .retain(|name, pooled| pooled.open > 0 || is_in_use(name));
    }

    /// Returns whether a connection is open that was established with this start of a target before `before_ms`.
    pub(crate) fn has_older_connection(&self, target: &TargetEntry, before_ms: u64) -> bool {
        let targets = self.by_target.borrow();
        let connections = targets.get(&target.name);
        connections.is_some_and(|connections| {
            let established = &connections.established;
            established.has_older(target.started_at_unix_ms, before_ms)
        })
    }

    fn record_established(&self, target: &TargetEntry, life: ConnectionLife) {
        let mut targets = self.by_target.borrow_mut();
        let established = &mut targets.entry(target.name.clone()).or_default().established;
        established.add(life, target.started_at_unix_ms, boot_time_ms());
    }

    /// Returns the number of open connections to all targets.
    pub(crate) fn total_open(&self) -> u32 {
        self.by_target.borrow().values().map(|t| t.open).sum()
    }

    /// Returns whether this VM's own link is the cause of failed connects.
    pub(crate) fn is_link_slow(&self) -> bool {
        self.link.borrow().is_local_fault()
    }

    /// Records the head of a response that arrived `took_ms` after the call was sent.
    pub(crate) fn record_response(&self, target: &TargetEntry, took_ms: u64) {
        let was_slow = self.is_link_slow();
        self.link.borrow_mut().record_response(
            &target.name,
            &target.data_centre,
            took_ms,
            boot_time_ms(),
        );
        self.log_link(was_slow);
    }

    /// Takes the targets whose failures were recorded before it was found that this VM is the cause.
    pub(crate) fn take_excused(&self) -> Vec<TargetName> {
        let mut excused = self.link.borrow_mut().take_excused();
        excused.append(&mut self.cut_off.borrow_mut());
        excused
    }

    /// Returns whether this VM reaches some targets only by way of other gateways.
    pub(crate) fn is_cut_off(&self) -> bool {
        self.paths.borrow().is_cut(boot_time_ms())
    }

    /// Returns the way to a target.
    pub(crate) fn path_to(&self, target: &TargetEntry) -> Path {
        self.paths.borrow().path_to(target, boot_time_ms())
    }

    /// Returns the targets to which connects are due that find out whether a cut is over.
    pub(crate) fn next_probes(&self) -> Vec<TargetName> {
        self.paths.borrow_mut().next_probes(boot_time_ms())
    }

    /// Forgets the ways to targets for which `is_known` returns false.
    pub(crate) fn retain_paths(&self, is_known: impl Fn(&TargetName) -> bool) {
        self.paths.borrow_mut().retain(is_known);
    }

    /// Connects to a target to record whether this VM reaches it, and closes the connection.
    pub(crate) async fn probe(&self, target: &TargetEntry) {
        let _connected = self.connect_tcp_directly(target, PROBE_TIMEOUT_MS).await;
    }

    /// Connects to a target, and not by way of another gateway. Records the result as evidence of the way to it.
    pub(crate) async fn connect_tcp_directly(
        &self,
        target: &TargetEntry,
        timeout_ms: u64,
    ) -> Result<TcpStream, ConnectFailure> {
        let began_ms = boot_time_ms();
        let timeout = Duration::from_millis(timeout_ms);
        let connected = connect_tcp(target.address, timeout, self.slow_peer_options).await;
        let connected = connected.and_then(|stream| {
            if self.slow_peer_options.is_none() {
                set_target_timeout(&stream)?;
            }
            discard_when_closed(&stream);
            Ok(stream)
        });
        let result = match &connected {
            Ok(_stream) => Some(DirectResult::Connected),
            Err(error) if error.is_of_peer() => Some(DirectResult::Failed),
            Err(_) => None,
        };
        if let Some(result) = result {
            let paths = &mut *self.paths.borrow_mut();
            let reached = paths.record_direct(target, result, boot_time_ms());
            if !reached.is_empty() {
                log::info!(target: "pool", name = target.name.as_str(), targets = reached.len(); "this VM is connected to targets directly again");
            }
        }
        self.record_connect(target, connected, began_ms)
    }

    fn record_connect<T>(
        &self,
        target: &TargetEntry,
        connected: Result<T, ConnectError>,
        began_ms: u64,
    ) -> Result<T, ConnectFailure> {
        let now_ms = boot_time_ms();
        let took_ms = now_ms.saturating_sub(began_ms);
        let result = match &connected {
            Ok(_) => Some(ConnectResult::Connected),
            Err(ConnectError::TimedOut) => Some(ConnectResult::TimedOut),
            Err(ConnectError::NoSocket(_)) => None,
            Err(_) => Some(ConnectResult::Refused),
        };
        let was_slow = self.is_link_slow();
        let is_local = result.is_none_or(|result| {
            let link = &mut *self.link.borrow_mut();
            link.record_connect(&target.name, &target.data_centre, result, took_ms, now_ms)
        });
        self.log_link(was_slow);
        connected.map_err(|error| {
            let blame = if is_local { "gateway" } else { "target" };
            metrics::counter!("toucan_failed_connects_total", "cause" => error.name(), "blame" => blame)
                .increment(1);
            ConnectFailure {
                error,
                took_ms,
                is_local,
            }
        })
    }

    fn log_link(&self, was_slow: bool) {
        match (was_slow, self.is_link_slow()) {
            (false, true) => {
                log::warn!(target: "pool", "connects are slow at most targets of all data centres, which is taken as a fault of this VM's link");
            }
            (true, false) => {
                log::info!(target: "pool", "connects are no longer slow at most targets");
            }
            _ => {}
        }
    }

    fn open(&self, target: &TargetName) -> u32 {
        self.by_target.borrow().get(target).map_or(0, |t| t.open)
    }

    /// Takes the most recently used idle connection.
    ///
    /// Closes expired ones, those to a former address or process of the target, and those that go another way than
    /// new ones.
    fn take_idle(&self, target: &TargetEntry, now_ms: u64) -> Option<TargetConnection> {
        let is_tunnelled = self.path_to(target) == Path::Tunnel;
        loop {
            let idle = self
                .by_target
                .borrow_mut()
                .get_mut(&target.name)?
                .idle
                .pop()?;
            let is_same = idle.connection.path.is_tunnel() == is_tunnelled
                && idle.connection.address == target.address
                && idle.connection.started_at_unix_ms == target.started_at_unix_ms;
            if is_same && now_ms < idle.usable_until_ms && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
    }

    /// Connects to the target by the way that is known to work, and by way of another gateway if it turns out that
    /// this VM is cut off.
    async fn connect(
        self: &Rc<Self>,
        target: &TargetEntry,
        left_ms: u64,
        tunnels: &impl TunnelConnector,
    ) -> Result<TargetConnection, ConnectFailure> {
        let path = self.path_to(target);
        if path == Path::Tunnel
            && let Some(connection) = self.connect_by_tunnel(target, tunnels).await
        {
            return Ok(connection);
        }
        let may_tunnel = path != Path::Direct && tunnels.has_tunnel();
        let failure = match self.connect_directly(target, left_ms, may_tunnel).await {
            Ok(connection) => return Ok(connection),
            Err(failure) => failure,
        };
        if path == Path::Tunnel
            || !failure.error.is_of_peer()
            || self.path_to(target) == Path::Direct
        {
            return Err(failure);
        }
        self.connect_by_tunnel(target, tunnels).await.ok_or(failure)
    }

    async fn connect_directly(
        self: &Rc<Self>,
        target: &TargetEntry,
        left_ms: u64,
        may_tunnel: bool,
    ) -> Result<TargetConnection, ConnectFailure> {
        let open = self.count_open(target);
        let timeout_ms = if may_tunnel {
            PROBE_TIMEOUT_MS
        } else {
            let link = &mut *self.link.borrow_mut();
            link.connect_timeout_ms(left_ms, boot_time_ms())
        };
        let began_ms = boot_time_ms();
        let stream = self.connect_tcp_directly(target, timeout_ms).await?;
        let started = start_http(stream, self.slow_peer_options).await;
        let (sender, life) = started.map_err(|error| ConnectFailure {
            error,
            took_ms: boot_time_ms().saturating_sub(began_ms),
            is_local: false,
        })?;
        self.record_established(target, life);
        metrics::counter!("toucan_target_connections_total", "path" => "direct").increment(1);
        Ok(TargetConnection {
            sender,
            is_reused: false,
            path: ConnectionPath::Direct,
            address: target.address,
            started_at_unix_ms: target.started_at_unix_ms,
            _open: open,
        })
    }

    /// Connects to the target by way of another gateway; [`None`] if none can help.
    async fn connect_by_tunnel(
        self: &Rc<Self>,
        target: &TargetEntry,
        tunnels: &impl TunnelConnector,
    ) -> Option<TargetConnection> {
        // Counted while it is being established, too.
        let open = self.count_open(target);
        let connected = tunnels.connect(target).await;
        let result = match &connected {
            Ok(_tunnel) => Some(TunnelResult::Connected),
            Err(TunnelFailure::TargetUnreachable) => Some(TunnelResult::Failed),
            Err(TunnelFailure::NoTunnel) => None,
        };
        if let Some(result) = result {
            self.record_tunnelled(target, result);
        }
        drop(open);
        self.connection_of(target, connected.ok()?).await
    }

    fn record_tunnelled(&self, target: &TargetEntry, result: TunnelResult) {
        let paths = &mut *self.paths.borrow_mut();
        let mut cut_off = paths.record_tunnelled(target, result, boot_time_ms());
        if !cut_off.is_empty() {
            metrics::counter!("toucan_cuts_total").increment(1);
            log::warn!(target: "pool", name = target.name.as_str(), targets = cut_off.len(); "other gateways reach targets that this VM does not, it connects to them by way of these");
            self.cut_off.borrow_mut().append(&mut cut_off);
        }
    }

    /// Counts a connection before it is established, so that concurrent calls keep the limit.
    fn count_open(self: &Rc<Self>, target: &TargetEntry) -> OpenGuard {
        self.by_target
            .borrow_mut()
            .entry(target.name.clone())
            .or_default()
            .open += 1;
        OpenGuard {
            pool: Rc::clone(self),
            target: target.name.clone(),
        }
    }
}
