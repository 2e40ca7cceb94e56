//! Pool of connections to targets.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;
use toucan_types::{FastHashMap, TargetName};

use crate::{
    clock::boot_time_ms,
    config::TargetEntry,
    http_connection::{ConnectError, connect_http_with},
    overload::{ConnectResult, LinkMonitor},
    placement::CallOutcome,
    socket_options::SlowPeerOptions,
};

/// Maximum wait until an idle connection is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Idle timeout of connections to targets that announce none.
const DEFAULT_IDLE_MS: u64 = 4_000;
/// Time before the idle timeout at which a connection is no longer used, so that the target does
/// not close it under a request.
const IDLE_MARGIN_MS: u64 = 500;
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
    by_target: RefCell<FastHashMap<TargetName, TargetConnections>>,
    /// Options of connections to targets that may read slowly.
    slow_peer_options: Option<SlowPeerOptions>,
}

#[derive(Debug, Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    open: u32,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until_ms: u64,
}

/// A connection to a target, used by one call at a time.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    /// Sends requests on the connection.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection has served a call before.
    pub(crate) is_reused: bool,
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
    ) -> Result<TargetConnection, CheckoutError> {
        while let Some(mut connection) = self.take_idle(target, now_ms) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
        if self.open(&target.name) >= max_open {
            return Err(CheckoutError::Exhausted);
        }
        Ok(self.connect(target, left_ms).await?)
    }

    /// Opens a connection to the target and keeps it for a later call.
    ///
    /// # Errors
    ///
    /// [`ConnectFailure`] if the target does not accept it.
    pub(crate) async fn connect_idle(
        self: &Rc<Self>,
        target: &TargetEntry,
        now_ms: u64,
    ) -> Result<(), ConnectFailure> {
        let mut connection = self.connect(target, u64::MAX).await?;
        // The driver of a new connection reports it as ready once it has run.
        let _ready = timeout(READY_TIMEOUT, connection.sender.ready()).await;
        self.check_in(&target.name, connection, None, now_ms);
        Ok(())
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
        self.link.borrow_mut().take_excused()
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
    /// Closes expired ones and those to a former address or process of the target.
    fn take_idle(&self, target: &TargetEntry, now_ms: u64) -> Option<TargetConnection> {
        loop {
            let idle = self
                .by_target
                .borrow_mut()
                .get_mut(&target.name)?
                .idle
                .pop()?;
            let is_same = idle.connection.address == target.address
                && idle.connection.started_at_unix_ms == target.started_at_unix_ms;
            if is_same && now_ms < idle.usable_until_ms && !idle.connection.sender.is_closed() {
                return Some(idle.connection);
            }
        }
    }

    async fn connect(
        self: &Rc<Self>,
        target: &TargetEntry,
        left_ms: u64,
    ) -> Result<TargetConnection, ConnectFailure> {
        // Count the connection before it is established, so that concurrent calls keep the limit.
        self.by_target
            .borrow_mut()
            .entry(target.name.clone())
            .or_default()
            .open += 1;
        let open = OpenGuard {
            pool: Rc::clone(self),
            target: target.name.clone(),
        };
        let began_ms = boot_time_ms();
        let timeout_ms = {
            let link = &mut *self.link.borrow_mut();
            link.connect_timeout_ms(left_ms, began_ms)
        };
        let timeout = Duration::from_millis(timeout_ms);
        let connected = connect_http_with(target.address, timeout, self.slow_peer_options).await;
        let sender = self.record_connect(target, connected, began_ms)?;
        metrics::counter!("toucan_target_connections_total").increment(1);
        Ok(TargetConnection {
            sender,
            is_reused: false,
            address: target.address,
            started_at_unix_ms: target.started_at_unix_ms,
            _open: open,
        })
    }
}
