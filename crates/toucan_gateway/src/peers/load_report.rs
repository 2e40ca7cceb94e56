//! The load of one gateway, as it tells the others.

use toucan_types::TargetName;

use crate::placement::PaceReport;

/// The load of one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Its calls at targets. Targets that are not listed have none.
    pub calls: Vec<TargetCalls>,
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
    /// Tokens of those calls in the target's KV cache, with the output that is expected.
    pub kv_tokens: u64,
    /// Samples of the target's pace since the last report.
    pub pace: PaceReport,
    /// Lowest bits of the Unix time of the target's start that the samples are of, in milliseconds.
    pub pace_start: u16,
}
