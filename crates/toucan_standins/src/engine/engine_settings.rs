//! Settings of an engine.

use serde::{Deserialize, Serialize};

/// Settings of an engine; the default generates about 60 tokens per second for a single request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the target.
    pub name: String,
    /// Models loaded at the start, as `model` or `model@version`.
    pub models: Vec<String>,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
    /// Maximum number of waiting requests; further ones are answered with 503.
    pub waiting_limit: u32,
    /// Fixed part of a step's duration, in microseconds; each step generates one token per request.
    pub step_base_us: u64,
    /// Time that each request of the batch adds to a step, in microseconds.
    pub step_per_request_us: u64,
    /// Time that each uncached prompt token adds to the step that admits its request, in
    /// microseconds.
    pub prefill_token_us: u64,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Number of tokens per block.
    pub block_tokens: u32,
    /// Minimum age of the load reports that are returned, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay after which a cache event becomes visible, in milliseconds.
    pub event_lag_ms: u64,
    /// Fraction of the cache events that are lost, in thousandths.
    pub event_loss_permille: u64,
    /// Time for which an ended stream can be resumed, in milliseconds.
    pub keep_streams_ms: u64,
    /// Time to load a model, in milliseconds.
    pub load_model_ms: u64,
    /// Whether the engine refuses an order whose fencing number is lower than an earlier one.
    pub honours_fencing: bool,
    /// Seed that decides which cache events are lost.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            models: vec!["drafter".to_owned()],
            batch_limit: 16,
            waiting_limit: 256,
            step_base_us: 12_000,
            step_per_request_us: 500,
            prefill_token_us: 40,
            cache_blocks: 4_096,
            block_tokens: 16,
            load_lag_ms: 300,
            event_lag_ms: 300,
            event_loss_permille: 20,
            keep_streams_ms: 60_000,
            load_model_ms: 500,
            honours_fencing: true,
            seed: 0,
        }
    }
}
