//! Chat completions in the `OpenAI` format, with the headers and calls that engines add.
//!
//! `POST /v1/chat/completions` with [`ChatRequest`] returns [`ChatResponse`], or with
//! `stream: true` server-sent events: one [`ChatChunk`] per token, a last chunk with
//! [`ChatUsage`] and no choices, then `[DONE]`. The header [`HEADER_REQUEST_ID`] identifies the
//! stream at the engine; a second request with the id of an existing stream gets 409.
//!
//! `GET /v1/streams/{id}?from_token=N` resumes a stream from token N (from 0) while it runs and
//! for some time after its end; 404 if it does not exist at the engine.
//!
//! `POST /v1/streams/{id}/cancel` stops a stream; 200 or 404.
//!
//! Each token's event has the SSE field `id:` with the index of the token, from 0.

use serde::{Deserialize, Serialize};

/// Header with the request id, used by callers, routers and engines.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header with the priority for an engine, a number; larger values are served first.
pub const HEADER_PRIORITY: &str = "x-priority";
/// Response header with the index of the first token of a stream.
pub const HEADER_TOKEN_INDEX: &str = "x-token-index";
/// Header with the fencing number of the caller of a service.
pub const HEADER_FENCING_NUMBER: &str = "x-fencing-number";

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Body of a request; routers forward unknown fields unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model in the document.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether the response is sent as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// All other fields.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Sum of prompt and generated tokens.
    pub total_tokens: u64,
    /// Prompt tokens found in the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// One choice of a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Index of the choice; engines return one choice, 0.
    pub index: u32,
    /// Generated message.
    pub message: ChatMessage,
    /// `stop`, `length` or `cancelled`.
    pub finish_reason: String,
}

/// Complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatResponse {
    /// Identifier of the request.
    pub id: String,
    /// `chat.completion`.
    pub object: String,
    /// Time of creation in seconds since 1970.
    pub created: u64,
    /// Model that generated the response.
    pub model: String,
    /// Choices.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    pub usage: ChatUsage,
}

/// Text added by one chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// Role, in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text of this token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Part of a chunk that belongs to one choice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunkChoice {
    /// Index of the choice.
    pub index: u32,
    /// Added text.
    pub delta: ChatDelta,
    /// Reason for the end, in the chunk of the last token.
    pub finish_reason: Option<String>,
}

/// One event of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Identifier of the request.
    pub id: String,
    /// `chat.completion.chunk`.
    pub object: String,
    /// Time of creation in seconds since 1970.
    pub created: u64,
    /// Model that generates the response.
    pub model: String,
    /// Parts of the choices; empty in the chunk with the usage.
    pub choices: Vec<ChatChunkChoice>,
    /// Tokens used, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<ChatUsage>,
}
