//! Relay between two nodes that injects network faults.

#![allow(dead_code, reason = "each test uses a part of this module")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise this as part of a test"
)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

/// Faults and counters of a relay, shared with the test.
#[derive(Default)]
pub struct Faults {
    /// Connections opened before the last call of [`Relay::silence`] are silent.
    silent_before: AtomicU64,
    opened: AtomicU64,
    /// Delay of each chunk, in milliseconds.
    pub delay_ms: AtomicU64,
    /// Maximum size of a chunk in bytes; 0 for no limit.
    pub chunk_bytes: AtomicU64,
    /// Whether to send the next chunk from the caller twice.
    pub duplicate_next: AtomicBool,
    /// Number of chunks sent twice.
    pub duplicated: AtomicU64,
    /// Number of bytes relayed in both directions.
    pub bytes: AtomicU64,
    /// Number of chunks relayed in both directions.
    pub chunks: AtomicU64,
}

pub struct Relay {
    pub address: SocketAddr,
    pub faults: Arc<Faults>,
}

impl Relay {
    pub async fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let faults = Arc::new(Faults::default());
        tokio::spawn(accept(listener, target, Arc::clone(&faults)));
        Self { address, faults }
    }

    /// Makes all open connections permanently silent; new ones work.
    pub fn silence(&self) {
        let opened = self.faults.opened.load(Ordering::SeqCst);
        self.faults.silent_before.store(opened, Ordering::SeqCst);
    }

    pub fn opened(&self) -> u64 {
        self.faults.opened.load(Ordering::SeqCst)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    loop {
        let (near, _) = listener.accept().await.unwrap();
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        near.set_nodelay(true).unwrap();
        far.set_nodelay(true).unwrap();
        let number = faults.opened.fetch_add(1, Ordering::SeqCst);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::spawn(copy(
            near_read,
            far_write,
            Arc::clone(&faults),
            number,
            true,
        ));
        tokio::spawn(copy(
            far_read,
            near_write,
            Arc::clone(&faults),
            number,
            false,
        ));
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    faults: Arc<Faults>,
    number: u64,
    is_from_caller: bool,
) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let limit = match faults.chunk_bytes.load(Ordering::SeqCst) {
            0 => buffer.len(),
            limit => usize::try_from(limit).unwrap(),
        };
        let Ok(read @ 1..) = from.read(&mut buffer[..limit]).await else {
            break;
        };
        if number < faults.silent_before.load(Ordering::SeqCst) {
            // Reads everything, but forwards nothing and does not close the connection.
            continue;
        }
        sleep(Duration::from_millis(
            faults.delay_ms.load(Ordering::SeqCst),
        ))
        .await;
        faults.bytes.fetch_add(read as u64, Ordering::SeqCst);
        faults.chunks.fetch_add(1, Ordering::SeqCst);
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
        if is_from_caller && faults.duplicate_next.swap(false, Ordering::SeqCst) {
            faults.duplicated.fetch_add(1, Ordering::SeqCst);
            if to.write_all(&buffer[..read]).await.is_err() {
                break;
            }
        }
    }
    if number >= faults.silent_before.load(Ordering::SeqCst) {
        let _ = to.shutdown().await;
    } else {
        std::future::pending::<()>().await;
    }
}
