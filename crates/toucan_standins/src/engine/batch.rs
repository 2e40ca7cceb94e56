//! Continuous batching: each step generates one token for each running request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use toucan_platform::formats::EngineLoad;

use super::engine_standin::{EngineShared, EngineState};
use super::stream_state::StreamState;
use crate::clock::now_ms;

/// Time between two load reports, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 50;
/// Maximum number of load reports that are kept.
const MAX_LOAD_REPORTS: usize = 256;

/// Runs the batch until the runtime stops.
pub(crate) async fn run_batch(shared: Arc<EngineShared>) {
    let mut next_step = Instant::now();
    loop {
        let step_us = shared.state().fill_batch(&shared);
        let Some(step_us) = step_us else {
            shared.work.notified().await;
            next_step = Instant::now();
            continue;
        };
        next_step += Duration::from_micros(step_us);
        tokio::time::sleep_until(next_step).await;
        shared.wait_while_silent().await;
        shared.state().step(now_ms());
    }
}

/// Records load reports, of which `GET /load` returns one that is old enough.
pub(crate) async fn run_load_reports(shared: Arc<EngineShared>) {
    let mut interval = tokio::time::interval(Duration::from_millis(LOAD_REPORT_INTERVAL_MS));
    loop {
        interval.tick().await;
        let mut state = shared.state();
        let report = shared.load(&state);
        state.load_reports.push_back(report);
        if state.load_reports.len() > MAX_LOAD_REPORTS {
            state.load_reports.pop_front();
        }
    }
}

impl EngineState {
    /// Fills the batch and returns the duration of the next step in microseconds, or `None` if the
    /// batch is empty.
    fn fill_batch(&mut self, shared: &EngineShared) -> Option<u64> {
        let settings = &shared.settings;
        let mut prefill_tokens = 0;
        while self.running.len() < settings.batch_limit as usize {
            let Some(stream) = self.pop_highest_priority() else {
                break;
            };
            let cached = self.cache.store(&stream.blocks, now_ms());
            let cached = cached.min(stream.run.prompt_tokens);
            stream.cached_tokens.store(cached, Ordering::Relaxed);
            prefill_tokens += stream.run.prompt_tokens - cached;
            self.running.push(stream);
        }
        if self.running.is_empty() {
            return None;
        }
        let requests_us = settings.step_per_request_us * self.running.len() as u64;
        Some(settings.step_base_us + requests_us + settings.prefill_token_us * prefill_tokens)
    }

    /// Removes and returns the waiting request of the highest priority, the earliest of several.
    fn pop_highest_priority(&mut self) -> Option<Arc<StreamState>> {
        let priorities = self.waiting.iter().map(|stream| stream.run.priority);
        let highest = priorities.max()?;
        let mut waiting = self.waiting.iter();
        let first = waiting.position(|stream| stream.run.priority == highest)?;
        self.waiting.remove(first)
    }

    fn step(&mut self, now_ms: u64) {
        self.step_tokens
            .push_back((now_ms, self.running.len() as u64));
        self.running.retain(|stream| !stream.step(now_ms));
        while let Some((at_ms, _)) = self.step_tokens.front() {
            if at_ms + 1_000 >= now_ms {
                break;
            }
            self.step_tokens.pop_front();
        }
    }
}

impl EngineShared {
    /// Returns the current load.
    fn load(&self, state: &EngineState) -> EngineLoad {
        let now_ms = now_ms();
        let recent = state.step_tokens.iter();
        let recent = recent.filter(|(at_ms, _)| at_ms + 1_000 >= now_ms);
        let tokens_per_s: u64 = recent.map(|(_, tokens)| tokens).sum();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        EngineLoad {
            as_of_ms: now_ms,
            running: count(state.running.len()),
            waiting: count(state.waiting.len()),
            batch_limit: self.settings.batch_limit,
            kv_used_permille: state.cache.used_permille(),
            tokens_per_s: u32::try_from(tokens_per_s).unwrap_or(u32::MAX),
            models: state.models.clone(),
            role: state.role,
            leaving: state.leaving_since_ms.is_some(),
            fencing_number: if self.settings.honours_fencing {
                state.fencing_number
            } else {
                0
            },
        }
    }

    /// Returns the newest report that is at least as old as the lag, or the oldest one of all.
    pub(crate) fn delayed_load(&self) -> EngineLoad {
        let state = self.state();
        let newest_visible_ms = now_ms().saturating_sub(self.settings.load_lag_ms);
        let mut reports = state.load_reports.iter().rev();
        let visible = reports.find(|report| report.as_of_ms <= newest_visible_ms);
        let report = visible.or(state.load_reports.front()).cloned();
        report.unwrap_or_else(|| self.load(&state))
    }
}
