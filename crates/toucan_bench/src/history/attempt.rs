//! One attempt of a caller at one node.

use serde::{Deserialize, Serialize};

/// Whether a refused request ran, according to the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It did not run.
    No,
    /// It may have run.
    Unknown,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Outcome {
    /// The answer was received completely.
    Answered {
        /// Text of the answer.
        text: String,
        /// Tokens used: the reported usage of a model, the billed cost of a plain service.
        usage_tokens: u64,
    },
    /// The node refused the request.
    Refused {
        /// HTTP status.
        status: u16,
        /// Stable error code.
        code: String,
        /// Whether the request ran.
        ran: RunStatus,
    },
    /// No answer, or an incomplete one.
    Broken {
        /// Text received until then.
        text: String,
    },
}

/// One attempt of a caller at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Name of the node.
    pub node: String,
    /// Start of the attempt.
    pub started_ms: u64,
    /// End of the attempt.
    pub ended_ms: u64,
    /// Time from the start to the first text, in microseconds.
    pub first_token_us: Option<u64>,
    /// Mean time between two texts of a stream, in microseconds.
    pub between_tokens_us: Option<u64>,
    /// Outcome.
    pub outcome: Outcome,
}
