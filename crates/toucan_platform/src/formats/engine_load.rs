//! Load report of an engine, `GET /load`.

use serde::{Deserialize, Serialize};

use super::EngineRole;

/// Load of an engine; the report lags behind the actual load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Time as of which the report is accurate, in milliseconds since 1970.
    pub as_of_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a slot in the batch.
    pub waiting: u32,
    /// Maximum number of requests in the batch.
    pub batch_limit: u32,
    /// Fraction of the KV memory in use, in thousandths.
    pub kv_used_permille: u32,
    /// Tokens generated per second by all requests, averaged over the last few seconds.
    pub tokens_per_s: u32,
    /// Loaded models, as `model`, `model@version` or `model@version+adapter`.
    pub models: Vec<String>,
    /// Role of the engine.
    pub role: EngineRole,
    /// Whether the engine is about to stop and should get no new work.
    pub leaving: bool,
    /// Largest fencing number received in an order; 0 if the engine ignores fencing numbers.
    pub fencing_number: u64,
}
