//! Exchange of one request with one target, up to the response headers.

use std::{
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use hyper::body::Incoming;
use tokio::{sync::Notify, time::timeout};
use toucan_types::{RequestId, TargetName};

use crate::{
    config::TargetEntry,
    limits::StatedLimit,
    placement::{CallOutcome, TargetPresence},
    retries::SendFailure,
    wire_format::{ResponseHead, WireFormat},
};

use super::{
    ConnectionPath, ConnectionPool, TargetConnection,
    body_framing::BodyFraming,
    request_body::{RequestBody, SendCondition},
    tunnel_client::TunnelConnector,
};

/// Maximum number of heads that announce another one, such as early hints, before the head of a response.
const MAX_INFORMATIONAL_HEADS: u32 = 16;

/// A call to be sent to one target.
pub(crate) struct Exchange<'a> {
    /// Target that gets the request.
    pub(crate) target: &'a TargetEntry,
    /// Id of the call. A response with another id is rejected.
    pub(crate) id: &'a RequestId,
    /// Request with the headers for the target.
    pub(crate) request: Request<Bytes>,
    /// Whether the target leaves meanwhile.
    pub(crate) presence: TargetPresence,
    /// Maximum number of open connections from this VM to the target.
    pub(crate) max_connections: u32,
    /// Maximum wait for the response headers.
    pub(crate) head_timeout: Duration,
    /// Time left for the call, which a connect does not exceed.
    pub(crate) left_ms: u64,
    /// Current time.
    pub(crate) now_ms: u64,
    /// Receives what the target states about itself, also if its response is of no use.
    pub(crate) notice: &'a mut TargetNotice,
    /// Receives the time in milliseconds for which the request waited for a connection.
    pub(crate) held_ms: &'a mut u64,
}

/// What a target states about itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TargetNotice {
    /// Whether it is leaving.
    pub(crate) is_leaving: bool,
    /// Whether another process answers at its address.
    pub(crate) is_replaced: bool,
    /// Time for which it wants no calls from this VM.
    pub(crate) throttle: Option<Duration>,
    /// What it states about a limit on its calls; [`None`] if the response is not its own answer to the
    /// call.
    pub(crate) limit: Option<StatedLimit>,
    /// Calls that it may turn away in a second; [`None`] if it states none, or the response is not its own.
    pub(crate) rejections_per_s: Option<u32>,
    /// Whether it has turned away the call for want of room.
    pub(crate) is_full: bool,
}

/// A response whose headers were received but whose body was not read to its end.
pub(crate) struct OpenResponse {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers of the response.
    pub(crate) headers: HeaderMap,
    /// Body. Dropping it before its end closes the connection.
    pub(crate) body: Incoming,
    /// Parsed headers.
    pub(crate) head: ResponseHead,
    /// How the end of the body is marked.
    pub(crate) framing: BodyFraming,
    connection: TargetConnection,
    target: TargetName,
    keep_alive: Option<Duration>,
}

