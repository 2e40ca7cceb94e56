//! Messages on the VMs of the fleet.

use serde::{Deserialize, Serialize};
use toucan_types::{BudgetName, DataCentreName, IncarnationId, Offset, Tokens, VmName};

use crate::Versions;

/// The fleet as known to the responding node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetResponse {
    /// VM of the responding node.
    pub seen_from: VmName,
    /// VMs, including unreachable ones.
    pub vms: Vec<VmLine>,
}

/// One VM as known to the responding node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmLine {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Process on the VM; [`None`] if no message of one was ever received.
    pub incarnation: Option<IncarnationId>,
    /// Status, such as `live`, `leaving`, `silent` or `fenced`.
    pub stage: String,
    /// Versions in force there, from the last message received.
    pub versions: Option<Versions>,
    /// Offset of the document's stream reached there, from the last message received.
    pub applied_to: Option<Offset>,
    /// Time since the last message from the VM, in milliseconds.
    pub heard_ago_ms: Option<u64>,
    /// Tokens granted to the VM that are unreachable or held.
    pub stranded: Vec<StrandedTokens>,
}

/// Request to release the tokens that a terminated process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Operator's confirmation that the VM is destroyed, so the process cannot run again.
    pub is_destroyed: bool,
}

/// Response to a [`ReleaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// Number of shards at this node for which the release was written.
    pub shards: u16,
}

/// Tokens of one budget that cannot be drawn at present.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrandedTokens {
    /// The budget.
    pub budget: BudgetName,
    /// Number of tokens.
    pub tokens: Tokens,
}
