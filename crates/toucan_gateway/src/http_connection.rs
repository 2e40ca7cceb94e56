//! Client connections for HTTP/1.

use std::{io::ErrorKind, net::SocketAddrV4, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http_body::Body;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::{
    connection_life::ConnectionLife,
    socket_options::{SlowPeerOptions, set_liveness_options},
};

/// Maximum size of the head of a response, and of what is read ahead of its body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of a head and of what is read ahead, for a peer that may read slowly and whose memory is
/// counted.
const MAX_SLOW_HEAD_BYTES: usize = 16 * 1024;

/// a connection cannot be set up: {0}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum ConnectError {
    /// the peer did not accept it in time
    TimedOut,
    /// this process cannot open a socket: {0}
    NoSocket(String),
    /// the peer refused it
    Refused,
    /// the peer reset it
    Reset,
    /// {0}
    Failed(String),
}

impl ConnectError {
    /// Returns whether the peer or the network is the cause, and not this process.
    #[must_use]
    pub const fn is_of_peer(&self) -> bool {
        !matches!(self, Self::NoSocket(_))
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::TimedOut => "timed_out",
            Self::NoSocket(_) => "no_socket",
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::Failed(_) => "failed",
        }
    }
}

impl std::error::Error for ConnectError {}

impl From<std::io::Error> for ConnectError {
    fn from(error: std::io::Error) -> Self {
        match error.kind() {
            // All local ports are in use.
            ErrorKind::AddrNotAvailable => Self::NoSocket(error.to_string()),
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::ConnectionReset => Self::Reset,
            ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Failed(error.to_string()),
        }
    }
}

impl From<hyper::Error> for ConnectError {
    fn from(error: hyper::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

/// Connects to an address and spawns a local task that drives the connection until it closes.
///
/// # Errors
///
/// [`ConnectError`] if the connection fails or is not established within the timeout.
pub async fn connect_http(
    address: SocketAddrV4,
    connect_timeout: Duration,
) -> Result<SendRequest<Full<Bytes>>, ConnectError> {
    let stream = connect_tcp(address, connect_timeout, None).await?;
    let (sender, _life) = start_http(stream, None).await?;
    Ok(sender)
}

/// Connects to an address, with `options` if the peer may read slowly.
///
/// # Errors
///
/// [`ConnectError`] if the connection fails or is not established within the timeout.
pub(crate) async fn connect_tcp(
    address: SocketAddrV4,
    connect_timeout: Duration,
    options: Option<SlowPeerOptions>,
) -> Result<TcpStream, ConnectError> {
    let socket = TcpSocket::new_v4().map_err(|error| ConnectError::NoSocket(error.to_string()))?;
    set_liveness_options(&socket)?;
    if let Some(options) = options {
        options.apply(&socket)?;
    }
    let Ok(connected) = timeout(connect_timeout, socket.connect(address.into())).await else {
        return Err(ConnectError::TimedOut);
    };
    Ok(connected?)
}

/// Spawns a local task that drives HTTP/1 on a connection until it closes. The peer may read slowly if there are
/// `options`.
///
/// # Errors
///
/// [`ConnectError`] if the connection closes at once.
pub(crate) async fn start_http<B>(
    stream: TcpStream,
    options: Option<SlowPeerOptions>,
) -> Result<(SendRequest<B>, ConnectionLife), ConnectError>
where
    B: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static,
{
    let mut builder = http1::Builder::new();
    if options.is_some() {
        builder.read_buf_exact_size(Some(MAX_SLOW_HEAD_BYTES));
    } else {
        builder.max_buf_size(MAX_HEAD_BYTES);
    }
    let (sender, connection) = builder.handshake::<_, B>(TokioIo::new(stream)).await?;
    let life = ConnectionLife::open();
    let driven_life = life.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "pool", error:% = error; "a connection ended");
        }
        driven_life.end();
    });
    Ok((sender, life))
}
