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

/// Who gathers the records of one shard in this data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ShardRole {
    /// This node; the witness keeps copies of its own records.
    Batcher {
        /// Another node of the data centre, if one is live.
        replica: Option<PeerTarget>,
    },
    /// Another node.
    Member {
        /// The gatherer.
        batcher: PeerTarget,
        /// Its incarnation, if it was heard of.
        incarnation: Option<IncarnationId>,
    },
}

/// What is known of the VMs of this data centre, for the verdicts on their incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct MemberFacts {
    /// Time since a VM instance was heard of, in milliseconds, and what the platform says of it.
    pub(crate) instances: FastHashMap<VmInstance, (u64, ListedState)>,
    /// `as_of_ms` of the platform's list, in milliseconds since 1970.
    pub(crate) listed_at_ms: u64,
    /// Live other nodes of the data centre, which may hold journals.
    pub(crate) live_peers: Vec<PeerTarget>,
}

/// What the fold of one shard looks like, for operators.
#[derive(Clone, Debug)]
pub(crate) struct ShardView {
    /// Next offset to fold; [`None`] while the fold is loading.
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
    /// Its data centre.
    pub(crate) data_centre: DataCentreName,
    /// What it holds.
    pub(crate) holding: Holding,
}

impl BudgetHolder {
    /// Whether the incarnation may draw.
    pub(crate) fn is_live(&self) -> bool {
        self.holding.status == IncarnationStatus::Live
    }
}

/// One budget with its holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BudgetHoldings {
    /// The terms.
    pub(crate) account: AccountView,
    /// Who holds what is outstanding or held.
    pub(crate) holders: Vec<BudgetHolder>,
    /// Offset below which all records are counted in.
    pub(crate) as_of: Offset,
}

/// Messages of the ledger duty's ring.
pub(crate) enum LedgerMessage {
    /// This node's own wallet writes and asks.
    Sync(Box<SyncRequest>),
    /// Another node's wallet writes and asks.
    PeerSync {
        /// What it says.
        request: Box<SyncRequest>,
        /// Gets the answer; dropped if the records could not be taken.
        reply: oneshot::Sender<SyncReply>,
    },
    /// Another gatherer asks what this node holds of an incarnation.
    PeerJournal {
        /// The question.
        query: JournalQuery,
        /// Gets the answer.
        reply: oneshot::Sender<JournalReply>,
    },
    /// Another node's answer about an incarnation.
    JournalReceived(JournalReply),
    /// Records of a shard's stream.
    Read {
        /// Shard.
        shard: ShardIndex,
        /// The records in order.
        entries: Vec<LogEntry>,
        /// Offset that the next append gets.
        next_offset: Offset,
    },
    /// The offset that was to be read has expired.
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
    /// Who gathers which shard.
    Roles(Vec<ShardRole>),
    /// What is known of the VMs of this data centre.
    Members(MemberFacts),
    /// The document in force.
    Document(Arc<Document>),
    /// An operator asks for a budget; the reply is dropped if this node does not fold it.
    Statement {
        /// Budget.
        budget: BudgetName,
        /// Gets the statement.
        reply: oneshot::Sender<Option<Statement>>,
    },
    /// An operator asks who holds what of a budget.
    Holdings {
        /// Budget.
        budget: BudgetName,
        /// Gets the holdings; [`None`] if this node does not fold the budget.
        reply: oneshot::Sender<Option<BudgetHoldings>>,
    },
    /// An operator asks who holds what of all budgets that this node folds.
    Holders(oneshot::Sender<Vec<BudgetHolder>>),
    /// An operator asks for all folds of this node.
    Views(oneshot::Sender<Vec<ShardView>>),
    /// An operator releases what a dead incarnation holds.
    ReleaseByOperator {
        /// Incarnation.
        incarnation: IncarnationId,
        /// Gets the number of shards for which records were written.
        reply: oneshot::Sender<u16>,
    },
}
