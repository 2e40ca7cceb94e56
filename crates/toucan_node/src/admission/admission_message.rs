//! Messages of the admission duty's ring.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::oneshot;
use toucan_config::Document;
use toucan_ledger::{GrantTransfer, IntentKey};
use toucan_platform::formats::{CacheEventPage, EngineLoad};
use toucan_router::{AttemptOutcome, TargetDescription};
use toucan_types::{BudgetName, IncarnationId, ShardIndex, TargetName, Tokens};

use super::{
    AdmissionRequest,
    ticket::{NextAttempt, RequestOutcome, Ticket, TicketId},
};
use crate::{
    callers::Refusal,
    shard_sync::{ClaimState, SyncReply},
};

/// A target as the VM list and the document give it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownTarget {
    /// What it is.
    pub(crate) description: TargetDescription,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether it is a model engine.
    pub(crate) is_engine: bool,
    /// Whether the platform says that it leaves.
    pub(crate) leaving_by_platform: bool,
    /// Whether the document drains it.
    pub(crate) drained_by_operator: bool,
}

/// Messages of the admission duty's ring.
pub(crate) enum AdmissionMessage {
    /// Admits a request: reserves its tokens, queues it and chooses its target.
    Admit {
        /// The request.
        request: Box<AdmissionRequest>,
        /// Gets the ticket or the refusal.
        reply: oneshot::Sender<Result<Ticket, Refusal>>,
    },
    /// The first token of a request arrived.
    FirstToken(TicketId),
    /// An attempt of a request failed.
    AttemptFailed {
        /// The request.
        ticket: TicketId,
        /// How the attempt failed.
        outcome: AttemptOutcome,
        /// Gets what to do next.
        reply: oneshot::Sender<NextAttempt>,
    },
    /// A request ended.
    Finish {
        /// The request.
        ticket: TicketId,
        /// How it ended.
        outcome: RequestOutcome,
        /// Gets a word once the bill is known outside this VM.
        durable: oneshot::Sender<()>,
    },
    /// Claims a call that may not be repeated.
    Claim {
        /// Key of the call.
        key: IntentKey,
        /// Gets the state once the log has decided.
        reply: oneshot::Sender<ClaimState>,
    },
    /// The outcome of a claimed call is known.
    ClaimDone {
        /// Key of the call.
        key: IntentKey,
        /// HTTP status of the answer.
        status: u16,
        /// 128-bit digest of the answer's body.
        digest: u128,
    },
    /// The gatherer of a shard answered.
    Synced(Box<SyncReply>),
    /// The gatherer of a shard cannot be reached.
    SyncFailed(ShardIndex),
    /// Another node became the gatherer of a shard.
    GathererChanged {
        /// Shard.
        shard: ShardIndex,
        /// Its incarnation; [`None`] for this node or if it was not heard of.
        holder: Option<IncarnationId>,
    },
    /// A neighbour asks for unspent grant.
    TransferGrant {
        /// Budget.
        budget: BudgetName,
        /// Tokens wanted.
        tokens: Tokens,
        /// Incarnation that takes.
        to: IncarnationId,
        /// Gets the transfer once its record is known outside; dropped if nothing is given.
        reply: oneshot::Sender<GrantTransfer>,
    },
    /// A neighbour gave grant.
    ReceiveGrant(GrantTransfer),
    /// The targets that are known now.
    Targets(Vec<KnownTarget>),
    /// A target reported its load.
    Load {
        /// Target.
        target: TargetName,
        /// Report.
        load: EngineLoad,
    },
    /// A target published cache events.
    CacheEvents {
        /// Target.
        target: TargetName,
        /// Events.
        page: CacheEventPage,
    },
    /// The document in force.
    Document(Arc<Document>),
    /// Number of live router VMs: in this data centre, and in all.
    Nodes {
        /// In this data centre.
        here: u32,
        /// In all data centres.
        all: u32,
    },
    /// The node stops: no request is admitted any more.
    Drain,
    /// Ends the incarnation once no request runs; gets a word when all is read back or handed on.
    ShutDown(oneshot::Sender<()>),
}
