//! Chat requests as received from callers.

use bytes::Bytes;
use toucan_platform::formats::ChatRequest;
use toucan_types::{Position, Tokens};

use super::{Refusal, RefusalCode};

/// Maximum number of tokens that one message adds to a prompt in addition to its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// Chat request as received from a caller.
#[derive(Clone, Debug)]
pub(crate) struct ChatCall {
    /// Parsed body.
    pub(crate) request: ChatRequest,
    /// Upper bound of the prompt's tokens: no tokenizer makes more tokens than bytes.
    pub(crate) max_prompt_tokens: Tokens,
}

impl ChatCall {
    /// Parses a body; the refusal of malformed JSON contains the line and column.
    pub(crate) fn parse(body: &Bytes) -> Result<Self, Refusal> {
        let request: ChatRequest =
            serde_json::from_slice(body).map_err(|error| malformed(&error))?;
        if request.messages.is_empty() {
            return Err(Refusal::new(
                RefusalCode::MalformedRequest,
                "messages: expected at least one message",
            ));
        }
        if request.max_tokens == Some(0) {
            return Err(Refusal::new(
                RefusalCode::MalformedRequest,
                "max_tokens: expected a number above 0",
            ));
        }
        let max_prompt_tokens = max_prompt_tokens(&request);
        Ok(Self {
            request,
            max_prompt_tokens,
        })
    }

    /// Returns the text of all messages in order, from which prefix blocks are computed.
    pub(crate) fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.request.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

fn max_prompt_tokens(request: &ChatRequest) -> Tokens {
    let mut max_tokens = 0_u64;
    for message in &request.messages {
        let bytes = u64::try_from(message.content.len()).unwrap_or(u64::MAX);
        max_tokens = max_tokens
            .saturating_add(bytes)
            .saturating_add(MESSAGE_OVERHEAD_TOKENS);
    }
    Tokens(max_tokens)
}

fn malformed(error: &serde_json::Error) -> Refusal {
    let position = Position {
        line: u32::try_from(error.line()).unwrap_or(u32::MAX),
        column: u32::try_from(error.column()).unwrap_or(u32::MAX),
    };
    Refusal::new(
        RefusalCode::MalformedRequest,
        format!("{position}: {error}"),
    )
}
