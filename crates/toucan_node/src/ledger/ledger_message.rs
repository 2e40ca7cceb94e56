//! Messages of the ledger duty's ring.

use std::sync::Arc;

use tokio::sync::oneshot;
use toucan_config::Document;
use toucan_ledger::{
    AccountView, AppendOutcome, Holding, IncarnationStatus, ListedState, Statement,
};
use toucan_platform::LogEntry;
use toucan_types::{
    BudgetName, DataCentreName, FastHashMap, IncarnationId, Offset, ShardIndex, VmInstance, VmName,
};
use toucan_wire::PeerTarget;

use crate::shard_sync::{JournalQuery, JournalReply, SyncReply, SyncRequest};

/// Role of this node in one shard, in its data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ShardRole {
    /// This node batches and appends the records of its data centre.
    Batcher {
        /// Node that keeps a replica of this node's outbox, if another one is live.
        replica: Option<PeerTarget>,
    },
    /// Another node batches the records.
    Member {
        /// The batcher.
        batcher: PeerTarget,
        /// Its incarnation, if known.
        incarnation: Option<IncarnationId>,
    },
}

/// State of the VMs of this data centre, for decisions on fencing and releasing incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemberFacts {
    /// Time since each VM instance was last seen, in milliseconds, and its state in the
    /// platform's list.
    pub(crate) instances: FastHashMap<VmInstance, (u64, ListedState)>,
    /// `as_of_ms` of the platform's list, in milliseconds since 1970.
    pub(crate) listed_at_ms: u64,
    /// Other live nodes of the data centre, which may hold journals.
    pub(crate) live_peers: Vec<PeerTarget>,
}

/// Replayed state of one shard, for operators.
#[derive(Clone, Debug)]
pub(crate) struct ShardView {
    /// Next offset to apply; [`None`] while a snapshot is loaded.
    pub(crate) next_offset: Option<Offset>,
    /// Budgets of the shard.
    pub(crate) accounts: Vec<AccountView>,
}

/// Tokens that one incarnation holds of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BudgetHolder {
    /// The budget.
    pub(crate) budget: BudgetName,
    /// VM of the incarnation; empty if it was never announced.
    pub(crate) vm: VmName,
    /// Data centre of the VM.
    pub(crate) data_centre: DataCentreName,
    /// Tokens held, and by which incarnation.
    pub(crate) holding: Holding,
}

impl BudgetHolder {
    /// Returns whether the incarnation may draw.
    pub(crate) fn is_live(&self) -> bool {
        self.holding.status == IncarnationStatus::Live
    }
}

/// One budget with its holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BudgetHoldings {
    /// Totals of the budget.
    pub(crate) account: AccountView,
    /// Holders of outstanding and held tokens.
    pub(crate) holders: Vec<BudgetHolder>,
    /// Offset below which all records are applied.
    pub(crate) as_of: Offset,
}

/// Messages of the ledger duty's ring.
pub(crate) enum LedgerMessage {
    /// Records and queries of this node's own wallet.
    Sync(Box<SyncRequest>),
    /// Records and queries of another node's wallet.
    PeerSync {
        /// The request.
        request: Box<SyncRequest>,
        /// Receives the reply; dropped if the shard is unknown.
        reply: oneshot::Sender<SyncReply>,
    },
    /// Another batcher asks for this node's journal of an incarnation.
    PeerJournal {
        /// The query.
        query: JournalQuery,
        /// Receives the reply.
        reply: oneshot::Sender<JournalReply>,
    },
    /// Another node's journal of an incarnation.
    JournalReceived(JournalReply),
    /// Records of a shard's stream.
    Read {
        /// Shard.
        shard: ShardIndex,
        /// Records in order.
        entries: Vec<LogEntry>,
        /// Offset that the next append gets.
        next_offset: Offset,
    },
    /// The next offset to read has expired.
    Expired {
        /// Shard.
        shard: ShardIndex,
        /// Oldest offset that can be read.
        first: Offset,
    },
    /// Outcome of an append.
    Appended {
        /// Shard.
        shard: ShardIndex,
        /// Number of the batch.
        number: u64,
        /// Outcome.
        outcome: AppendOutcome,
    },
    /// Role of this node in each shard.
    Roles(Vec<ShardRole>),
    /// State of the VMs of this data centre.
    Members(MemberFacts),
    /// The document in force.
    Document(Arc<Document>),
    /// Query for the statement of a budget.
    Statement {
        /// Budget.
        budget: BudgetName,
        /// Receives the statement; [`None`] if this node does not have the budget.
        reply: oneshot::Sender<Option<Statement>>,
    },
    /// Query for the holders of a budget.
    Holdings {
        /// Budget.
        budget: BudgetName,
        /// Receives the holdings; [`None`] if this node does not have the budget.
        reply: oneshot::Sender<Option<BudgetHoldings>>,
    },
    /// Query for the holders of all budgets that this node replays.
    Holders(oneshot::Sender<Vec<BudgetHolder>>),
    /// Query for the state of all shards that this node replays.
    Views(oneshot::Sender<Vec<ShardView>>),
    /// An operator releases the tokens of a crashed incarnation.
    ReleaseByOperator {
        /// Incarnation.
        incarnation: IncarnationId,
        /// Receives the number of shards in which records were submitted.
        reply: oneshot::Sender<u16>,
    },
}
