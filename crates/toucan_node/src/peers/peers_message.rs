//! Messages of the peers duty's ring.

use toucan_types::{BudgetName, IncarnationId, Offset, Tokens};
use toucan_wire::{Heartbeat, PeerTarget};

use crate::shard_sync::{NodeRequest, SyncReply, SyncRequest};

/// Messages of the peers duty's ring.
pub(crate) enum PeersMessage {
    /// Sends what a wallet writes to the gatherer, or to the witness.
    Sync {
        /// Gatherer or witness.
        to: PeerTarget,
        /// What the wallet writes.
        request: Box<SyncRequest>,
        /// This node's own answer, if it is the gatherer and `to` the witness.
        local: Option<Box<SyncReply>>,
    },
    /// Puts a question whose answer goes to the ledger duty.
    RequestJournal {
        /// Node that is asked.
        to: PeerTarget,
        /// Question.
        request: NodeRequest,
    },
    /// Asks the neighbours for unspent grant.
    AskGrant {
        /// Budget.
        budget: BudgetName,
        /// Tokens wanted.
        tokens: Tokens,
        /// Incarnation that takes.
        to: IncarnationId,
    },
    /// Sends a heartbeat.
    Heartbeat {
        /// Receiver.
        to: PeerTarget,
        /// Heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// Asks for the document.
    DocumentSince {
        /// Node that is asked.
        to: PeerTarget,
        /// First offset wanted.
        from: Offset,
    },
    /// The live other nodes of the data centre.
    Neighbours(Vec<PeerTarget>),
    /// Tells the neighbours that this node stops.
    Leaving,
}
