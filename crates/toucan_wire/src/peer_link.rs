//! A link to one peer, over one connection at a time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use bytes::Bytes;
use h2::Reason;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::sync::Mutex;
use tokio::time::{Duration, Instant, timeout};
use toucan_router::Backoff;

use crate::live_connection::{Ended, LiveConnection};
use crate::transport::{HEADER_DATA_CENTRE, HEADER_FRAME_VERSION, HEADER_VM, PATH, read_body};
use crate::{
    LinkError, LinkSettings, NEWEST_FRAME_VERSION, OLDEST_FRAME_VERSION, PeerIdentity, PeerTarget,
    Reply, Request, Tls, decode_reply, encode_request,
};

/// A link to one peer, over one connection at a time that is replaced when it ends or goes silent.
///
/// Each message is a request on its own stream of the connection, so that a slow reply holds up no
/// other.
pub struct PeerLink {
    peer: PeerTarget,
    headers: HeaderMap,
    tls: Option<Arc<Tls>>,
    settings: LinkSettings,
    live: RwLock<Option<Arc<LiveConnection>>>,
    connecting: Mutex<Connecting>,
    frame_version: AtomicU64,
    connections: AtomicU64,
    silent: AtomicU64,
}

struct Connecting {
    backoff: Backoff,
    not_before: Instant,
}

/// What a link has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections opened.
    pub connections: u64,
    /// Connections left because they had gone silent.
    pub silent_connections: u64,
    /// Version of the frames sent.
    pub frame_version: u8,
    /// Whether a connection stands.
    pub is_connected: bool,
}

impl PeerLink {
    /// A link that connects when it is first used.
    #[must_use]
    pub fn new(
        peer: PeerTarget,
        local: &PeerIdentity,
        tls: Option<Arc<Tls>>,
        settings: LinkSettings,
    ) -> Self {
        let connecting = Connecting {
            backoff: Backoff::new(settings.backoff_ms, settings.backoff_limit_ms),
            not_before: Instant::now(),
        };
        Self {
            peer,
            headers: claim(local),
            tls,
            settings,
            live: RwLock::default(),
            connecting: Mutex::new(connecting),
            frame_version: AtomicU64::new(NEWEST_FRAME_VERSION.into()),
            connections: AtomicU64::default(),
            silent: AtomicU64::default(),
        }
    }

    /// Who is called.
    #[must_use]
    pub const fn peer(&self) -> &PeerTarget {
        &self.peer
    }

    /// What the link has seen.
    #[must_use]
    pub fn counts(&self) -> LinkCounts {
        LinkCounts {
            connections: self.connections.load(Ordering::Relaxed),
            silent_connections: self.silent.load(Ordering::Relaxed),
            frame_version: self.version(),
            is_connected: self.open_connection().is_some(),
        }
    }

    /// Sends a request and waits for its reply.
    ///
    /// A peer that understands only older frames is asked again in its own version.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; [`LinkError::is_not_sent`] tells whether the peer surely has not acted.
    pub async fn request(&self, request: &Request) -> Result<Reply, LinkError> {
        loop {
            let version = self.version();
            let frame = encode_request(request, version).map_err(LinkError::Request)?;
            let answer = self.exchange(frame).await?;
            if answer.status == StatusCode::OK {
                return decode_reply(&answer.body).map_err(LinkError::Reply);
            }
            if let Some(version) = answer.older_version(version) {
                self.frame_version.store(version.into(), Ordering::Relaxed);
                continue;
            }
            return Err(LinkError::Refused {
                status: answer.status.as_u16(),
                reason: String::from_utf8_lossy(&answer.body).into_owned(),
            });
        }
    }

    /// Sends a request whose reply tells nothing but that it came.
    ///
    /// # Errors
    ///
    /// As [`Self::request`].
    pub async fn tell(&self, request: &Request) -> Result<(), LinkError> {
        self.request(request).await.map(drop)
    }

    fn version(&self) -> u8 {
        u8::try_from(self.frame_version.load(Ordering::Relaxed)).unwrap_or(NEWEST_FRAME_VERSION)
    }

