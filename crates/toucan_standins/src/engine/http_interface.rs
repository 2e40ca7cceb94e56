//! HTTP interface of an engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use http_body::Frame;
use tokio::sync::Notify;
use toucan_platform::formats::{
    ChatChoice, ChatChunk, ChatChunkChoice, ChatDelta, ChatMessage, ChatRequest, ChatResponse,
    HEADER_PRIORITY, HEADER_REQUEST_ID, HEADER_TOKEN_INDEX,
};
use volo_http::body::Body;
use volo_http::error::BoxError;
use volo_http::response::Response;

use super::completion_text::{
    completion_seed, completion_token_text, completion_tokens, prompt_blocks, prompt_tokens,
};
use super::engine_standin::{EngineShared, EngineState};
use super::execution_records::EngineRun;
use super::stream_state::StreamState;
use crate::clock::now_ms;
use crate::http_call::{HttpCall, Refusal, aborted_response, json_response, text_response};
use crate::http_server::HttpHandler;

impl HttpHandler for EngineShared {
    async fn handle(self: Arc<Self>, call: HttpCall) -> Response {
        let received_at_ms = now_ms();
        self.wait_while_silent().await;
        if self.crashed.load(Ordering::Relaxed) {
            return aborted_response();
        }
        match (&call.method, call.segments().as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.chat(&call, received_at_ms).await
            }
            (&Method::GET, ["v1", "streams", id]) => {
                let from_token = call.query_number("from_token").unwrap_or(0);
                self.resume(id, from_token)
            }
            (&Method::POST, ["v1", "streams", id, "cancel"]) => self.cancel(id),
            (&Method::GET, ["load"]) => json_response(StatusCode::OK, &self.delayed_load()),
            (&Method::GET, ["events"]) => {
                let after = call.query_number("after").unwrap_or(0);
                json_response(StatusCode::OK, &self.state().cache.page(after, now_ms()))
            }
            (&Method::POST, ["orders"]) => self.order(&call).await,
            (&Method::POST, ["kv", "export"]) => self.export(&call),
            (&Method::POST, ["kv", "import"]) => self.import(&call).await,
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl EngineShared {
    async fn chat(self: &Arc<Self>, call: &HttpCall, received_at_ms: u64) -> Response {
        let request: ChatRequest = match call.json() {
            Ok(request) => request,
            Err(refusal) => return refusal.into(),
        };
        let stream = match self.enqueue(&request, call, received_at_ms) {
            Ok(stream) => stream,
            Err(refusal) => return refusal.into(),
        };
        self.work.notify_one();
        if request.stream {
            return self.stream_response(stream, 0);
        }
        while stream.ended.get().is_none() {
            let generated = stream.generated_tokens.load(Ordering::Relaxed);
            stream.wait_for_tokens_beyond(generated).await;
        }
        self.wait_while_silent().await;
        if self.crashed.load(Ordering::Relaxed) {
            return aborted_response();
        }
        json_response(StatusCode::OK, &chat_response(&stream))
    }

    fn enqueue(
        &self,
        request: &ChatRequest,
        call: &HttpCall,
        received_at_ms: u64,
    ) -> Result<Arc<StreamState>, Refusal> {
        let now_ms = now_ms();
        let mut state = self.state();
        state.remove_expired_streams(now_ms, self.settings.keep_streams_ms);
        if !state.has_model(&request.model) {
            return Err(Refusal::new(
                StatusCode::NOT_FOUND,
                "the model is not loaded",
            ));
        }
        if state.waiting.len() >= self.settings.waiting_limit as usize {
            return Err(Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too many waiting",
            ));
        }
        let request_id = call.header(HEADER_REQUEST_ID).map_or_else(
            || {
                format!(
                    "made-up-{}",
                    self.generated_ids.fetch_add(1, Ordering::Relaxed)
                )
            },
            str::to_owned,
        );
        if state.streams.contains_key(&request_id) {
            return Err(Refusal::new(
                StatusCode::CONFLICT,
                "the request id is in use",
            ));
        }
        let priority = call
            .header(HEADER_PRIORITY)
            .and_then(|text| text.parse().ok());
        let last_message = request
            .messages
            .last()
            .map(|message| message.content.clone());
        let run = EngineRun {
            engine: self.settings.name.clone(),
            request_id: request_id.clone(),
            last_message: last_message.unwrap_or_default(),
            model: request.model.clone(),
            priority: priority.unwrap_or(0),
            received_at_ms,
            after_leaving_ms: state
                .leaving_since_ms
                .and_then(|since_ms| received_at_ms.checked_sub(since_ms)),
            prompt_tokens: prompt_tokens(&request.messages),
            cached_tokens: 0,
            generated_tokens: 0,
            finish_reason: None,
        };
        let completion_tokens = completion_tokens(request).max(1);
        let stream = Arc::new(StreamState {
            run,
            seed: completion_seed(request),
            completion_tokens,
            stops_at_limit: request.max_tokens == Some(completion_tokens),
            blocks: prompt_blocks(&request.messages, self.settings.block_tokens),
            cached_tokens: AtomicU64::new(0),
            generated_tokens: AtomicU64::new(0),
            cancelled: AtomicBool::new(false),
            ended: OnceLock::new(),
            progressed: Notify::new(),
        });
        state.streams.insert(request_id, Arc::clone(&stream));
        state.accepted.push(Arc::clone(&stream));
        state.waiting.push_back(Arc::clone(&stream));
        Ok(stream)
    }

    fn resume(self: &Arc<Self>, id: &str, from_token: u64) -> Response {
        let stream = self.state().streams.get(id).cloned();
        let Some(stream) = stream else {
            return text_response(StatusCode::NOT_FOUND, "no such stream");
        };
        self.stream_response(stream, from_token)
    }

    fn cancel(&self, id: &str) -> Response {
        let mut state = self.state();
        let Some(stream) = state.streams.get(id).cloned() else {
            return text_response(StatusCode::NOT_FOUND, "no such stream");
        };
        stream.cancelled.store(true, Ordering::Relaxed);
        let waiting = state.waiting.len();
        state.waiting.retain(|other| other.run.request_id != id);
        if state.waiting.len() < waiting {
            stream.end("cancelled", now_ms());
        }
        text_response(StatusCode::OK, "cancelled")
    }

    /// Response that streams server-sent events from a token on; generation continues if the caller
    /// disconnects.
    fn stream_response(self: &Arc<Self>, stream: Arc<StreamState>, from_token: u64) -> Response {
        let shared = Arc::clone(self);
        let body = async_stream::stream! {
            let mut sent = from_token;
            loop {
                stream.wait_for_tokens_beyond(sent).await;
                shared.wait_while_silent().await;
                if shared.crashed.load(Ordering::Relaxed) {
                    yield Err(BoxError::from("engine crashed"));
                    return;
                }
                let finish_reason = stream.finish_reason();
                let generated = stream.generated_tokens.load(Ordering::Relaxed);
                while sent < generated {
                    let last = finish_reason.filter(|_| sent + 1 == generated);
                    yield Ok(token_event(&stream, sent, last));
                    sent += 1;
                }
                if finish_reason.is_some() {
                    break;
                }
            }
            yield Ok(usage_event(&stream));
            yield Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")));
        };
        let mut response = Response::new(Body::from_stream(body));
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, content_type);
        headers.insert(HEADER_TOKEN_INDEX, from_token.into());
        response
    }
}

