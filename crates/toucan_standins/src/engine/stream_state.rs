//! One request at an engine, from its arrival until nobody may resume it any more.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::Notify;
use toucan_platform::formats::ChatUsage;

use super::EngineRun;

/// State of one request.
pub(crate) struct StreamState {
    /// The request as recorded when it was taken.
    pub(crate) run: EngineRun,
    pub(crate) seed: u64,
    pub(crate) completion_tokens: u64,
    /// Whether the answer ends because of the request's limit.
    pub(crate) limited: bool,
    pub(crate) blocks: Vec<u64>,
    pub(crate) cached_tokens: AtomicU64,
    pub(crate) generated_tokens: AtomicU64,
    pub(crate) cancelled: AtomicBool,
    /// Reason of the end and its time, in milliseconds since 1970.
    pub(crate) ended: OnceLock<(&'static str, u64)>,
    pub(crate) changed: Notify,
}

impl StreamState {
    /// Generates one token; true if the stream ended.
    pub(crate) fn step(&self, now_ms: u64) -> bool {
        if self.cancelled.load(Ordering::Relaxed) {
            return self.end("cancelled", now_ms);
        }
        let generated = self.generated_tokens.fetch_add(1, Ordering::Relaxed) + 1;
        if generated >= self.completion_tokens {
            return self.end(if self.limited { "length" } else { "stop" }, now_ms);
        }
        self.changed.notify_waiters();
        false
    }

    /// Ends the stream.
    pub(crate) fn end(&self, reason: &'static str, now_ms: u64) -> bool {
        self.ended.get_or_init(|| (reason, now_ms));
        self.changed.notify_waiters();
        true
    }

    /// Reason of the end once it is there.
    pub(crate) fn finish_reason(&self) -> Option<&'static str> {
        self.ended.get().map(|(reason, _)| *reason)
    }

    /// Tokens used so far.
    pub(crate) fn usage(&self) -> ChatUsage {
        let completion_tokens = self.generated_tokens.load(Ordering::Relaxed);
        ChatUsage {
            prompt_tokens: self.run.prompt_tokens,
            completion_tokens,
            total_tokens: self.run.prompt_tokens + completion_tokens,
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
        }
    }

    /// The run as it stands.
    pub(crate) fn record(&self) -> EngineRun {
        EngineRun {
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
            generated_tokens: self.generated_tokens.load(Ordering::Relaxed),
            finish_reason: self.finish_reason().map(str::to_owned),
            ..self.run.clone()
        }
    }

    /// Waits until more tokens than these were generated or the stream ended.
    pub(crate) async fn wait_beyond(&self, tokens: u64) {
        loop {
            // Registered before looking, so that a step in between wakes the wait.
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let generated = self.generated_tokens.load(Ordering::Relaxed);
            if generated > tokens || self.ended.get().is_some() {
                return;
            }
            changed.await;
        }
    }
}
