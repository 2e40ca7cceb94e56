//! Keeps a stream at the service and software version that began it.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;
use toucan_types::{RequestId, VmName};

use crate::{
    Gateway, Platform, Refusal, config::RouteKind, peers::PeerMessage, streams::StreamOrigin,
    tasks::origin_sync::read_stored_origin,
};

use super::{call::Call, send::Refused};

/// Waits for the answers of other gateways. After each one the question is repeated, because a
/// datagram may be lost.
const ANSWER_WAITS_MS: [u64; 3] = [30, 60, 120];

/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// This gateway began the stream or has heard where it began.
    Known,
    /// Another gateway knew.
    Told,
    /// The store tells it.
    Stored,
    /// Only one version has served.
    OnlyVersion,
}

impl Evidence {
    const fn name(self) -> &'static str {
        match self {
            Self::Known => "known",
            Self::Told => "told",
            Self::Stored => "stored",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// Fixes the origin of the stream that an attempt of the caller begins, tells other gateways and has it
/// written to the store.
pub(crate) fn begin_stream<P: Platform>(
    gateway: &Gateway<P>,
    call: &mut Call,
    origin: &StreamOrigin,
) {
    call.origin = Some(origin.clone());
    if call.route.kind != (RouteKind::Streaming { resumable: true }) {
        return;
    }
    let now_ms = gateway.now_ms();
    let replicas = {
        let mut state = gateway.state.borrow_mut();
        if !state.stream_origins.record(&call.id, origin, now_ms) {
            return;
        }
        state.origin_outbox.push(&call.id, origin, now_ms);
        let members = &state.members;
        members.origin_replicas(&call.id, &gateway.location, now_ms)
    };
    let message = PeerMessage::StreamOrigin {
        attempt: call.id.clone(),
        origin: Some(origin.clone()),
    };
    gateway.send_to_peers(replicas.iter(), message);
    gateway.origin_waiting.notify_one();
}

/// Records that a caller has received its whole stream, which nobody resumes.
pub(crate) fn forget_stream<P: Platform>(gateway: &Gateway<P>, call: &Call) {
    let state = &mut *gateway.state.borrow_mut();
    state.origin_outbox.remove(&call.id);
}

/// Fixes the service and software version of a call that resumes a stream.
///
/// A call that begins a new stream is not changed.
pub(crate) async fn resolve_origin<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &mut Call,
) -> Result<(), Refused> {
    let Some(resumption) = &call.head.resumption else {
        return Ok(());
    };
    if !call.route.kind.is_streaming() {
        return Ok(());
    }
    let began_ms = gateway.now_ms();
    let found = find_origin(gateway, call, resumption.first_attempt.as_ref()).await;
    let evidence = found.as_ref().map_or("none", |(_origin, by)| by.name());
    metrics::counter!("toucan_resumed_streams_total", "evidence" => evidence).increment(1);
    let Some((origin, _evidence)) = found else {
        return Err((
            Refusal::StreamOriginUnknown,
            "no gateway that was asked knows where the stream began",
        ));
    };
    log::info!(
        target: "call",
        id = call.id.as_str(),
        evidence = evidence,
        service = origin.service.as_str(),
        software_version = origin.software_version.as_str(),
        took_ms = gateway.now_ms().saturating_sub(began_ms);
        "a caller resumes a stream"
    );
    if !call.route.uses_service(&origin.service) {
        return Err((
            Refusal::NoTargetOfVersion,
            "the route no longer uses the service of the stream",
        ));
    }
    call.service = origin.service.clone();
    call.origin = Some(origin);
    Ok(())
}

async fn find_origin<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &Call,
    first_attempt: Option<&RequestId>,
) -> Option<(StreamOrigin, Evidence)> {
    let resumed_ms = gateway.now_ms();
    if let Some(attempt) = first_attempt {
        if let Some(origin) = gateway.stream_origin(attempt) {
            return Some((origin, Evidence::Known));
        }
        if let Some(origin) = ask_other_gateways(gateway, attempt).await {
            return Some((origin, Evidence::Told));
        }
        if let Some(origin) = read_stored_origin(gateway, attempt).await {
            return Some((origin, Evidence::Stored));
        }
    }
    // Another gateway may have begun the stream at a version that this one has not read of yet.
    if !gateway.registrations.wait_since(resumed_ms).await {
        return None;
    }
    let state = gateway.state.borrow();
    let versions = &state.target_versions;
    let sole_version = versions.sole_version(&call.service, resumed_ms);
    let software_version = sole_version?.clone();
    let service = call.service.clone();
    let origin = StreamOrigin {
        service,
        software_version,
    };
    Some((origin, Evidence::OnlyVersion))
}

/// Asks the gateways that may know where a stream began.
async fn ask_other_gateways<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    attempt: &RequestId,
) -> Option<StreamOrigin> {
    let lookup = LookupGuard::begin(gateway, attempt);
    for wait_ms in ANSWER_WAITS_MS {
        let message = PeerMessage::AskStreamOrigin {
            attempt: attempt.clone(),
        };
        gateway.send_to_peers(lookup.unanswered().iter(), message);
        let deadline_ms = gateway.now_ms() + wait_ms;
        loop {
            if let Some(origin) = gateway.stream_origin(attempt) {
                return Some(origin);
            }
            let left_ms = deadline_ms.saturating_sub(gateway.now_ms());
            if lookup.unanswered().is_empty() {
                return None;
            }
            if left_ms == 0 {
                break;
            }
            let answered = gateway.origins_changed.notified();
            // The loop looks again whether the wait ended by an answer or by the timeout.
            let _elapsed = timeout(Duration::from_millis(left_ms), answered).await;
        }
    }
    None
}

/// Ends a question to other gateways when it is dropped.
struct LookupGuard<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    attempt: &'a RequestId,
}

impl<'a, P: Platform> LookupGuard<'a, P> {
    fn begin(gateway: &'a Gateway<P>, attempt: &'a RequestId) -> Self {
        let now_ms = gateway.now_ms();
        let state = gateway.state.borrow();
        let asked = state.members.possible_origin_replicas(attempt, now_ms);
        gateway.origin_lookups.borrow_mut().begin(attempt, asked);
        Self { gateway, attempt }
    }

    fn unanswered(&self) -> Vec<VmName> {
        self.gateway
            .origin_lookups
            .borrow()
            .unanswered(self.attempt)
    }
}

impl<P: Platform> Drop for LookupGuard<'_, P> {
    fn drop(&mut self) {
        self.gateway.origin_lookups.borrow_mut().end(self.attempt);
    }
}
