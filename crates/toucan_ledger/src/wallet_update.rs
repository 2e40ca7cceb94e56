//! Updates on a node's grants, as a record batcher sends them.

use serde::{Deserialize, Serialize};
use toucan_types::{BudgetName, IncarnationId, Offset, Sequence, Tokens};

/// State of one incarnation in the ledger of one stream, or the part of it that changed.
///
/// Totals are cumulative, so any later update replaces a lost one and a repeated one changes
/// nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WalletUpdate {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// Last offset that the state covers.
    pub up_to: Offset,
    /// Last sequence number of the incarnation that is applied.
    pub watermark: Sequence,
    /// Whether the incarnation is fenced, released or ended and must admit nothing more.
    pub fenced: bool,
    /// Fenced and released incarnations of the same data centre.
    ///
    /// The node sends its records to none of them any more, so that a release can do without their
    /// journals.
    pub fenced_peers: Vec<IncarnationId>,
    /// Incarnations of other processes on the same VM instance that are neither ended nor
    /// succeeded.
    pub predecessors: Vec<IncarnationId>,
    /// Granted totals of budgets.
    pub grants: Vec<GrantTotal>,
    /// Transfers to this incarnation whose receipt is not applied.
    pub in_transit: Vec<TransferDetails>,
    /// Totals of budgets, for the sizing of draws.
    pub hints: Vec<BudgetHint>,
}

/// Tokens granted to an incarnation for one budget since one of its numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTotal {
    /// The budget.
    pub budget: BudgetName,
    /// First sequence number of the incarnation that the total may include.
    pub since: Sequence,
    /// Tokens granted since then by draws and applied receipts of transfers.
    pub granted_tokens: Tokens,
}

/// Sender, recipient and amount of a transfer, identified by the sender and its sequence number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferDetails {
    /// Incarnation that sends.
    pub from: IncarnationId,
    /// Its sequence number of the `Transfer` record.
    pub sequence: Sequence,
    /// Incarnation that receives.
    pub to: IncarnationId,
    /// The budget.
    pub budget: BudgetName,
    /// Tokens moved.
    pub tokens: Tokens,
}

/// Totals of one budget, for the sizing of draws.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHint {
    /// The budget.
    pub budget: BudgetName,
    /// Purchased total.
    pub purchased_tokens: Tokens,
    /// Tokens that may be drawn.
    pub remaining_tokens: Tokens,
    /// Tokens billed.
    pub spent_tokens: Tokens,
    /// Number of live incarnations that hold a grant.
    #[serde(rename = "drawers")]
    pub holder_count: u32,
}