impl EngineState {
    fn has_model(&self, model: &str) -> bool {
        let versioned = format!("{model}@");
        let mut models = self.models.iter();
        models.any(|loaded| loaded == model || loaded.starts_with(&versioned))
    }

    fn remove_expired_streams(&mut self, now_ms: u64, keep_ms: u64) {
        self.streams.retain(|_, stream| {
            let ended = stream.ended.get();
            ended.is_none_or(|(_, ended_at_ms)| ended_at_ms + keep_ms > now_ms)
        });
    }
}

fn token_event(
    stream: &StreamState,
    index: u64,
    finish_reason: Option<&'static str>,
) -> Frame<Bytes> {
    let choice = ChatChunkChoice {
        index: 0,
        delta: ChatDelta {
            role: (index == 0).then(|| "assistant".to_owned()),
            content: Some(completion_token_text(stream.seed, index)),
        },
        finish_reason: finish_reason.map(str::to_owned),
    };
    let chunk = ChatChunk {
        choices: vec![choice],
        ..empty_chunk(stream)
    };
    event(&format!("id: {index}\n"), &chunk)
}

fn usage_event(stream: &StreamState) -> Frame<Bytes> {
    let chunk = ChatChunk {
        usage: Some(stream.usage()),
        ..empty_chunk(stream)
    };
    event("", &chunk)
}

fn empty_chunk(stream: &StreamState) -> ChatChunk {
    ChatChunk {
        id: stream.run.request_id.clone(),
        object: "chat.completion.chunk".to_owned(),
        created: stream.run.received_at_ms / 1_000,
        model: stream.run.model.clone(),
        choices: Vec::new(),
        usage: None,
    }
}

fn event(id_line: &str, chunk: &ChatChunk) -> Frame<Bytes> {
    let data = serde_json::to_string(chunk).unwrap_or_default();
    Frame::data(Bytes::from(format!("{id_line}data: {data}\n\n")))
}

fn chat_response(stream: &StreamState) -> ChatResponse {
    let generated = stream.generated_tokens.load(Ordering::Relaxed);
    let tokens = 0..generated;
    let content = tokens
        .map(|index| completion_token_text(stream.seed, index))
        .collect();
    ChatResponse {
        id: stream.run.request_id.clone(),
        object: "chat.completion".to_owned(),
        created: stream.run.received_at_ms / 1_000,
        model: stream.run.model.clone(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".to_owned(),
                content,
            },
            finish_reason: stream.finish_reason().unwrap_or("stop").to_owned(),
        }],
        usage: stream.usage(),
    }
}
