//! Sinks for the tokens of a response: a stream of events to the caller, or one complete response.

use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::mpsc;
use toucan_platform::formats::{ChatChunk, ChatUsage};

/// The caller no longer reads the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerDisconnected;

/// Sink for the tokens of one response, which receives each token once and in order.
pub(crate) trait TokenSink: Send + Sync + 'static {
    /// Sends one token's event, a chat chunk as JSON.
    fn send_token(
        &mut self,
        data: Bytes,
    ) -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Sends the usage event and ends the response.
    fn finish(
        &mut self,
        usage: ChatUsage,
        data: Bytes,
    ) -> impl Future<Output = Result<(), CallerDisconnected>> + Send;

    /// Ends a partially sent response with an error.
    fn fail(&mut self, error: serde_json::Value) -> impl Future<Output = ()> + Send;

    /// Waits until the caller no longer reads the response.
    fn disconnected(&self) -> impl Future<Output = ()> + Send;
}

/// Sink that sends server-sent events to the body of a response.
pub(crate) struct SseSink {
    body: mpsc::Sender<Bytes>,
}

impl SseSink {
    /// Creates a sink that sends to this body.
    pub(crate) fn new(body: mpsc::Sender<Bytes>) -> Self {
        Self { body }
    }

    async fn send(&self, frame: Bytes) -> Result<(), CallerDisconnected> {
        self.body
            .send(frame)
            .await
            .map_err(|_closed| CallerDisconnected)
    }
}

impl TokenSink for SseSink {
    async fn send_token(&mut self, data: Bytes) -> Result<(), CallerDisconnected> {
        self.send(sse_frame(&data)).await
    }

    async fn finish(&mut self, _usage: ChatUsage, data: Bytes) -> Result<(), CallerDisconnected> {
        let mut frames = BytesMut::from(sse_frame(&data));
        frames.put(sse_frame(b"[DONE]"));
        self.send(frames.freeze()).await
    }

    async fn fail(&mut self, error: serde_json::Value) {
        let _disconnected = self.send(sse_frame(error.to_string().as_bytes())).await;
    }

    async fn disconnected(&self) {
        self.body.closed().await;
    }
}

fn sse_frame(data: &[u8]) -> Bytes {
    let mut frame = BytesMut::with_capacity(data.len() + 8);
    frame.put_slice(b"data: ");
    frame.put_slice(data);
    frame.put_slice(b"\n\n");
    frame.freeze()
}

/// Complete response, collected from its tokens.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CollectedResponse {
    /// Generated text.
    pub(crate) text: String,
    /// Reason for which the text ended.
    pub(crate) finish_reason: String,
    /// Tokens used.
    pub(crate) usage: ChatUsage,
}

/// Sink that collects a complete response.
pub(crate) struct CollectSink {
    response: CollectedResponse,
    complete: Option<tokio::sync::oneshot::Sender<CollectedResponse>>,
}

impl CollectSink {
    /// Creates a sink that sends the complete response to this channel.
    pub(crate) fn new(complete: tokio::sync::oneshot::Sender<CollectedResponse>) -> Self {
        Self {
            response: CollectedResponse::default(),
            complete: Some(complete),
        }
    }
}

impl TokenSink for CollectSink {
    async fn send_token(&mut self, data: Bytes) -> Result<(), CallerDisconnected> {
        let Ok(chunk) = serde_json::from_slice::<ChatChunk>(&data) else {
            return Ok(());
        };
        for choice in chunk.choices {
            self.response
                .text
                .push_str(choice.delta.content.as_deref().unwrap_or_default());
            if let Some(reason) = choice.finish_reason {
                self.response.finish_reason = reason;
            }
        }
        Ok(())
    }

    async fn finish(&mut self, usage: ChatUsage, _data: Bytes) -> Result<(), CallerDisconnected> {
        self.response.usage = usage;
        let complete = self.complete.take().ok_or(CallerDisconnected)?;
        complete
            .send(std::mem::take(&mut self.response))
            .map_err(|_closed| CallerDisconnected)
    }

    async fn fail(&mut self, _error: serde_json::Value) {
        self.complete = None;
    }

    async fn disconnected(&self) {
        // A disconnect is not detected while the caller waits for a complete response; the
        // response is generated to its end.
        std::future::pending::<()>().await;
    }
}
