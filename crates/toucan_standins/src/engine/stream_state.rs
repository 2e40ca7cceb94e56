//! State of a request, from its arrival at the engine until its stream can no longer be resumed.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::Notify;
use toucan_platform::formats::ChatUsage;

use super::EngineRun;

/// State of a request at an engine.
pub(crate) struct StreamState {
    /// Record of the request at the time of its acceptance.
    pub(crate) run: EngineRun,
    pub(crate) seed: u64,
    pub(crate) completion_tokens: u64,
    /// Whether the completion ends because it reaches the request's limit.
    pub(crate) stops_at_limit: bool,
    pub(crate) blocks: Vec<u64>,
    pub(crate) cached_tokens: AtomicU64,
    pub(crate) generated_tokens: AtomicU64,
    pub(crate) cancelled: AtomicBool,
    /// Finish reason and time of the end, in milliseconds since 1970.
    pub(crate) ended: OnceLock<(&'static str, u64)>,
    pub(crate) progressed: Notify,
}

impl StreamState {
    /// Generates one token; returns whether the stream has ended.
    pub(crate) fn step(&self, now_ms: u64) -> bool {
        if self.cancelled.load(Ordering::Relaxed) {
            return self.end("cancelled", now_ms);
        }
        let generated = self.generated_tokens.fetch_add(1, Ordering::Relaxed) + 1;
        if generated >= self.completion_tokens {
            return self.end(
                if self.stops_at_limit {
                    "length"
                } else {
                    "stop"
                },
                now_ms,
            );
        }
        self.progressed.notify_waiters();
        false
    }

    /// Ends the stream, unless it has ended before; always returns true.
    pub(crate) fn end(&self, reason: &'static str, now_ms: u64) -> bool {
        self.ended.get_or_init(|| (reason, now_ms));
        self.progressed.notify_waiters();
        true
    }

    /// Returns the finish reason, or `None` while the stream is in flight.
    pub(crate) fn finish_reason(&self) -> Option<&'static str> {
        self.ended.get().map(|(reason, _)| *reason)
    }

    /// Returns the tokens used so far.
    pub(crate) fn usage(&self) -> ChatUsage {
        let completion_tokens = self.generated_tokens.load(Ordering::Relaxed);
        ChatUsage {
            prompt_tokens: self.run.prompt_tokens,
            completion_tokens,
            total_tokens: self.run.prompt_tokens + completion_tokens,
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
        }
    }

    /// Returns the record of the request in its current state.
    pub(crate) fn execution_record(&self) -> EngineRun {
        EngineRun {
            cached_tokens: self.cached_tokens.load(Ordering::Relaxed),
            generated_tokens: self.generated_tokens.load(Ordering::Relaxed),
            finish_reason: self.finish_reason().map(str::to_owned),
            ..self.run.clone()
        }
    }

    /// Waits until more than this number of tokens have been generated or the stream has ended.
    pub(crate) async fn wait_for_tokens_beyond(&self, tokens: u64) {
        loop {
            // Registered before the check, so that a step in between is not missed.
            let progressed = self.progressed.notified();
            tokio::pin!(progressed);
            progressed.as_mut().enable();
            let generated = self.generated_tokens.load(Ordering::Relaxed);
            if generated > tokens || self.ended.get().is_some() {
                return;
            }
            progressed.await;
        }
    }
}