impl OpenResponse {
    /// Returns the way of the connection.
    pub(crate) const fn path(&self) -> &ConnectionPath {
        &self.connection.path
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub(crate) fn release_connection(self, pool: &ConnectionPool, now_ms: u64) {
        pool.check_in(&self.target, self.connection, self.keep_alive, now_ms);
    }
}

/// Sends a request and waits for the response headers.
///
/// The request is withdrawn if `may_still_send` returns false once there is a connection, for which it may have
/// waited for long enough that the target has left.
pub(crate) async fn send_request(
    format: &impl WireFormat,
    pool: &Rc<ConnectionPool>,
    exchange: Exchange<'_>,
    tunnels: &impl TunnelConnector,
    may_still_send: impl AsyncFn() -> bool,
) -> Result<OpenResponse, SendFailure> {
    let began_at = Instant::now();
    let checkout = pool.checkout(
        exchange.target,
        exchange.max_connections,
        exchange.left_ms,
        exchange.now_ms,
        tunnels,
    );
    let connection = checkout.await;
    let connect_time = began_at.elapsed();
    *exchange.held_ms = connect_time.as_millis() as u64;
    let mut connection = connection.map_err(|error| {
        log::info!(
            target: "pool",
            id = exchange.id.as_str(),
            name = exchange.target.name.as_str(),
            cause = error.name(),
            took_ms = error.took_ms(),
            end:? = error.call_outcome(),
            error:% = error;
            "no connection to the target"
        );
        SendFailure::NotSent(error.call_outcome())
    })?;
    if !may_still_send().await {
        metrics::counter!("toucan_withdrawn_sends_total").increment(1);
        return Err(SendFailure::Withdrawn);
    }
    let sent_at = Instant::now();
    let left = Duration::from_millis(exchange.left_ms).saturating_sub(connect_time);
    let head_timeout = exchange.head_timeout.min(left);
    let condition = SendCondition::new(exchange.presence, sent_at + left);
    let mut request = exchange
        .request
        .map(|bytes| RequestBody::new(bytes, condition.clone()));
    let too_many_heads = limit_informational_heads(&mut request);
    let sent = connection.sender.try_send_request(request);
    let result = tokio::select! {
        result = timeout(head_timeout, sent) => result,
        () = too_many_heads.notified() => {
            log::warn!(target: "call", id = exchange.id.as_str(), name = exchange.target.name.as_str(); "the target sends informational heads without end, the connection is closed");
            return Err(SendFailure::MayHaveRun(CallOutcome::Broken));
        }
    };
    let Ok(result) = result else {
        return Err(SendFailure::MayHaveRun(CallOutcome::Silent));
    };
    let response = result.map_err(|mut error| match error.take_message() {
        // The connection closed before any byte was written.
        Some(_unsent) => SendFailure::NotSent(CallOutcome::Broken),
        None if condition.is_withheld() => {
            metrics::counter!("toucan_withdrawn_sends_total").increment(1);
            SendFailure::Withdrawn
        }
        None => SendFailure::MayHaveRun(CallOutcome::of_connection_error(error.error())),
    })?;
    if connection.path == ConnectionPath::Direct {
        pool.record_response(exchange.target, sent_at.elapsed().as_millis() as u64);
    }
    let (parts, body) = response.into_parts();
    if !is_final_status(parts.status) {
        metrics::counter!("toucan_odd_statuses_total").increment(1);
        log::warn!(target: "call", id = exchange.id.as_str(), name = exchange.target.name.as_str(), status = parts.status.as_u16(); "the answer has a status that ends none, the connection is closed");
        return Err(SendFailure::MayHaveRun(CallOutcome::Broken));
    }
    let head = format.read_response(parts.status, &parts.headers);
    let is_of_other_call = head.id.as_ref().is_some_and(|id| id != exchange.id);
    // Another process at the target's address answers that it is the wrong one.
    let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
    let is_of_target = !is_of_other_call && !is_misdirected;
    // On a kept connection an answer without an id may be a second copy of an earlier one.
    let is_attributable = !is_of_other_call && (head.id.is_some() || !connection.is_reused);
    *exchange.notice = TargetNotice {
        is_leaving: head.is_leaving,
        is_replaced: is_misdirected && is_attributable,
        throttle: head.throttle.filter(|_throttle| is_attributable),
        limit: is_of_target.then_some(head.limit),
        rejections_per_s: head.rejections_per_s.filter(|_budget| is_of_target),
        is_full: head.not_run && is_of_target && is_attributable,
    };
    if is_of_other_call {
        // A late response to an earlier call. Returning here drops the connection and with it
        // the rest of that response.
        log::warn!(target: "call", id = exchange.id.as_str(), name = exchange.target.name.as_str(); "the answer has the id of another call");
        return Err(SendFailure::MayHaveRun(CallOutcome::Broken));
    }
    if head.not_run {
        if !is_attributable {
            log::warn!(target: "call", id = exchange.id.as_str(), name = exchange.target.name.as_str(); "a refusal on a kept connection names no call and may be an earlier one");
            return Err(SendFailure::MayHaveRun(CallOutcome::Broken));
        }
        return Err(SendFailure::NotRun);
    }
    let keep_alive = keep_alive_timeout(&parts.headers);
    Ok(OpenResponse {
        status: parts.status,
        framing: BodyFraming::of_response(&parts.headers, &body),
        headers: parts.headers,
        body,
        head,
        connection,
        target: exchange.target.name.clone(),
        keep_alive,
    })
}

/// Returns whether an answer may end with a status. Those below 200 announce another answer, or a change of protocol that no
/// request asks for; those from 600 on are none.
fn is_final_status(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() < 600
}

/// Returns what is notified when the target has answered a request with too many informational heads.
fn limit_informational_heads(request: &mut Request<RequestBody>) -> Arc<Notify> {
    let exceeded = Arc::new(Notify::new());
    let heads = AtomicU32::new(0);
    let notify = Arc::clone(&exceeded);
    hyper::ext::on_informational(request, move |_head| {
        if heads.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_HEADS {
            notify.notify_one();
        }
    });
    exceeded
}

/// Returns the idle timeout that the target announces in its `Keep-Alive` header.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|field| field.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    ] {
        headers.remove(name);
    }
}
