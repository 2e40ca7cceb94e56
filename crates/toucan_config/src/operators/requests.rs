//! Messages that explain the processing of one request.

use serde::{Deserialize, Serialize};
use toucan_types::{BillId, BudgetName, OrganisationName, RequestId, Tokens};

/// Explanation of how one request was processed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainResponse {
    /// The request.
    pub request: RequestId,
    /// Organisation of its caller.
    pub organisation: OrganisationName,
    /// Identifier of its bill, which ensures that it is billed at most once.
    pub bill: BillId,
    /// Budget that it is billed to; empty if it was refused before one was chosen.
    pub budget: BudgetName,
    /// Tokens billed; [`None`] if no bill is known.
    pub billed_tokens: Option<Tokens>,
    /// Steps known to the responding node, oldest first.
    pub steps: Vec<ExplainStep>,
}

/// One step of the processing of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainStep {
    /// Time in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the step, such as `reserve` or `dispatch`.
    pub step: String,
    /// Result of the step and its reason.
    pub detail: String,
}
