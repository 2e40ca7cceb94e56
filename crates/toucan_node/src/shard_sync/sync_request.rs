//! Request of a node to a shard's batcher.

use serde::{Deserialize, Serialize};
use toucan_ledger::{IntentKey, LedgerRecord, OpenReservation};
use toucan_types::{BillId, BudgetName, IncarnationId, Offset, Sequence, ShardIndex, TargetName};

/// Reservation of a request that is about to be dispatched, with its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PendingDispatch {
    /// The reservation.
    pub(crate) reservation: OpenReservation,
    /// Target of the request.
    pub(crate) target: TargetName,
}

/// Records and queries of a node for a shard's batcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    /// Shard.
    pub(crate) shard: ShardIndex,
    /// Incarnation that sends.
    pub(crate) incarnation: IncarnationId,
    /// Whether the receiver only keeps a replica, because the sender itself is the batcher.
    pub(crate) copy_only: bool,
    /// Last record number of the sender that was read back from the log.
    pub(crate) folded: Sequence,
    /// Offset up to which the sender applied the log, if the receiver has all records not read back.
    pub(crate) confirmed: Option<Offset>,
    /// Numbered records in order.
    pub(crate) records: Vec<LedgerRecord>,
    /// Requests about to be dispatched.
    pub(crate) opens: Vec<PendingDispatch>,
    /// Requests that did not run.
    pub(crate) closes: Vec<BillId>,
    /// Queried budgets.
    pub(crate) budgets: Vec<BudgetName>,
    /// Queried claims.
    pub(crate) claims: Vec<IntentKey>,
}

impl SyncRequest {
    /// Returns an empty request, with a watermark of 0.
    pub(crate) fn new(shard: ShardIndex, incarnation: IncarnationId) -> Self {
        Self {
            shard,
            incarnation,
            copy_only: false,
            folded: Sequence(0),
            confirmed: None,
            records: Vec::new(),
            opens: Vec::new(),
            closes: Vec::new(),
            budgets: Vec::new(),
            claims: Vec::new(),
        }
    }
}
