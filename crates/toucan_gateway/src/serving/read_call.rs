//! Reads and authenticates a caller's request.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, header, request::Parts};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use toucan_types::{OrganisationName, RequestId};

use crate::{
    Gateway, Platform, Refusal,
    buffers::{BufferKind, ByteClaim, CallBuffers, LimitReached},
    clock::boot_time_ms,
    config::{FleetConfig, Organisation, Route},
    overload::NoRoom,
    retries::CallProgress,
    socket_options::SlowPeerOptions,
    wire_format::{CallHead, PartId},
};

use super::{
    call::{Call, CallClaims, CallTracker},
    exchange::remove_connection_headers,
    read_ahead::TRANSIT_BYTES,
    send::next_bytes,
};

/// Timeout of callers that send none.
const DEFAULT_CALLER_TIMEOUT_MS: u64 = 30_000;

/// Maximum size of what is read of the body of a call that is refused before.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;
/// Longest time for which the body of a refused call is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a call waits for permits to send it to targets with a limit.
const MAX_PERMIT_WAIT_MS: u64 = 150;

/// Bytes that the connections of a call may hold besides its body: the larger buffer of the caller's socket,
/// of which one is in use at a time, the answer in the target's socket, and a piece of it in the HTTP buffers
/// of each of the two connections.
const CONNECTION_BYTES: u64 = (SlowPeerOptions::CALLER.receive_bytes
    + SlowPeerOptions::TARGET.receive_bytes
    + 2 * TRANSIT_BYTES) as u64;
/// Largest copy of a body that the kernel holds while it sends it to a target.
const MAX_SENT_BYTES: usize = SlowPeerOptions::TARGET.send_bytes;
/// Size above which a body without a length counts as one that may become as large as is allowed.
const LARGE_BODY_BYTES: u64 = 512 * 1024;
/// Size of the first part of a body for which memory is claimed.
const MIN_BODY_CAPACITY_BYTES: usize = 8 * 1024;

/// Reads and authenticates a request, and records its id, route and organisation in `tracker` for
/// the log.
pub(crate) async fn read_call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: Request<Incoming>,
    tracker: &mut CallTracker<P>,
) -> Result<Call, Refusal> {
    let began_ms = tracker.log.began_ms;
    let (parts, mut body) = request.into_parts();
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
    // What this configuration denies, a newer one may allow.
    let denial = |refusal| {
        let is_outdated = gateway.state.borrow().is_config_outdated();
        let outdated = is_outdated.then_some(Refusal::ConfigurationOutdated);
        outdated.unwrap_or(refusal)
    };
    let route = find_route(&config, &parts).ok_or_else(|| denial(Refusal::NoRoute))?;
    let route = Rc::clone(route);
    tracker.log.route.clone_from(&route.name);
    let organisation = authenticate(&config, &route, &head).map_err(denial)?;
    if let Some(organisation) = &organisation {
        tracker.log.organisation = organisation.name.to_string();
    }
    tracker.log.shared_parts = join_parts(&head.shared_parts());
    let id = head.id.clone().ok_or(Refusal::NoId)?;
    let caller_timeout_ms = head.caller_timeout_ms.unwrap_or(DEFAULT_CALLER_TIMEOUT_MS);
    let deadline_ms = began_ms.saturating_add(caller_timeout_ms.min(route.timeout_ms));
    let counted_bytes = match admit(gateway, &body) {
        Ok(counted_bytes) => counted_bytes,
        Err(NoRoom { return_ms }) => {
            discard_body(body, MAX_DISCARDED_BYTES).await;
            return Err(Refusal::GatewayBusy { return_ms });
        }
    };
    let buffers = &gateway.buffers;
    let mut claims = claims_of_call(buffers, organisation.as_deref());
    let max_body_bytes = config.caller_limits.max_body_bytes;
    let left_ms = deadline_ms.saturating_sub(gateway.now_ms());
    let read = read_body(buffers, &mut body, max_body_bytes, &mut claims);
    let read = match timeout(Duration::from_millis(left_ms), read).await {
        Ok(read) => read,
        Err(_elapsed) => Err(Refusal::TooLate),
    };
    // A caller that sends slowly would be kept waiting for its refusal.
    if matches!(read, Err(Refusal::BuffersFull { .. })) && !buffers.reads_ahead {
        discard_body(body, max_body_bytes).await;
    }
    let body = read?;
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
        claims,
        deadline_ms,
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
async fn discard_body(mut body: Incoming, max_bytes: usize) {
    let discard = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > max_bytes {
                break;
            }
        }
    };
    if timeout(MAX_DISCARD_TIME, discard).await.is_err() {
        log::debug!(target: "call", "the body of a refused call was not read to its end");
    }
}

