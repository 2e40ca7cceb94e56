//! TCP relay with fault injection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{fmt, io};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a relay's read buffer, in bytes.
const RELAY_BUFFER_BYTES: usize = 16 * 1024;

/// State of a link, which decides what happens to connections and data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Forwards data both ways.
    #[default]
    Open,
    /// Forwards nothing, on old and new connections; data waits until the link is open again, as
    /// TCP retransmits it after packet loss.
    Blocked,
    /// Closes old connections, and new ones right after they are accepted.
    Refusing,
}

struct Shared {
    target: Mutex<SocketAddr>,
    state: watch::Sender<LinkState>,
    delay_ms: AtomicU64,
    /// Number of the last connection that is silent for good, together with all before it.
    last_silenced: watch::Sender<u64>,
    connections: AtomicU64,
    bytes: AtomicU64,
}

/// A TCP relay from its own loopback port to a target address.
#[derive(Clone)]
pub struct Link {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Link {
    /// Starts a relay to a target, on a port that the system chooses.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_on(0, target).await
    }

    /// Starts a relay on a given port; 0 lets the system choose one.
    pub async fn start_on(port: u16, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", port)).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(target),
            state: watch::Sender::new(LinkState::Open),
            delay_ms: AtomicU64::new(0),
            last_silenced: watch::Sender::new(0),
            connections: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { shared, address })
    }

    /// Returns the address on which the relay accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the target of connections that are forwarded from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target() = target;
    }

    /// Sets the state, for old and new connections.
    pub fn set_state(&self, state: LinkState) {
        self.shared.state.send_replace(state);
    }

    /// Returns the state.
    pub fn state(&self) -> LinkState {
        *self.shared.state.borrow()
    }

    /// Sets the delay of each forwarded piece of data, in each direction, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Makes all existing connections silent for good: they stay open but forward nothing. New
    /// connections work.
    pub fn silence_connections(&self) {
        let connections = self.shared.connections.load(Ordering::Relaxed);
        self.shared.last_silenced.send_replace(connections);
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns the bytes forwarded so far, in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

impl fmt::Debug for Link {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Link")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Shared {
    fn target(&self) -> MutexGuard<'_, SocketAddr> {
        self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((inbound, _)) = listener.accept().await else {
            continue;
        };
        if *shared.state.borrow() == LinkState::Refusing {
            continue;
        }
        let number = shared.connections.fetch_add(1, Ordering::Relaxed) + 1;
        tokio::spawn(relay(inbound, number, Arc::clone(&shared)));
    }
}

async fn relay(inbound: TcpStream, number: u64, shared: Arc<Shared>) {
    let mut state = shared.state.subscribe();
    let forwarding = async {
        // A connection accepted while the link is blocked is forwarded once it is open.
        shared.wait_until_open(number).await;
        let target = *shared.target();
        let Ok(outbound) = TcpStream::connect(target).await else {
            return;
        };
        let _ = inbound.set_nodelay(true);
        let _ = outbound.set_nodelay(true);
        let (inbound_read, inbound_write) = inbound.into_split();
        let (outbound_read, outbound_write) = outbound.into_split();
        tokio::join!(
            shared.forward(number, inbound_read, outbound_write),
            shared.forward(number, outbound_read, inbound_write),
        );
    };
    let refused = state.wait_for(|state| *state == LinkState::Refusing);
    tokio::select! {
        () = forwarding => {}
        _ = refused => {}
    }
}

impl Shared {
    async fn wait_until_open(&self, number: u64) {
        let mut silenced = self.last_silenced.subscribe();
        if *silenced.borrow_and_update() >= number {
            std::future::pending::<()>().await;
        }
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| *state == LinkState::Open).await;
    }

    async fn forward(&self, number: u64, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; RELAY_BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            self.wait_until_open(number).await;
            let delay_ms = self.delay_ms.load(Ordering::Relaxed);
            if delay_ms > 0 {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                break;
            }
            self.bytes.fetch_add(count as u64, Ordering::Relaxed);
        }
        let _ = to.shutdown().await;
    }
}
