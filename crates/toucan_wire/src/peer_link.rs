//! Link to one peer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use bytes::Bytes;
use h2::Reason;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::Mutex;
use tokio::time::{Duration, Instant, timeout};
use toucan_router::Backoff;

use crate::client_connection::{ClientConnection, ConnectionStatus};
use crate::transport::{HEADER_DATA_CENTRE, HEADER_FRAME_VERSION, HEADER_VM, PATH, read_body};
use crate::{
    LinkError, LinkSettings, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION, PeerIdentity, PeerTarget,
    Reply, Request, Tls, decode_reply, encode_request,
};

/// Link to one peer.
///
/// Uses one connection at a time and replaces it when it is closed or silent. Each request has its
/// own HTTP/2 stream, so a slow reply does not block others.
pub struct PeerLink {
    peer: PeerTarget,
    headers: HeaderMap,
    tls: Option<Arc<Tls>>,
    settings: LinkSettings,
    current: RwLock<Option<Arc<ClientConnection>>>,
    connecting: Mutex<ConnectState>,
    frame_version: AtomicU64,
    connections: AtomicU64,
    silent_connections: AtomicU64,
}

struct ConnectState {
    backoff: Backoff,
    next_attempt_at: Instant,
}

/// Counters and status of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections opened.
    pub connections: u64,
    /// Connections closed because they were silent.
    pub silent_connections: u64,
    /// Version of frames sent to the peer.
    pub frame_version: u8,
    /// Whether a connection is open.
    pub is_connected: bool,
}

impl PeerLink {
    /// Creates a link that connects when it is first used.
    #[must_use]
    pub fn new(
        peer: PeerTarget,
        local: &PeerIdentity,
        tls: Option<Arc<Tls>>,
        settings: LinkSettings,
    ) -> Self {
        let connecting = ConnectState {
            backoff: Backoff::new(settings.initial_backoff_ms, settings.max_backoff_ms),
            next_attempt_at: Instant::now(),
        };
        Self {
            peer,
            headers: identity_headers(local),
            tls,
            settings,
            current: RwLock::default(),
            connecting: Mutex::new(connecting),
            frame_version: AtomicU64::new(NEWEST_FRAME_VERSION.into()),
            connections: AtomicU64::default(),
            silent_connections: AtomicU64::default(),
        }
    }

    /// Returns the peer.
    #[must_use]
    pub const fn peer(&self) -> &PeerTarget {
        &self.peer
    }

    /// Returns the counters and status.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            connections: self.connections.load(Ordering::Relaxed),
            silent_connections: self.silent_connections.load(Ordering::Relaxed),
            frame_version: self.version(),
            is_connected: self.open_connection().is_some(),
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// If the peer supports only an older frame version, the request is sent again in that version.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; [`LinkError::is_not_sent`] tells whether the peer has certainly not acted on
    /// the request.
    pub async fn request(&self, request: &Request) -> Result<Reply, LinkError> {
        loop {
            let version = self.version();
            let frame = encode_request(request, version).map_err(LinkError::Request)?;
            let response = self.exchange(frame).await?;
            if response.status == StatusCode::OK {
                return decode_reply(&response.body).map_err(LinkError::Reply);
            }
            if let Some(version) = response.older_version(version) {
                self.frame_version.store(version.into(), Ordering::Relaxed);
                continue;
            }
            return Err(LinkError::Refused {
                status: response.status.as_u16(),
                reason: String::from_utf8_lossy(&response.body).into_owned(),
            });
        }
    }

    /// Sends a request and discards its reply.
    ///
    /// # Errors
    ///
    /// As [`Self::request`].
    pub async fn notify(&self, request: &Request) -> Result<(), LinkError> {
        self.request(request).await.map(drop)
    }

    fn version(&self) -> u8 {
        u8::try_from(self.frame_version.load(Ordering::Relaxed)).unwrap_or(NEWEST_FRAME_VERSION)
    }

    async fn exchange(&self, frame: Bytes) -> Result<PeerResponse, LinkError> {
        let connection = self.connect_with_timeout().await?;
        let outcome = self.exchange_over(&connection, frame.clone()).await;
        let Err(LinkError::NotConnected { .. }) = outcome else {
            return outcome;
        };
        // The peer closed the connection before it processed the request, so a retry is safe.
        self.discard(&connection);
        let connection = self.connect_with_timeout().await?;
        self.exchange_over(&connection, frame).await
    }

    async fn connect_with_timeout(&self) -> Result<Arc<ClientConnection>, LinkError> {
        let limit = Duration::from_millis(self.settings.connect_timeout_ms);
        timeout(limit, self.connection()).await.unwrap_or_else(|_| {
            Err(LinkError::NotConnected {
                reason: "connecting timed out".to_owned(),
            })
        })
    }

