//! Reader of the server-sent events of one connection.

use bytes::Bytes;
use http_body_util::Limited;
use volo_http::body::Body;
use volo_http::client::sse::{SseEvent, SseReader};
use volo_http::response::Response;

use crate::EngineEvent;
use crate::formats::ChatChunk;

/// Data of the event that ends a complete stream.
const DONE: &str = "[DONE]";

/// Reader of the server-sent events of one connection.
pub(crate) struct TokenReader {
    events: SseReader<Limited<Body>>,
}

/// Error after which a connection delivers no further events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TokenReaderError {
    /// The connection ended or broke.
    Broken,
    /// An event could not be parsed.
    Malformed,
}

impl TokenReader {
    /// Starts to read a response; returns [`None`] if it is not an event stream.
    pub(crate) fn new(response: Response, limit_bytes: usize) -> Option<Self> {
        let response = response.map(|body| Limited::new(body, limit_bytes));
        let events = SseReader::into_sse(response).ok()?;
        Some(Self { events })
    }

    /// Reads the next event. Cancel safe: no event is lost.
    pub(crate) async fn read(&mut self) -> Result<EngineEvent, TokenReaderError> {
        loop {
            let Ok(Some(event)) = self.events.read().await else {
                return Err(TokenReaderError::Broken);
            };
            if event.data.is_some() {
                return parse_event(event);
            }
        }
    }
}

fn parse_event(event: SseEvent) -> Result<EngineEvent, TokenReaderError> {
    let data = event.data.unwrap_or_default();
    if data == DONE {
        return Ok(EngineEvent::Done);
    }
    if let Some(id) = event.id {
        let Ok(index) = id.parse() else {
            return Err(TokenReaderError::Malformed);
        };
        let data = Bytes::from(data);
        return Ok(EngineEvent::Token { index, data });
    }
    let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) else {
        return Err(TokenReaderError::Malformed);
    };
    let Some(usage) = chunk.usage else {
        return Err(TokenReaderError::Malformed);
    };
    let data = Bytes::from(data);
    Ok(EngineEvent::Usage { usage, data })
}
