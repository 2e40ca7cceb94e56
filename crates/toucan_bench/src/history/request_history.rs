//! One request of a caller with all its attempts.

use serde::{Deserialize, Serialize};

use super::{Attempt, Outcome, RunStatus};

/// Expected answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Expectation {
    /// The text that every engine generates for the request.
    Text {
        /// The complete text.
        text: String,
        /// Tokens of prompt and answer.
        usage_tokens: u64,
    },
    /// Any answer of a plain service that contains this text.
    Echo {
        /// Text that the service echoes.
        text: String,
    },
}

/// One request of a caller with all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestHistory {
    /// Organisation of the caller.
    pub organisation: String,
    /// Budget that pays.
    pub budget: String,
    /// Identifier; the same in each attempt.
    pub request_id: String,
    /// Identifier of the bill in hexadecimal digits.
    pub bill: String,
    /// Maximum number of tokens that the request can cost.
    pub most_tokens: u64,
    /// Whether it must run at most once.
    pub non_idempotent: bool,
    /// Expected answer.
    pub expectation: Expectation,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
}

impl RequestHistory {
    /// Returns whether any attempt was answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| matches!(attempt.outcome, Outcome::Answered { .. }))
    }

    /// Returns the tokens used by the answer; 0 if no attempt was answered.
    #[must_use]
    pub fn usage_tokens(&self) -> u64 {
        let usages = self.attempts.iter().map(|attempt| match attempt.outcome {
            Outcome::Answered { usage_tokens, .. } => usage_tokens,
            Outcome::Refused { .. } | Outcome::Broken { .. } => 0,
        });
        usages.max().unwrap_or(0)
    }

    /// Returns whether every attempt was refused as not run.
    #[must_use]
    pub fn is_refused_as_not_run(&self) -> bool {
        self.attempts.iter().all(Attempt::is_refused_as_not_run)
    }

    /// Returns the start of the first attempt; 0 without attempts.
    #[must_use]
    pub fn started_ms(&self) -> u64 {
        self.attempts
            .first()
            .map_or(0, |attempt| attempt.started_ms)
    }

    /// Returns the end of the last attempt; 0 without attempts.
    #[must_use]
    pub fn ended_ms(&self) -> u64 {
        self.attempts.last().map_or(0, |attempt| attempt.ended_ms)
    }
}

impl Attempt {
    /// Returns whether the attempt was refused as not run.
    #[must_use]
    pub fn is_refused_as_not_run(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Refused {
                ran: RunStatus::No,
                ..
            }
        )
    }
}