    async fn exchange(&self, frame: Bytes) -> Result<Answer, LinkError> {
        let connection = self.connection_in_time().await?;
        let outcome = self.exchange_on(&connection, frame.clone()).await;
        let Err(LinkError::NotConnected { .. }) = outcome else {
            return outcome;
        };
        // The peer had closed the connection, or was closing it, and has not seen the request.
        self.leave(&connection);
        let connection = self.connection_in_time().await?;
        self.exchange_on(&connection, frame).await
    }

    async fn connection_in_time(&self) -> Result<Arc<LiveConnection>, LinkError> {
        let limit = Duration::from_millis(self.settings.connect_ms);
        timeout(limit, self.connection()).await.unwrap_or_else(|_| {
            Err(LinkError::NotConnected {
                reason: "no connection in time".to_owned(),
            })
        })
    }

    async fn exchange_on(
        &self,
        connection: &Arc<LiveConnection>,
        frame: Bytes,
    ) -> Result<Answer, LinkError> {
        let _due = connection.due.add();
        let mut ended = connection.ended.clone();
        let limit = Duration::from_millis(self.settings.reply_timeout_ms);
        let outcome = tokio::select! {
            answer = timeout(limit, self.call(connection, frame)) => {
                answer.unwrap_or(Err(LinkError::TimedOut))
            }
            Ok(_) = ended.wait_for(|ended| *ended == Ended::Silent) => Err(LinkError::Silent),
        };
        if outcome.is_err() && *connection.ended.borrow() == Ended::Silent {
            if self.leave(connection) {
                self.silent.fetch_add(1, Ordering::Relaxed);
            }
            return Err(LinkError::Silent);
        }
        outcome
    }

    async fn call(&self, connection: &LiveConnection, frame: Bytes) -> Result<Answer, LinkError> {
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
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn open_connection(&self) -> Option<Arc<LiveConnection>> {
        let live = self.live.read().unwrap_or_else(PoisonError::into_inner);
        let generation = self.tls.as_ref().map_or(0, |tls| tls.generation());
        live.as_ref()
            .filter(|live| live.is_open() && live.generation == generation)
            .map(Arc::clone)
    }

    async fn connection(&self) -> Result<Arc<LiveConnection>, LinkError> {
        if let Some(live) = self.open_connection() {
            return Ok(live);
        }
        let mut connecting = self.connecting.lock().await;
        if let Some(live) = self.open_connection() {
            return Ok(live);
        }
        if Instant::now() < connecting.not_before {
            return Err(LinkError::NotConnected {
                reason: "waits after a failed attempt".to_owned(),
            });
        }
        // Set first, because an attempt that takes too long is cancelled.
        let delay_ms = connecting.backoff.next_delay_ms(&mut rand::rng());
        connecting.not_before = Instant::now() + Duration::from_millis(delay_ms);
        let opened = LiveConnection::open(&self.peer, self.tls.as_deref(), &self.settings).await?;
        connecting.backoff.reset();
        connecting.not_before = Instant::now();
        self.connections.fetch_add(1, Ordering::Relaxed);
        let opened = Arc::new(opened);
        let mut live = self.live.write().unwrap_or_else(PoisonError::into_inner);
        *live = Some(Arc::clone(&opened));
        Ok(opened)
    }

    /// Leaves a connection; true for the first of those that find it unusable.
    fn leave(&self, connection: &Arc<LiveConnection>) -> bool {
        let mut live = self.live.write().unwrap_or_else(PoisonError::into_inner);
        let is_current = live
            .as_ref()
            .is_some_and(|live| Arc::ptr_eq(live, connection));
        if is_current {
            *live = None;
        }
        is_current
    }
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    /// The version to try next, if the peer refuses frames of `tried` as too new.
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

fn claim(local: &PeerIdentity) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let names = [
        (HEADER_VM, local.vm.as_str()),
        (HEADER_DATA_CENTRE, local.data_centre.as_str()),
    ];
    for (name, value) in names {
        // A name that cannot stand in a header is left out, and the peer refuses the call.
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
    // By the protocol the peer has not looked at such a stream.
    if error.reason() == Some(Reason::REFUSED_STREAM) {
        return not_connected(error);
    }
    LinkError::Broken
}
