//! What an engine really did, for checks.

use toucan_platform::formats::EngineOrder;

/// One request that the engine took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Name of the engine.
    pub engine: String,
    /// Header `x-request-id`, or an id that the engine made up.
    pub request_id: String,
    /// Content of the last message, by which a check finds the caller's request whatever id a
    /// router gave it.
    pub last_message: String,
    /// Model that was asked for.
    pub model: String,
    /// Header `x-priority`; 0 without one.
    pub priority: i64,
    /// Time at which the request was taken, in milliseconds since 1970.
    pub received_at_ms: u64,
    /// Time between the engine's becoming leaving and the request, in milliseconds.
    pub after_leaving_ms: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: u64,
    /// Tokens generated so far.
    pub generated_tokens: u64,
    /// `stop`, `length` or `cancelled` once ended.
    pub finish_reason: Option<String>,
}

/// One order that the engine carried out or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Time of the order, in milliseconds since 1970.
    pub at_ms: u64,
    /// The order.
    pub order: EngineOrder,
    /// Whether it was carried out.
    pub executed: bool,
}
