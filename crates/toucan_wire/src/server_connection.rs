//! Server side of one connection from a peer.

use std::sync::Arc;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Response, StatusCode};
use rustls::client::verify_server_name;
use rustls::server::ParsedCertificate;
use rustls_pki_types::CertificateDer;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::watch;
use tokio::time::{Duration, MissedTickBehavior, interval, timeout};

use crate::transport::{BodyError, HEADER_DATA_CENTRE, HEADER_FRAME_VERSION, HEADER_VM, read_body};
use crate::watched_io::WatchedIo;
use crate::{
    FrameError, NEWEST_FRAME_VERSION, PeerHandler, PeerIdentity, PeerServerSettings, Refusal,
    RefusalCounts, Reply, Tls, decode_request, encode_reply,
};

/// Interval at which a connection is checked for silence and for replaced keys, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// State shared by all connections of a server.
pub(crate) struct ServerShared<H> {
    pub(crate) settings: PeerServerSettings,
    pub(crate) handler: H,
    pub(crate) refusals: RefusalCounts,
    pub(crate) tls: Option<Arc<Tls>>,
}

/// Proof of a peer's identity.
pub(crate) enum Proof {
    /// None: any claim is accepted. Only for tests on one machine.
    Unverified,
    /// Certificate from a TLS handshake made with keys of this generation.
    Certificate {
        certificate: CertificateDer<'static>,
        generation: u64,
    },
}

impl Proof {
    fn verifies(&self, claimed: &PeerIdentity) -> bool {
        let Self::Certificate { certificate, .. } = self else {
            return true;
        };
        let Ok(certificate) = ParsedCertificate::try_from(certificate) else {
            return false;
        };
        let Ok(name) = claimed.server_name() else {
            return false;
        };
        verify_server_name(&certificate, &name).is_ok()
    }

    fn is_outdated(&self, tls: Option<&Arc<Tls>>) -> bool {
        match (self, tls) {
            (Self::Certificate { generation, .. }, Some(tls)) => *generation != tls.generation(),
            _ => false,
        }
    }
}

/// Serves one connection until it is closed.
pub(crate) async fn serve<T, H>(
    shared: Arc<ServerShared<H>>,
    io: T,
    proof: Proof,
    mut stop: watch::Receiver<bool>,
) where
    T: AsyncRead + AsyncWrite + Unpin,
    H: PeerHandler,
{
    let (io, last_read) = WatchedIo::new(io);
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(shared.settings.max_requests_per_connection);
    let handshake = builder.handshake::<_, Bytes>(io);
    let limit = Duration::from_millis(shared.settings.handshake_timeout_ms);
    let Ok(Ok(mut connection)) = timeout(limit, handshake).await else {
        shared.refusals.record(Refusal::Handshake);
        return;
    };
    let proof = Arc::new(proof);
    let mut check = interval(Duration::from_millis(CHECK_INTERVAL_MS));
    check.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut draining = false;
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((request, respond))) = accepted else {
                    if let Some(Err(error)) = accepted {
                        record_broken(&shared.refusals, &error);
                    }
                    return;
                };
                let shared = Arc::clone(&shared);
                let proof = Arc::clone(&proof);
                tokio::spawn(handle_request(shared, proof, request, respond));
            }
            _ = check.tick() => {
                if last_read.idle_ms() > shared.settings.silent_after_ms {
                    metrics::counter!("toucan_peer_connections_silent_total").increment(1);
                    return;
                }
                if !draining && proof.is_outdated(shared.tls.as_ref()) {
                    draining = true;
                    connection.graceful_shutdown();
                }
            }
            _ = stop.changed(), if !draining => {
                draining = true;
                connection.graceful_shutdown();
            }
        }
    }
}

fn record_broken(refusals: &RefusalCounts, error: &h2::Error) {
    // TLS errors all have this kind; h2 exposes nothing else of them.
    let is_tls = error
        .get_io()
        .is_some_and(|error| error.kind() == std::io::ErrorKind::InvalidData);
    if is_tls {
        refusals.record(Refusal::BadRecord);
    }
}

async fn handle_request<H: PeerHandler>(
    shared: Arc<ServerShared<H>>,
    proof: Arc<Proof>,
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let (head, body) = request.into_parts();
    let outcome = process_request(&shared, &proof, &head.headers, body).await;
    let sent = match outcome {
        Ok(frame) => send(&mut respond, StatusCode::OK, frame),
        Err((status, reason)) => send(&mut respond, status, Bytes::from(reason)),
    };
    if sent.is_err() {
        respond.send_reset(Reason::INTERNAL_ERROR);
    }
}

async fn process_request<H: PeerHandler>(
    shared: &ServerShared<H>,
    proof: &Proof,
    headers: &HeaderMap,
    body: RecvStream,
) -> Result<Bytes, (StatusCode, String)> {
    let claimed = claimed_identity(headers);
    let peer = claimed
        .filter(|claimed| proof.verifies(claimed))
        .ok_or_else(|| {
            shared.refusals.record(Refusal::WrongName);
            (StatusCode::FORBIDDEN, Refusal::WrongName.to_string())
        })?;
    let limit = Duration::from_millis(shared.settings.request_timeout_ms);
    let body = match timeout(limit, read_body(body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge)) => {
            shared.refusals.record(Refusal::BadMessage);
            let reason = "the message is too large".to_owned();
            return Err((StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        Ok(Err(BodyError::Broken)) | Err(_) => {
            let reason = "the message did not arrive whole".to_owned();
            return Err((StatusCode::REQUEST_TIMEOUT, reason));
        }
    };
    let (request, version) = decode_request(&body).map_err(|error| {
        shared.refusals.record(Refusal::BadMessage);
        (frame_status(error), error.to_string())
    })?;
    if request.claimed_vm().is_some_and(|vm| *vm != peer.vm) {
        shared.refusals.record(Refusal::WrongName);
        return Err((StatusCode::FORBIDDEN, Refusal::WrongName.to_string()));
    }
    metrics::counter!("toucan_peer_requests_total", "kind" => request.kind()).increment(1);
    let reply = shared.handler.handle(peer, request).await;
    encode_response(&reply, version)
}

fn encode_response(reply: &Reply, version: u8) -> Result<Bytes, (StatusCode, String)> {
    encode_reply(reply, version)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
}

fn claimed_identity(headers: &HeaderMap) -> Option<PeerIdentity> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let vm = text(HEADER_VM)?;
    let data_centre = text(HEADER_DATA_CENTRE)?;
    Some(PeerIdentity::new(vm, data_centre))
}

const fn frame_status(error: FrameError) -> StatusCode {
    match error {
        FrameError::UnknownVersion { .. } => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        _ => StatusCode::BAD_REQUEST,
    }
}

fn send(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    body: Bytes,
) -> Result<(), h2::Error> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    if status == StatusCode::HTTP_VERSION_NOT_SUPPORTED {
        let newest = u16::from(NEWEST_FRAME_VERSION).into();
        response.headers_mut().insert(HEADER_FRAME_VERSION, newest);
    }
    let mut stream = respond.send_response(response, false)?;
    stream.send_data(body, true)
}
