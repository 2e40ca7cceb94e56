//! `POST /v1/chat/completions`: handler of chat requests.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};
use http_body::Frame;
use tokio::sync::{mpsc, oneshot};
use toucan_config::Document;
use toucan_platform::EngineCall;
use toucan_platform::formats::{ChatChoice, ChatMessage, ChatResponse, HEADER_REQUEST_ID};
use toucan_router::{ModelKey, block_hashes};
use toucan_types::{BillId, ModelName, RequestId, Tokens};
use volo_http::{body::Body, request::Request, response::Response};

use super::{
    Refusal, RefusalCode,
    authentication::{Caller, authenticate},
    chat_call::ChatCall,
    chat_sinks::{CollectSink, CollectedResponse, SseSink, TokenSink},
    read_body,
    relay::Relay,
    request_lifecycle::{admit, refuse_unless_ready},
};
use crate::{
    admission::{AdmissionRequest, Ticket},
    node_shared::NodeShared,
};

/// Header with the class of a request.
pub(crate) const HEADER_CLASS: &str = "x-request-class";
/// Header with the time in milliseconds within which the response must start.
pub(crate) const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Maximum number of response frames that are buffered for a slow caller.
const MAX_BUFFERED_FRAMES: usize = 32;
/// Milliseconds in a second.
const MS_PER_S: u64 = 1_000;

/// Handles a chat request.
///
/// Steps: authenticate, reserve tokens, queue, choose a target, dispatch, relay and settle.
pub(crate) async fn chat(
    shared: Arc<NodeShared>,
    request: Request,
    id: &RequestId,
) -> Result<Response, Refusal> {
    refuse_unless_ready(&shared)?;
    let (parts, body) = request.into_parts();
    let document = Arc::clone(&shared.document.load().document);
    let caller = authenticate(&document, &parts.headers, shared.clock.now_ms())?;
    let body = read_body(body, shared.settings.body).await?;
    let call = ChatCall::parse(&body)?;
    let admission = admission_request(&shared, &document, &caller, &call, &parts.headers, id)?;
    let ticket = admit(&shared, admission).await?;
    let engine_call = engine_call(&shared, &document, &call, &ticket, &caller, id);
    if call.request.stream {
        return stream_response(shared, ticket, engine_call, &call, id).await;
    }
    buffered_response(shared, ticket, engine_call, &call, id).await
}

fn admission_request(
    shared: &NodeShared,
    document: &Document,
    caller: &Caller,
    call: &ChatCall,
    headers: &HeaderMap,
    id: &RequestId,
) -> Result<AdmissionRequest, Refusal> {
    let model = model_key(document, caller, &call.request.model)?;
    let (service, _) = document
        .service_for_model(model.model.as_str())
        .ok_or_else(|| Refusal::new(RefusalCode::NotFound, "no service serves the model"))?;
    let settings = document.model(model.model.as_str());
    let block_tokens = settings.map_or(0, |model| model.prefix_block_tokens);
    let max_output_tokens = settings.map_or(0, |model| model.max_output_tokens);
    let output_tokens = call
        .request
        .max_tokens
        .unwrap_or(max_output_tokens)
        .min(max_output_tokens);
    let reserve_tokens = call.max_prompt_tokens.saturating_add(Tokens(output_tokens));
    let class_and_priority = request_class(document, caller, headers)?;
    let block_tokens = u32::try_from(block_tokens).unwrap_or(u32::MAX).max(1);
    Ok(AdmissionRequest {
        bill: BillId::of(&caller.organisation, id),
        organisation: caller.organisation.clone(),
        budget: caller.budget.clone(),
        service: service.clone(),
        blocks: block_hashes(&call.prompt_text(), block_tokens as usize * BYTES_PER_TOKEN),
        block_tokens,
        prompt_tokens: call.max_prompt_tokens.0 / BYTES_PER_TOKEN as u64,
        model: Some(model),
        reserve_tokens,
        class: class_and_priority.0,
        priority: class_and_priority.1,
        deadline_ms: deadline_ms(shared, headers)?,
        idempotent: true,
        resumable: true,
    })
}

/// Average number of bytes in a token, for the estimate of a prompt's tokens and blocks.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the model, version and adapter that serve a caller's request.
fn model_key(document: &Document, caller: &Caller, name: &str) -> Result<ModelKey, Refusal> {
    let mut key = ModelKey::parse(name);
    let unknown = || Refusal::new(RefusalCode::NotFound, format!("there is no model {name}"));
    let model = document.model(key.model.as_str()).ok_or_else(unknown)?;
    let version = match &key.version {
        Some(version) => version.clone(),
        None => model.serving_version.clone(),
    };
    let organisation = &caller.organisation;
    let listed = model.version(version.as_str()).ok_or_else(unknown)?;
    let mut allowed =
        model.organisations.allows(organisation) && listed.organisations.allows(organisation);
    if let Some(adapter) = &key.adapter {
        let adapter = model.adapter(adapter.as_str()).ok_or_else(unknown)?;
        allowed &= adapter.organisations.allows(organisation);
    }
    if !allowed {
        let message = format!("{organisation} may not use {name}");
        return Err(Refusal::new(RefusalCode::NotAllowed, message));
    }
    key.version = Some(version);
    Ok(key)
}

