//! Calls to plain services as received from callers.

use std::sync::Arc;

use http::{HeaderMap, Method};
use toucan_config::ServiceKind;
use toucan_ledger::IntentKey;
use toucan_platform::ServiceCall;
use toucan_types::{BillId, RequestId, ServiceName, Tokens};
use volo_http::request::Request;

use super::{
    Refusal, RefusalCode,
    authentication::authenticate,
    chat::{deadline_ms, request_class},
    plain_services::first_128_bits,
    read_body,
};
use crate::{admission::AdmissionRequest, node_shared::NodeShared};

/// Header with the idempotency key of a call.
pub(crate) const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Call to a plain service as received from a caller.
pub(super) struct PlainCall {
    pub(super) service: ServiceName,
    pub(super) call: ServiceCall,
    pub(super) id: RequestId,
    /// Key under which a call that may not be repeated is claimed; [`None`] for other calls.
    pub(super) claim_key: Option<IntentKey>,
    pub(super) cost_tokens: Tokens,
}

/// Authenticates and reads a call.
pub(super) async fn read_call(
    shared: &NodeShared,
    request: Request,
    id: &RequestId,
) -> Result<(PlainCall, AdmissionRequest), Refusal> {
    let (parts, body) = request.into_parts();
    let document = Arc::clone(&shared.document.load().document);
    let caller = authenticate(&document, &parts.headers, shared.clock.now_ms())?;
    let unknown = || Refusal::new(RefusalCode::NotFound, "there is no such plain service");
    let (name, path) = split_path(parts.uri.path()).ok_or_else(unknown)?;
    let service = document.service(name).ok_or_else(unknown)?;
    let ServiceKind::Plain {
        cost_tokens,
        organisations,
        ..
    } = &service.kind
    else {
        return Err(unknown());
    };
    if !organisations.allows(&caller.organisation) {
        let message = format!("{} may not call {name}", caller.organisation);
        return Err(Refusal::new(RefusalCode::NotAllowed, message));
    }
    let key = idempotency_key(&parts.headers)?;
    let is_non_idempotent = service.is_non_idempotent(parts.method.as_str(), &path);
    if is_non_idempotent && key.is_none() {
        let message = format!("this call needs the header {HEADER_IDEMPOTENCY_KEY}");
        return Err(Refusal::new(RefusalCode::MalformedRequest, message));
    }
    let id = key.unwrap_or_else(|| id.clone());
    let class_and_priority = request_class(&document, &caller, &parts.headers)?;
    let query = parts
        .uri
        .query()
        .map(|query| format!("?{query}"))
        .unwrap_or_default();
    let body = read_body(body, shared.settings.body).await?;
    let admission = AdmissionRequest {
        bill: BillId::of(&caller.organisation, &id),
        organisation: caller.organisation.clone(),
        budget: caller.budget.clone(),
        service: ServiceName::from(name),
        model: None,
        blocks: Vec::new(),
        block_tokens: 1,
        prompt_tokens: 0,
        reserve_tokens: *cost_tokens,
        class: class_and_priority.0,
        priority: class_and_priority.1,
        deadline_ms: deadline_ms(shared, &parts.headers)?,
        idempotent: !is_non_idempotent && is_repeatable(&parts.method, &parts.headers),
        resumable: false,
    };
    let mut headers = parts.headers;
    headers.remove(http::header::AUTHORIZATION);
    let call = PlainCall {
        service: ServiceName::from(name),
        claim_key: is_non_idempotent.then(|| IntentKey::of(&caller.organisation, &id)),
        call: ServiceCall {
            method: parts.method,
            path: format!("{path}{query}"),
            headers,
            body,
            first_byte_timeout_ms: service.first_byte_timeout_ms,
        },
        id,
        cost_tokens: *cost_tokens,
    };
    Ok((call, admission))
}

/// Returns whether HTTP semantics allow a call to be sent again.
///
/// Other calls are sent again only if they certainly did not run.
fn is_repeatable(method: &Method, headers: &HeaderMap) -> bool {
    method.is_idempotent() || headers.contains_key(HEADER_IDEMPOTENCY_KEY)
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<RequestId>, Refusal> {
    let Some(value) = headers.get(HEADER_IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > 128 {
        let message = format!("{HEADER_IDEMPOTENCY_KEY}: expected 1 to 128 printable characters");
        return Err(Refusal::new(RefusalCode::MalformedRequest, message));
    }
    Ok(Some(RequestId::from(text)))
}

/// Splits `/services/{service}/rest` into the service and `/rest`.
fn split_path(path: &str) -> Option<(&str, String)> {
    let rest = path.strip_prefix("/services/")?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((service, format!("/{path}")))
}

/// Returns a hash of a call's content, which distinguishes a retry from a different call.
pub(super) fn fingerprint(call: &PlainCall) -> u128 {
    let mut hasher = blake3::Hasher::new();
    for part in [
        call.service.as_str().as_bytes(),
        call.call.method.as_str().as_bytes(),
        call.call.path.as_bytes(),
        &call.call.body,
    ] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    first_128_bits(hasher.finalize())
}
