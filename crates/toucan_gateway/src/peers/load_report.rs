//! The load of one gateway, as it tells the others.

use toucan_types::TargetName;

use crate::overload::{OrganisationWork, ReliefPhase, ToldUrgencyTokens};

/// The load of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Its calls at targets. Targets that are not listed have none.
    pub calls: Vec<TargetCalls>,
    /// Part of its resources that is in use.
    pub utilisation_permille: u32,
    /// How far it is in moving callers to others of its data centre.
    pub relief: ReliefPhase,
    /// Work of organisations; [`None`] if the last report of it still holds.
    pub work: Option<Vec<OrganisationWork>>,
}

/// The calls of one gateway at one target.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TargetCalls {
    /// Target.
    pub target: TargetName,
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Prompt tokens of those calls that the target still has to process.
    pub unread_tokens: u64,
    /// The same by the urgency of the calls.
    pub unread_by_urgency: ToldUrgencyTokens,
    /// Tokens of those calls in the target's KV cache, with the output that is expected.
    pub kv_tokens: u64,
}
