//! Records of what an engine did, for tests.

use toucan_platform::formats::EngineOrder;

/// A request that the engine accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Name of the engine.
    pub engine: String,
    /// Header `x-request-id`, or an id that the engine generated.
    pub request_id: String,
    /// Content of the last message, which identifies the caller's request independently of the id
    /// that a router gave it.
    pub last_message: String,
    /// Requested model.
    pub model: String,
    /// Header `x-priority`; 0 if it is missing.
    pub priority: i64,
    /// Time of the request's arrival, in milliseconds since 1970.
    pub received_at_ms: u64,
    /// Time from the start of the engine's leaving to the request, in milliseconds; `None` if the
    /// engine was not leaving.
    pub after_leaving_ms: Option<u64>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Number of tokens generated so far.
    pub generated_tokens: u64,
    /// `stop`, `length` or `cancelled`; `None` while the request is in flight.
    pub finish_reason: Option<String>,
}

/// An order that the engine received and either executed or refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOrder {
    /// Time at which the engine executed or refused the order, in milliseconds since 1970.
    pub at_ms: u64,
    /// The order.
    pub order: EngineOrder,
    /// Whether the order was executed.
    pub executed: bool,
}
