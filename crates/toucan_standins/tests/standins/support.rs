//! HTTP client for the tests.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucan_platform::formats::{ChatChunk, ChatMessage, ChatRequest, HEADER_REQUEST_ID};
use volo_http::body::Body;
use volo_http::client::ClientBuilder;
use volo_http::error::ClientError;
use volo_http::response::Response;

pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> Response {
    let response = try_send(address, method, path, headers, body).await;
    response.expect("the stand-in answers")
}

pub async fn try_send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> Result<Response, ClientError> {
    let client = ClientBuilder::new()
        .build::<Body, Body, Body>()
        .expect("no bad setting");
    let mut request = client.request(method, path.to_owned()).address(address);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(Body::from(body.into())).send().await
}

pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> (StatusCode, T) {
    let response = send(address, Method::GET, path, &[], Bytes::new()).await;
    let status = response.status();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("a whole body")
        .to_bytes();
    (
        status,
        serde_json::from_slice(&body).expect("valid content"),
    )
}

pub async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> StatusCode {
    let body = serde_json::to_vec(body).expect("valid content");
    send(address, Method::POST, path, &[], body).await.status()
}

pub fn chat_request(prompt: &str, stream: bool) -> ChatRequest {
    ChatRequest {
        model: "drafter".to_owned(),
        messages: vec![ChatMessage {
            role: "user".to_owned(),
            content: prompt.to_owned(),
        }],
        max_tokens: Some(12),
        stream,
        other: serde_json::Map::new(),
    }
}

pub async fn start_chat(address: SocketAddr, id: &str, request: &ChatRequest) -> Response {
    let body = serde_json::to_vec(request).expect("valid content");
    let headers = [(HEADER_REQUEST_ID, id)];
    send(
        address,
        Method::POST,
        "/v1/chat/completions",
        &headers,
        body,
    )
    .await
}

/// Returns the text, the completion tokens of the usage, and whether `[DONE]` was received.
pub async fn read_events(response: Response) -> (String, u64, bool) {
    let Ok(body) = response.into_body().collect().await else {
        return (String::new(), 0, false);
    };
    let events = String::from_utf8(body.to_bytes().to_vec()).expect("valid content");
    let data = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let mut text = String::new();
    let mut completion_tokens = 0;
    let mut done = false;
    for data in data {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let chunk: ChatChunk = serde_json::from_str(data).expect("valid content");
        for choice in chunk.choices {
            text.push_str(&choice.delta.content.unwrap_or_default());
        }
        if let Some(usage) = chunk.usage {
            completion_tokens = usage.completion_tokens;
        }
    }
    (text, completion_tokens, done)
}
