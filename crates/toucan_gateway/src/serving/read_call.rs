//! Reads and authenticates a caller's request.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, header, request::Parts};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;
use toucan_types::RequestId;

use crate::{
    Gateway, Platform, Refusal,
    config::{FleetConfig, Organisation, Route},
    overload::NoRoom,
    retries::CallProgress,
    wire_format::{CallHead, PartId},
};

use super::{
    call::{Call, CallTracker},
    exchange::remove_connection_headers,
};

/// Timeout of callers that send none.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 30_000;

/// Maximum size of what is read of the body of a refused call.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;
/// Longest time for which the body of a refused call is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a call waits for permits to send it to targets with a limit.
const MAX_PERMIT_WAIT_MS: u64 = 150;

/// Reads and authenticates a request, and records its id, route and organisation in `tracker` for
/// the log.
pub(crate) async fn read_call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: Request<Incoming>,
    tracker: &mut CallTracker<P>,
) -> Result<Call, Refusal> {
    let began_ms = tracker.log.began_ms;
    let (parts, body) = request.into_parts();
    let mut head = gateway.platform.read_call(&parts.headers);
    head.limit_part_tokens();
    if let Some(id) = &head.id {
        tracker.log.id = id.to_string();
    }
    if let Some(resumption) = &head.resumption {
        let first_attempt = resumption.first_attempt.as_ref();
        tracker.log.resumes = first_attempt.map_or_else(String::new, ToString::to_string);
        tracker.log.resumes_after = resumption.last_event_id.clone().unwrap_or_default();
    }
    let config = gateway.state.borrow().config.clone();
    let config = config.ok_or(Refusal::NotConfigured)?;
    tracker.log.config_version = config.version.0;
    let route = Rc::clone(find_route(&config, &parts).ok_or(Refusal::NoRoute)?);
    tracker.log.route.clone_from(&route.name);
    let organisation = authenticate(&config, &route, &head)?;
    if let Some(organisation) = &organisation {
        tracker.log.organisation = organisation.name.to_string();
    }
    tracker.log.shared_parts = join_parts(&head.shared_parts());
    let id = head.id.clone().ok_or(Refusal::NoId)?;
    let counted_bytes = match admit(gateway, &body) {
        Ok(counted_bytes) => counted_bytes,
        Err(NoRoom { return_ms }) => {
            discard_body(body).await;
            return Err(Refusal::GatewayBusy { return_ms });
        }
    };
    let body = read_body(body, config.caller_limits.max_body_bytes).await?;
    let uncounted_bytes = (body.len() as u64).saturating_sub(counted_bytes);
    gateway
        .state
        .borrow_mut()
        .admission
        .record_body(uncounted_bytes, gateway.now_ms());
    let service = route
        .service_for(hash_id(&id))
        .ok_or(Refusal::NoTarget)?
        .clone();
    let caller_timeout_ms = head.caller_timeout_ms.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS);
    let mut headers = parts.headers;
    remove_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    Ok(Call {
        id,
        config,
        service,
        organisation,
        method: parts.method,
        uri: parts.uri,
        headers,
        fingerprints: OnceCell::new(),
        body,
        deadline_ms: began_ms.saturating_add(caller_timeout_ms.min(route.timeout_ms)),
        route,
        head,
        origin: None,
        tried: Vec::new(),
        denied: Vec::new(),
        permit_wait_ms: MAX_PERMIT_WAIT_MS,
        progress: CallProgress::default(),
    })
}

/// Returns parts of a prompt as text for logs.
fn join_parts(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(PartId::to_string).collect();
    parts.join("+")
}

/// Returns a uniformly distributed hash of an id.
pub(crate) fn hash_id(id: &RequestId) -> u64 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = foldhash::fast::FixedState::default().build_hasher();
    hasher.write(id.as_str().as_bytes());
    hasher.finish()
}

fn find_route<'a>(config: &'a FleetConfig, parts: &Parts) -> Option<&'a Rc<Route>> {
    let host = match parts.headers.get(header::HOST) {
        Some(host) => host.to_str().ok()?,
        None => parts.uri.host()?,
    };
    config.routes.find(host, parts.uri.path())
}

/// Returns the organisation that holds the caller's key; [`None`] if there is none and the call
/// needs no key.
fn authenticate(
    config: &FleetConfig,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Rc<Organisation>>, Refusal> {
    let organisation = head
        .key
        .as_deref()
        .and_then(|key| config.organisations.by_key(key));
    if let Some(organisation) = organisation {
        return Ok(Some(Rc::clone(organisation)));
    }
    if route.is_public || config.organisations.is_empty() {
        return Ok(None);
    }
    Err(Refusal::UnknownKey)
}

/// Admits a call whose body has not been read; returns the bytes of the body that were counted.
fn admit<P: Platform>(gateway: &Gateway<P>, body: &Incoming) -> Result<u64, NoRoom> {
    let now_ms = gateway.now_ms();
    let state = &mut *gateway.state.borrow_mut();
    let others = state.calls_in_progress.saturating_sub(1);
    let announced_bytes = body.size_hint().lower();
    state.admission.admit(others, announced_bytes, now_ms)
}

/// Reads the body of a refused call. Closing a connection with unread bytes would reset it, so that the
/// caller might not get the refusal.
async fn discard_body(mut body: Incoming) {
    let discard = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
    };
    if timeout(MAX_DISCARD_TIME, discard).await.is_err() {
        log::debug!(target: "call", "the body of a refused call was not read to its end");
    }
}

async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_broken) => Err(Refusal::BodyUnreadable),
    }
}
