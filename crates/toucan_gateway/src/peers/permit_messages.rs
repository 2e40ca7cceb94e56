//! Messages about the limits of targets and the permits for calls to them.

use toucan_types::TargetName;

use crate::limits::{CallRate, PermitGrant, PermitRequestId};

/// What a target has last said about a limit on its calls. Times are ages, because the clocks of two VMs
/// differ.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ToldLimit {
    /// Target.
    pub target: TargetName,
    /// Unix time of the target's start.
    pub started_at_unix_ms: u64,
    /// Limit on the calls from all gateways together; [`None`] if it named none.
    pub rate: Option<CallRate>,
    /// Time since the target said so.
    pub stated_ms_ago: u64,
}

/// A request for permits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PermitQuery {
    /// What the target has stated, which the receiver may not know.
    pub limit: ToldLimit,
    /// Rate that the sender takes for the limit, since the target states it or is cold.
    pub rate: CallRate,
    /// Id of the request.
    pub id: PermitRequestId,
    /// Number of permits.
    pub permits: u32,
}

/// The answer to a request for permits.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PermitAnswer {
    /// The limit as the sender knows it, perhaps newer than the one in the request.
    pub limit: ToldLimit,
    /// Id of the request.
    pub id: PermitRequestId,
    /// Permits that were granted.
    pub grant: PermitGrant,
}
