//! Reply of a shard's batcher to a node.

use serde::{Deserialize, Serialize};
use toucan_ledger::{IntentKey, WalletUpdate};
use toucan_types::{BillId, IncarnationId, Sequence, ShardIndex, TargetName};

/// Known state of a request that is about to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OpenState {
    /// The request is unknown so far.
    Fresh,
    /// Another incarnation dispatched it to this target and has not billed it.
    OpenElsewhere {
        /// The incarnation.
        incarnation: IncarnationId,
        /// The target.
        target: TargetName,
    },
    /// It was billed before; the target, if known, may still have its response.
    Billed {
        /// The target.
        target: Option<TargetName>,
    },
}

/// Reply to one [`PendingDispatch`](super::PendingDispatch).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenAnswer {
    /// Bill of the request.
    pub(crate) bill: BillId,
    /// Its known state.
    pub(crate) state: OpenState,
}

/// State of a claimed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ClaimState {
    /// The log has not decided yet.
    Pending,
    /// This incarnation has the first claim and may dispatch.
    Owned,
    /// Another claim came first.
    Lost {
        /// The response to the call, if known.
        answer: Option<ClaimAnswer>,
    },
}

/// Known facts about the response to a claimed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// 128-bit digest of the body.
    pub(crate) digest: u128,
}

/// Reply of a shard's batcher to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SyncReply {
    /// Shard.
    pub(crate) shard: ShardIndex,
    /// Incarnation that sent the request.
    pub(crate) incarnation: IncarnationId,
    /// Last record number of the sender that is held without a gap.
    pub(crate) collected: Sequence,
    /// State of the sender in the replayed ledger; [`None`] while the ledger or the sender is unknown.
    pub(crate) update: Option<WalletUpdate>,
    /// Replies to the reservations.
    pub(crate) opens: Vec<OpenAnswer>,
    /// States of the queried claims.
    pub(crate) claims: Vec<(IntentKey, ClaimState)>,
    /// Requests of the sender that another incarnation took over.
    pub(crate) taken_over: Vec<BillId>,
}
