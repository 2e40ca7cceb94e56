//! Connections to targets, kept open between calls.

use std::{cell::RefCell, net::SocketAddrV4, rc::Rc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::timeout;
use toucan_types::{FastHashMap, TargetName};

use crate::{
    config::TargetEntry,
    http_connection::{ConnectError, connect_http},
};

/// Longest time to set up a connection. A lost first packet is sent again only after a second, so
/// waiting longer than this rarely helps.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait until a connection whose answer was read takes the next call.
const READY_TIMEOUT: Duration = Duration::from_millis(20);
/// Idle time after which a connection is not used again, unless the target allows another time.
const IDLE_MS: u64 = 4_000;
/// Time by which an idle connection is given up before the target closes it.
const IDLE_MARGIN_MS: u64 = 500;
/// Idle connections kept for one target.
const MOST_IDLE: usize = 32;

/// a connection cannot be had: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub(crate) enum CheckoutError {
    /// the target's connections are all in use
    Exhausted,
    /// {0}
    Connect(ConnectError),
}

impl From<ConnectError> for CheckoutError {
    fn from(error: ConnectError) -> Self {
        Self::Connect(error)
    }
}

/// Connections by target and start of the target.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    by_target: RefCell<FastHashMap<TargetName, PooledTarget>>,
}

#[derive(Debug, Default)]
struct PooledTarget {
    idle: Vec<IdleConnection>,
    open: u32,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    usable_until_ms: u64,
}

/// One connection, used by one call at a time.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    /// Sends the call.
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it served a call before.
    pub(crate) is_reused: bool,
    address: SocketAddrV4,
    started_at_unix_ms: u64,
    _open: OpenCount,
}

/// Counts a connection as open while it lives.
#[derive(Debug)]
struct OpenCount {
    pool: Rc<TargetPool>,
    target: TargetName,
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        // A connection that the pool itself drops is counted by the one who drops it.
        let Ok(mut targets) = self.pool.by_target.try_borrow_mut() else {
            log::warn!(target: "pool", name = self.target.as_str(); "a connection was dropped while the pool was in use");
            return;
        };
        if let Some(pooled) = targets.get_mut(&self.target) {
            pooled.open = pooled.open.saturating_sub(1);
        }
    }
}

impl TargetPool {
    /// A connection to the target, an idle one if there is one.
    ///
    /// # Errors
    ///
    /// [`CheckoutError`] if none can be had; nothing was sent to the target then.
    pub(crate) async fn checkout(
        self: &Rc<Self>,
        target: &TargetEntry,
        most_open: u32,
        now_ms: u64,
    ) -> Result<TargetConnection, CheckoutError> {
        while let Some(mut connection) = self.take_idle(target, now_ms) {
            if let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await {
                return Ok(connection);
            }
        }
        if self.open(&target.name) >= most_open {
            return Err(CheckoutError::Exhausted);
        }
        self.connect(target).await
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn put_back(
        &self,
        target: &TargetName,
        mut connection: TargetConnection,
        keep_alive: Option<Duration>,
        now_ms: u64,
    ) {
        if connection.sender.is_closed() {
            return;
        }
        let idle_ms = keep_alive.map_or(IDLE_MS, |time| time.as_millis() as u64);
        connection.is_reused = true;
        let idle = IdleConnection {
            connection,
            usable_until_ms: now_ms + idle_ms.saturating_sub(IDLE_MARGIN_MS),
        };
        let surplus = {
            let mut targets = self.by_target.borrow_mut();
            let pooled = targets.entry(target.clone()).or_default();
            pooled.idle.push(idle);
            (pooled.idle.len() > MOST_IDLE).then(|| pooled.idle.remove(0))
        };
        drop(surplus);
    }

    /// Closes idle connections that are too old, and those of targets that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&TargetName) -> bool, now_ms: u64) {
        let mut closed = Vec::new();
        {
            let mut targets = self.by_target.borrow_mut();
            for (name, pooled) in targets.iter_mut() {
                let keep = is_known(name);
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
            .retain(|name, pooled| pooled.open > 0 || is_known(name));
    }

    /// Connections open to all targets.
    pub(crate) fn open_in_all(&self) -> u32 {
        self.by_target.borrow().values().map(|t| t.open).sum()
    }

    fn open(&self, target: &TargetName) -> u32 {
        self.by_target.borrow().get(target).map_or(0, |t| t.open)
    }

    /// The idle connection used last; connections of a former start or address are dropped.
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
    ) -> Result<TargetConnection, CheckoutError> {
        // Counted from here on, so that calls which connect at the same time keep the limit.
        self.by_target
            .borrow_mut()
            .entry(target.name.clone())
            .or_default()
            .open += 1;
        let open = OpenCount {
            pool: Rc::clone(self),
            target: target.name.clone(),
        };
        let sender = connect_http(target.address, CONNECT_TIMEOUT).await?;
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
