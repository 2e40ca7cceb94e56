//! Reads answers of models and services.

use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use toucan_platform::formats::{ChatChunk, ChatResponse};
use volo_http::body::Body;

/// Answer as far as it was received.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedAnswer {
    pub(crate) text: String,
    pub(crate) usage_tokens: u64,
    pub(crate) first_token: Option<Instant>,
    pub(crate) last_token: Option<Instant>,
    pub(crate) text_count: u32,
    pub(crate) is_whole: bool,
}

/// Reads server-sent events until the stream ends, breaks off or times out.
pub(crate) async fn read_events(mut body: Body, read_timeout: Duration) -> ReceivedAnswer {
    let mut answer = ReceivedAnswer::default();
    let mut pending: Vec<u8> = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(read_timeout, body.frame()).await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        pending.extend_from_slice(&data);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            answer.apply_line(String::from_utf8_lossy(&line).trim_end());
        }
    }
    answer
}

/// Reads a whole body; returns `None` if it breaks off or times out.
pub(crate) async fn read_whole(body: Body, read_timeout: Duration) -> Option<Vec<u8>> {
    let collected = tokio::time::timeout(read_timeout, body.collect()).await;
    Some(collected.ok()?.ok()?.to_bytes().to_vec())
}

/// Parses a complete chat completion response.
pub(crate) fn parse_response(body: &[u8]) -> ReceivedAnswer {
    let Ok(response) = serde_json::from_slice::<ChatResponse>(body) else {
        return ReceivedAnswer::default();
    };
    let texts = response
        .choices
        .into_iter()
        .map(|choice| choice.message.content);
    ReceivedAnswer {
        text: texts.collect(),
        usage_tokens: response.usage.total_tokens,
        first_token: Some(Instant::now()),
        is_whole: true,
        ..ReceivedAnswer::default()
    }
}

impl ReceivedAnswer {
    /// Returns the mean time between the texts of a stream; `None` with fewer than two.
    pub(crate) fn mean_token_interval(&self) -> Option<Duration> {
        let intervals = self
            .text_count
            .checked_sub(1)
            .filter(|intervals| *intervals > 0)?;
        Some(self.last_token?.duration_since(self.first_token?) / intervals)
    }

    fn apply_line(&mut self, line: &str) {
        let Some(data) = line.strip_prefix("data: ") else {
            return;
        };
        if data == "[DONE]" {
            self.is_whole = true;
            return;
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return;
        };
        for choice in chunk.choices {
            let content = choice.delta.content.unwrap_or_default();
            if !content.is_empty() {
                let now = Instant::now();
                self.first_token.get_or_insert(now);
                self.last_token = Some(now);
                self.text_count += 1;
            }
            self.text.push_str(&content);
        }
        if let Some(usage) = chunk.usage {
            self.usage_tokens = usage.total_tokens;
        }
    }
}