/// Returns the class of a request and its priority.
pub(super) fn request_class(
    document: &Document,
    caller: &Caller,
    headers: &HeaderMap,
) -> Result<(toucan_types::RequestClass, u32), Refusal> {
    let order = &document.operations().order;
    let rules = order.organisations.get(caller.organisation.as_str());
    let requested = headers
        .get(HEADER_CLASS)
        .and_then(|value| value.to_str().ok());
    let name = match requested {
        Some(name) => toucan_types::RequestClass::from(name),
        None => rules
            .and_then(|rules| rules.default_class.clone())
            .or_else(|| order.default_class.clone())
            .unwrap_or_default(),
    };
    let Some(class) = order.classes.get(name.as_str()) else {
        if requested.is_none() {
            return Ok((name, 0));
        }
        let message = format!("{HEADER_CLASS}: there is no class {name}");
        return Err(Refusal::new(RefusalCode::MalformedRequest, message));
    };
    let allowed = rules
        .and_then(|rules| rules.classes.as_ref())
        .is_none_or(|classes| classes.contains(&name));
    if !allowed {
        let message = format!("{} may not use the class {name}", caller.organisation);
        return Err(Refusal::new(RefusalCode::NotAllowed, message));
    }
    Ok((name, class.priority))
}

/// Returns the time by which the response must have started, in milliseconds since 1970.
pub(super) fn deadline_ms(shared: &NodeShared, headers: &HeaderMap) -> Result<u64, Refusal> {
    let max_ms = shared.settings.admission.max_wait_ms;
    let now_ms = shared.clock.now_ms();
    let Some(value) = headers.get(HEADER_DEADLINE_MS) else {
        return Ok(now_ms.saturating_add(max_ms));
    };
    let within_ms: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let Some(within_ms) = within_ms else {
        let message = format!("{HEADER_DEADLINE_MS}: expected a count of milliseconds");
        return Err(Refusal::new(RefusalCode::MalformedRequest, message));
    };
    Ok(now_ms.saturating_add(within_ms.min(max_ms)))
}

fn engine_call(
    shared: &NodeShared,
    document: &Document,
    call: &ChatCall,
    ticket: &Ticket,
    caller: &Caller,
    id: &RequestId,
) -> EngineCall {
    let mut request = call.request.clone();
    request.stream = true;
    let max_output_tokens = ticket.reserve_tokens.saturating_sub(call.max_prompt_tokens);
    request.max_tokens = Some(max_output_tokens.0);
    let model = ModelKey::parse(&request.model);
    let service = document.service_for_model(model.model.as_str());
    let first_byte_timeout_ms = service.map_or(
        shared.settings.targets.first_byte_timeout_ms,
        |(_, service)| service.first_byte_timeout_ms,
    );
    let bill = BillId::of(&caller.organisation, id);
    EngineCall {
        request: RequestId::from(bill.to_string()),
        body: Bytes::from(serde_json::to_vec(&request).unwrap_or_default()),
        priority: i64::from(ticket.priority),
        first_byte_timeout_ms,
    }
}

/// Starts the relay and waits until the first token has arrived or the request is refused.
async fn start_relay<S: TokenSink>(
    shared: Arc<NodeShared>,
    ticket: Ticket,
    call: EngineCall,
    chat: &ChatCall,
    id: &RequestId,
    sink: S,
) -> Result<(), Refusal> {
    let (started, has_started) = oneshot::channel();
    let open = shared.open_request();
    let relay = Relay {
        shared,
        ticket,
        call,
        request: id.clone(),
        sink,
        started: Some(started),
        open,
        prompt_tokens: chat.max_prompt_tokens.0 / BYTES_PER_TOKEN as u64,
        billed_before: false,
    };
    tokio::spawn(relay.run());
    has_started.await.unwrap_or_else(|_dropped| {
        Err(Refusal::new(
            RefusalCode::InProgress,
            "a retry of this request took its place",
        )
        .may_have_run())
    })
}

async fn stream_response(
    shared: Arc<NodeShared>,
    ticket: Ticket,
    call: EngineCall,
    chat: &ChatCall,
    id: &RequestId,
) -> Result<Response, Refusal> {
    let (frames, mut body) = mpsc::channel::<Bytes>(MAX_BUFFERED_FRAMES);
    start_relay(shared, ticket, call, chat, id, SseSink::new(frames)).await?;
    let body = async_stream::stream! {
        while let Some(frame) = body.recv().await {
            yield Ok(Frame::data(frame));
        }
    };
    let mut response = Response::new(Body::from_stream(body));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    set_request_id(headers, id);
    Ok(response)
}

async fn buffered_response(
    shared: Arc<NodeShared>,
    ticket: Ticket,
    call: EngineCall,
    chat: &ChatCall,
    id: &RequestId,
) -> Result<Response, Refusal> {
    let created = shared.clock.now_ms() / MS_PER_S;
    let (complete, collected) = oneshot::channel();
    start_relay(shared, ticket, call, chat, id, CollectSink::new(complete)).await?;
    let collected = collected.await.map_err(|_broken| {
        Refusal::new(RefusalCode::TargetFailed, "the answer broke off").may_have_run()
    })?;
    let model = ModelName::from(chat.request.model.as_str());
    let response = chat_response(collected, &model, id, created);
    let mut response = Response::new(Body::from(
        serde_json::to_string(&response).unwrap_or_default(),
    ));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    set_request_id(headers, id);
    Ok(response)
}

fn chat_response(
    collected: CollectedResponse,
    model: &ModelName,
    id: &RequestId,
    created: u64,
) -> ChatResponse {
    ChatResponse {
        id: id.to_string(),
        object: "chat.completion".to_owned(),
        created,
        model: model.to_string(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".to_owned(),
                content: collected.text,
            },
            finish_reason: collected.finish_reason,
        }],
        usage: collected.usage,
    }
}

/// Sets the request's id in the headers of its response.
pub(super) fn set_request_id(headers: &mut HeaderMap, id: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(HEADER_REQUEST_ID, value);
    }
}
