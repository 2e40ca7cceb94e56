//! Answers the peers of a node.

use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::{Duration, sleep, timeout};
use tokio_rustls::TlsAcceptor;

use crate::server_connection::{Proof, ServerShared, serve};
use crate::{PeerHandler, PeerServerSettings, Refusal, RefusalCounts, Tls};

/// Delay after a failed accept, such as for want of file handles, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 50;

/// Answers the peers of a node on its peer port.
///
/// The port is bound without sharing it: while one process has it, no other of the same VM can get
/// it. A process that has bound it is proof that earlier ones of the VM have ended.
pub struct PeerServer<H: PeerHandler> {
    address: SocketAddr,
    shared: Arc<ServerShared<H>>,
    stop: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Binds the peer port and starts to answer; needs a running `tokio` runtime.
    ///
    /// Without `tls` anybody may call, which is for tests on one machine.
    ///
    /// # Errors
    ///
    /// The error of the bind: with [`io::ErrorKind::AddrInUse`] another process of the VM lives.
    pub fn bind(
        address: SocketAddr,
        tls: Option<Arc<Tls>>,
        settings: PeerServerSettings,
        handler: H,
    ) -> io::Result<Self> {
        Self::from_listener(StdTcpListener::bind(address)?, tls, settings, handler)
    }

    /// Starts to answer on a port that is bound already; needs a running `tokio` runtime.
    ///
    /// # Errors
    ///
    /// Those of handing the listener to the runtime.
    pub fn from_listener(
        listener: StdTcpListener,
        tls: Option<Arc<Tls>>,
        settings: PeerServerSettings,
        handler: H,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(ServerShared {
            settings,
            handler,
            refusals: RefusalCounts::default(),
            tls,
        });
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared), stopped));
        Ok(Self {
            address,
            shared,
            stop,
            accepting,
        })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// How often peers were refused.
    #[must_use]
    pub fn refusals(&self) -> &RefusalCounts {
        &self.shared.refusals
    }

    /// Closes the port and lets the requests in progress end.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl<H: PeerHandler> Drop for PeerServer<H> {
    fn drop(&mut self) {
        self.stop();
        self.accepting.abort();
    }
}

async fn accept<H: PeerHandler>(
    listener: TcpListener,
    shared: Arc<ServerShared<H>>,
    mut stopped: watch::Receiver<bool>,
) {
    let places = Arc::new(Semaphore::new(shared.settings.connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((socket, _)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            shared.refusals.note(Refusal::TooMany);
            continue;
        };
        tokio::spawn(connect(Arc::clone(&shared), socket, stopped.clone(), place));
    }
}

async fn connect<H: PeerHandler>(
    shared: Arc<ServerShared<H>>,
    socket: TcpStream,
    stopped: watch::Receiver<bool>,
    _place: OwnedSemaphorePermit,
) {
    // Only costs latency where it cannot be set.
    let _ = socket.set_nodelay(true);
    let Some(tls) = shared.tls.clone() else {
        serve(shared, socket, Proof::Plain, stopped).await;
        return;
    };
    let configs = tls.current();
    let acceptor = TlsAcceptor::from(Arc::clone(&configs.server));
    let limit = Duration::from_millis(shared.settings.handshake_ms);
    let stream = match timeout(limit, acceptor.accept(socket)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            shared.refusals.note(Refusal::of_error(&error));
            return;
        }
        Err(_) => {
            shared.refusals.note(Refusal::Handshake);
            return;
        }
    };
    let (_, session) = stream.get_ref();
    let certificate = session.peer_certificates().and_then(|chain| chain.first());
    let Some(certificate) = certificate.cloned() else {
        shared.refusals.note(Refusal::NoCertificate);
        return;
    };
    let proof = Proof::Certificate {
        certificate: certificate.into_owned(),
        generation: configs.generation,
    };
    serve(shared, stream, proof, stopped).await;
}
