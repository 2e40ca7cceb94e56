//! Client side of one connection to a peer.

use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio_rustls::TlsConnector;

use crate::keep_alive::{PendingReplies, watch_for_silence};
use crate::watched_io::WatchedIo;
use crate::{LinkError, LinkSettings, PeerTarget, Tls};

/// Status of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionStatus {
    /// Usable.
    Open,
    /// Closed or broken.
    Broken,
    /// Closed by this side because it was silent.
    Silent,
}

/// Client side of one connection to a peer.
pub(crate) struct ClientConnection {
    pub(crate) sender: SendRequest<Bytes>,
    pub(crate) pending_replies: PendingReplies,
    pub(crate) status: watch::Receiver<ConnectionStatus>,
    /// Generation of the TLS keys it was opened with.
    pub(crate) generation: u64,
    driver: AbortHandle,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ClientConnection {
    /// Returns whether requests can be sent on it.
    pub(crate) fn is_open(&self) -> bool {
        *self.status.borrow() == ConnectionStatus::Open
    }

    /// Connects, performs the TLS handshake and waits for the reply to a first ping.
    pub(crate) async fn open(
        peer: &PeerTarget,
        tls: Option<&Tls>,
        settings: &LinkSettings,
    ) -> Result<Self, LinkError> {
        let socket = TcpStream::connect(peer.address)
            .await
            .map_err(|error| not_connected(&error))?;
        // A failure to set it only costs latency.
        let _ = socket.set_nodelay(true);
        let Some(tls) = tls else {
            return Self::start(socket, 0, settings).await;
        };
        let configs = tls.current();
        let name = peer.identity.server_name().map_err(LinkError::Name)?;
        let stream = TlsConnector::from(configs.client.clone())
            .connect(name, socket)
            .await
            .map_err(|error| connect_error(&error))?;
        Self::start(stream, configs.generation, settings).await
    }

    async fn start<T>(io: T, generation: u64, settings: &LinkSettings) -> Result<Self, LinkError>
    where
        T: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let (io, last_read) = WatchedIo::new(io);
        let (sender, mut connection) = h2::client::handshake(io)
            .await
            .map_err(|error| h2_connect_error(&error))?;
        let mut ping_pong = connection
            .ping_pong()
            .expect("the ping handle is taken only here");
        first_ping(&mut connection, &mut ping_pong).await?;
        let pending_replies = PendingReplies::default();
        let (status_sender, status) = watch::channel(ConnectionStatus::Open);
        let silence = watch_for_silence(
            ping_pong,
            last_read,
            pending_replies.clone(),
            settings.clone(),
        );
        let driver = tokio::spawn(drive(connection, silence, status_sender)).abort_handle();
        Ok(Self {
            sender,
            pending_replies,
            status,
            generation,
            driver,
        })
    }
}

/// Waits until the peer has replied to a ping.
///
/// In TLS 1.3 the client's handshake completes before the server has verified the client's
/// certificate, so only a reply shows that the server accepted the connection.
async fn first_ping<T>(
    connection: &mut Connection<T>,
    ping_pong: &mut PingPong,
) -> Result<(), LinkError>
where
    T: AsyncRead + AsyncWrite + Unpin,
{
    tokio::select! {
        ended = connection => match ended {
            Ok(()) => Err(LinkError::NotConnected {
                reason: "the peer closed the connection".to_owned(),
            }),
            Err(error) => Err(h2_connect_error(&error)),
        },
        pong = ping_pong.ping(Ping::opaque()) => match pong {
            Ok(_) => Ok(()),
            Err(error) => Err(h2_connect_error(&error)),
        },
    }
}

async fn drive<T>(
    connection: Connection<T>,
    silence: impl Future<Output = ()>,
    status_sender: watch::Sender<ConnectionStatus>,
) where
    T: AsyncRead + AsyncWrite + Unpin,
{
    // Kept until the status is published, because dropping it wakes the requests that wait on it.
    let mut connection = std::pin::pin!(connection);
    let status = tokio::select! {
        _ = &mut connection => ConnectionStatus::Broken,
        () = silence => ConnectionStatus::Silent,
    };
    if status == ConnectionStatus::Silent {
        metrics::counter!("toucan_peer_links_silent_total").increment(1);
    }
    status_sender.send_replace(status);
}

fn not_connected(error: &impl std::error::Error) -> LinkError {
    let reason = error.to_string();
    LinkError::NotConnected { reason }
}

fn connect_error(error: &std::io::Error) -> LinkError {
    // TLS errors all have this kind; h2 exposes nothing else of them.
    if error.kind() == std::io::ErrorKind::InvalidData {
        let reason = error.to_string();
        return LinkError::Untrusted { reason };
    }
    not_connected(error)
}

fn h2_connect_error(error: &h2::Error) -> LinkError {
    if let Some(error) = error.get_io() {
        return connect_error(error);
    }
    not_connected(error)
}