    async fn exchange_over(
        &self,
        connection: &Arc<ClientConnection>,
        frame: Bytes,
    ) -> Result<PeerResponse, LinkError> {
        let _pending = connection.pending_replies.add();
        let mut status = connection.status.clone();
        let limit = Duration::from_millis(self.settings.reply_timeout_ms);
        let outcome = tokio::select! {
            response = timeout(limit, self.call(connection, frame)) => {
                response.unwrap_or(Err(LinkError::TimedOut))
            }
            Ok(_) = status.wait_for(|status| *status == ConnectionStatus::Silent) => {
                Err(LinkError::Silent)
            }
        };
        if outcome.is_err() && *connection.status.borrow() == ConnectionStatus::Silent {
            if self.discard(connection) {
                self.silent_connections.fetch_add(1, Ordering::Relaxed);
            }
            return Err(LinkError::Silent);
        }
        outcome
    }

    async fn call(
        &self,
        connection: &ClientConnection,
        frame: Bytes,
    ) -> Result<PeerResponse, LinkError> {
        let mut sender = connection
            .sender
            .clone()
            .ready()
            .await
            .map_err(|error| not_connected(&error))?;
        let mut head = http::Request::post(PATH)
            .body(())
            .expect("the path is fixed");
        head.headers_mut().clone_from(&self.headers);
        let (response, mut stream) = sender
            .send_request(head, false)
            .map_err(|error| not_connected(&error))?;
        stream
            .send_data(frame, true)
            .map_err(|_| LinkError::Broken)?;
        let response = response.await.map_err(|error| response_error(&error))?;
        let (head, body) = response.into_parts();
        let body = read_body(body).await.map_err(|_| LinkError::Broken)?;
        Ok(PeerResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn open_connection(&self) -> Option<Arc<ClientConnection>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        let generation = self.tls.as_ref().map_or(0, |tls| tls.generation());
        current
            .as_ref()
            .filter(|current| current.is_open() && current.generation == generation)
            .map(Arc::clone)
    }

    async fn connection(&self) -> Result<Arc<ClientConnection>, LinkError> {
        if let Some(current) = self.open_connection() {
            return Ok(current);
        }
        let mut connecting = self.connecting.lock().await;
        if let Some(current) = self.open_connection() {
            return Ok(current);
        }
        if Instant::now() < connecting.next_attempt_at {
            return Err(LinkError::NotConnected {
                reason: "in backoff after a failed attempt".to_owned(),
            });
        }
        // Set before the attempt, because the attempt is cancelled when it times out.
        let delay_ms = connecting.backoff.next_delay_ms(&mut rand::rng());
        connecting.next_attempt_at = Instant::now() + Duration::from_millis(delay_ms);
        let opened =
            ClientConnection::open(&self.peer, self.tls.as_deref(), &self.settings).await?;
        connecting.backoff.reset();
        connecting.next_attempt_at = Instant::now();
        self.connections.fetch_add(1, Ordering::Relaxed);
        let opened = Arc::new(opened);
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        *current = Some(Arc::clone(&opened));
        Ok(opened)
    }

    /// Discards a connection and returns whether it was still the current one, which is true for
    /// only one of the requests that find it unusable.
    fn discard(&self, connection: &Arc<ClientConnection>) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let is_current = current
            .as_ref()
            .is_some_and(|current| Arc::ptr_eq(current, connection));
        if is_current {
            *current = None;
        }
        is_current
    }
}

struct PeerResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl PeerResponse {
    /// Returns the version to try next if the peer does not support the newer version `tried`.
    fn older_version(&self, tried: u8) -> Option<u8> {
        if self.status != StatusCode::HTTP_VERSION_NOT_SUPPORTED {
            return None;
        }
        let newest = self.headers.get(HEADER_FRAME_VERSION)?;
        let newest: u8 = newest.to_str().ok()?.parse().ok()?;
        (OLDEST_FRAME_VERSION..tried)
            .contains(&newest)
            .then_some(newest)
    }
}

fn identity_headers(local: &PeerIdentity) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let names = [
        (HEADER_VM, local.vm.as_str()),
        (HEADER_DATA_CENTRE, local.data_centre.as_str()),
    ];
    for (name, value) in names {
        // A name that is not a valid header value is left out, and the peer refuses the request.
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    headers
}

fn not_connected(error: &h2::Error) -> LinkError {
    let reason = error.to_string();
    LinkError::NotConnected { reason }
}

fn response_error(error: &h2::Error) -> LinkError {
    // HTTP/2 guarantees that the peer has not processed a stream refused in this way.
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        return not_connected(error);
    }
    LinkError::Broken
}
