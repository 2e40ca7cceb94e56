//! Requests that targets ran.

use serde::{Deserialize, Serialize};

/// One request that an engine or a service accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRun {
    /// Name of the target.
    pub target: String,
    /// Time at which the request was accepted.
    pub at_ms: u64,
    /// Identifier of the caller's request.
    pub request_id: String,
    /// Time since the target announced that it is leaving, in milliseconds; none if it had not.
    pub after_leaving_ms: Option<u64>,
    /// Tokens generated.
    pub generated_tokens: u64,
}
