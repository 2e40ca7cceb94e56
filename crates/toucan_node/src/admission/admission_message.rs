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

/// A target as listed by the platform and the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownTarget {
    /// Description for the target table.
    pub(crate) description: TargetDescription,
    /// Address on which it listens.
    pub(crate) address: SocketAddr,
    /// Whether it is a model engine.
    pub(crate) is_engine: bool,
    /// Whether the platform reports that it is leaving.
    pub(crate) leaving_by_platform: bool,
    /// Whether an operator drains it in the document.
    pub(crate) drained_by_operator: bool,
}

/// Messages of the admission duty's ring.
pub(crate) enum AdmissionMessage {
    /// Admits a request: reserves its tokens, queues it and chooses its target.
    Admit {
        /// The request.
        request: Box<AdmissionRequest>,
        /// Receives the ticket or the refusal.
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
        /// Receives the next step.
        reply: oneshot::Sender<NextAttempt>,
    },
    /// A request ended.
    Finish {
        /// The request.
        ticket: TicketId,
        /// Outcome.
        outcome: RequestOutcome,
        /// Notified once the bill is durable, that is, known outside this VM.
        durable: oneshot::Sender<()>,
    },
    /// Claims a call that must not run twice.
    Claim {
        /// Key of the call.
        key: IntentKey,
        /// Receives the state once the log has decided.
        reply: oneshot::Sender<ClaimState>,
    },
    /// The outcome of a claimed call is known.
    ClaimDone {
        /// Key of the call.
        key: IntentKey,
        /// HTTP status of the response.
        status: u16,
        /// 128-bit digest of the response body.
        digest: u128,
    },
    /// The batcher of a shard replied.
    Synced(Box<SyncReply>),
    /// The batcher of a shard is unreachable.
    SyncFailed(ShardIndex),
    /// Another node became the batcher of a shard.
    BatcherChanged {
        /// Shard.
        shard: ShardIndex,
        /// Incarnation of the batcher; [`None`] if it is this node or unknown.
        batcher: Option<IncarnationId>,
    },
    /// A peer requests unspent tokens.
    TransferGrant {
        /// Budget.
        budget: BudgetName,
        /// Requested tokens.
        tokens: Tokens,
        /// Incarnation that receives the tokens.
        to: IncarnationId,
        /// Receives the transfer once its record is durable; dropped if nothing can be transferred.
        reply: oneshot::Sender<GrantTransfer>,
    },
    /// A peer transferred tokens.
    ReceiveGrant(GrantTransfer),
    /// The targets known now.
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
    /// Numbers of live router VMs, this one included.
    Nodes {
        /// In this data centre.
        here: u32,
        /// In all data centres.
        all: u32,
    },
    /// The node is stopping; new requests are refused.
    Drain,
    /// Ends the incarnation once no request is in flight.
    ///
    /// The sender is notified when all records were read back from the log or handed over.
    ShutDown(oneshot::Sender<()>),
}