fn claims_of_call(buffers: &CallBuffers, organisation: Option<&Organisation>) -> CallClaims {
    let name = organisation.map_or_else(OrganisationName::default, |o| o.name.clone());
    let claim = |kind| buffers.budget.claim(kind, name.clone());
    CallClaims {
        body: claim(BufferKind::RequestBody),
        connections: claim(BufferKind::Connection),
        partial_event: claim(BufferKind::ReadAhead),
    }
}

/// Reads the body of a call as far as there is memory for it.
async fn read_body(
    buffers: &CallBuffers,
    body: &mut Incoming,
    max_bytes: usize,
    claims: &mut CallClaims,
) -> Result<Bytes, Refusal> {
    let now_ms = boot_time_ms();
    buffers.budget.accounts().observe(now_ms);
    if buffers.reads_ahead {
        claim_memory(buffers, &mut claims.connections, CONNECTION_BYTES).await?;
    }
    let free_bytes = buffers.budget.accounts().limits().free_body_bytes;
    let counted = |bytes: usize| (bytes as u64).saturating_sub(free_bytes);
    let stated_bytes = body.size_hint().exact();
    if stated_bytes.is_some_and(|bytes| bytes > max_bytes as u64) {
        return Err(Refusal::BodyTooLarge);
    }
    let largest = stated_bytes.map_or(max_bytes, |bytes| bytes as usize);
    // Bodies that grow side by side would take all memory before one of them is complete, so a large one claims all that
    // it states or may have. Where callers may send slowly, nothing is claimed before they have sent the half of it.
    let claimed_whole_above = match (buffers.reads_ahead, stated_bytes) {
        (true, _) => u64::MAX,
        (false, Some(_)) => free_bytes,
        (false, None) => free_bytes.max(LARGE_BODY_BYTES),
    };
    let mut collected = Vec::new();
    while let Some(bytes) = next_bytes(body).await {
        let bytes = bytes.map_err(|_broken| Refusal::BodyUnreadable)?;
        let size = collected.len() + bytes.len();
        if size > largest {
            return Err(Refusal::BodyTooLarge);
        }
        if size > collected.capacity() {
            let capacity = if size as u64 > claimed_whole_above {
                largest
            } else {
                let doubled = collected.capacity() * 2;
                size.max(doubled).max(MIN_BODY_CAPACITY_BYTES).min(largest)
            };
            claim_memory(buffers, &mut claims.body, counted(capacity)).await?;
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&bytes);
    }
    let held = if buffers.reads_ahead {
        collected.capacity() + collected.len().min(MAX_SENT_BYTES)
    } else {
        collected.shrink_to_fit();
        collected.len()
    };
    claim_memory(buffers, &mut claims.body, counted(held)).await?;
    Ok(Bytes::from(collected))
}

/// Lets a claim grow to `bytes`, or refuses the call.
async fn claim_memory(
    buffers: &CallBuffers,
    claim: &mut ByteClaim,
    bytes: u64,
) -> Result<(), Refusal> {
    let missing_bytes = bytes.saturating_sub(claim.bytes());
    let grown = buffers.grow(claim, bytes).await;
    grown.map_err(|reached: LimitReached| {
        let accounts = buffers.budget.accounts();
        log::info!(
            target: "memory",
            reason:% = reached,
            missing_bytes = missing_bytes,
            held_bytes = accounts.total_bytes();
            "memory for a call is short"
        );
        Refusal::BuffersFull {
            return_ms: accounts.return_ms(missing_bytes, boot_time_ms()),
        }
    })
}
