//! Server for requests from peers.

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

/// Delay after a failed accept, for example when no file descriptors are left, in milliseconds.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;

/// Server for requests from peers on the peer port of a node.
///
/// The port is bound exclusively: while one process holds it, no other process of the same VM can
/// bind it. A process that holds it has proof that earlier processes of the VM have ended.
pub struct PeerServer<H: PeerHandler> {
    address: SocketAddr,
    shared: Arc<ServerShared<H>>,
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl<H: PeerHandler> PeerServer<H> {
    /// Binds the peer port and starts to serve; needs a running `tokio` runtime.
    ///
    /// Without `tls` peers are not verified; this is only for tests on one machine.
    ///
    /// # Errors
    ///
    /// The error of the bind; [`io::ErrorKind::AddrInUse`] if another process of the VM holds the
    /// port.
    pub fn bind(
        address: SocketAddr,
        tls: Option<Arc<Tls>>,
        settings: PeerServerSettings,
        handler: H,
    ) -> io::Result<Self> {
        Self::from_listener(StdTcpListener::bind(address)?, tls, settings, handler)
    }

    /// Starts to serve on a listener that is already bound; needs a running `tokio` runtime.
    ///
    /// # Errors
    ///
    /// The error of registering the listener with the runtime.
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
        let accept_task = tokio::spawn(accept(listener, Arc::clone(&shared), stopped));
        Ok(Self {
            address,
            shared,
            stop,
            accept_task,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often peers were refused, by reason.
    #[must_use]
    pub fn refusals(&self) -> &RefusalCounts {
        &self.shared.refusals
    }

    /// Closes the port and lets requests in flight complete.
    pub fn stop(&self) {
        self.stop.send_replace(true);
    }
}

impl<H: PeerHandler> Drop for PeerServer<H> {
    fn drop(&mut self) {
        self.stop();
        self.accept_task.abort();
    }
}

async fn accept<H: PeerHandler>(
    listener: TcpListener,
    shared: Arc<ServerShared<H>>,
    mut stopped: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(shared.settings.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((socket, _)) = accepted else {
            sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.refusals.record(Refusal::TooManyConnections);
            continue;
        };
        tokio::spawn(accept_handshake(
            Arc::clone(&shared),
            socket,
            stopped.clone(),
            permit,
        ));
    }
}

async fn accept_handshake<H: PeerHandler>(
    shared: Arc<ServerShared<H>>,
    socket: TcpStream,
    stopped: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    // A failure to set it only costs latency.
    let _ = socket.set_nodelay(true);
    let Some(tls) = shared.tls.clone() else {
        serve(shared, socket, Proof::Unverified, stopped).await;
        return;
    };
    let configs = tls.current();
    let acceptor = TlsAcceptor::from(Arc::clone(&configs.server));
    let limit = Duration::from_millis(shared.settings.handshake_timeout_ms);
    let stream = match timeout(limit, acceptor.accept(socket)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            shared.refusals.record(Refusal::of_error(&error));
            return;
        }
        Err(_) => {
            shared.refusals.record(Refusal::Handshake);
            return;
        }
    };
    let (_, session) = stream.get_ref();
    let certificate = session.peer_certificates().and_then(|chain| chain.first());
    let Some(certificate) = certificate.cloned() else {
        shared.refusals.record(Refusal::NoCertificate);
        return;
    };
    let proof = Proof::Certificate {
        certificate: certificate.into_owned(),
        generation: configs.generation,
    };
    serve(shared, stream, proof, stopped).await;
}
