//! Messages of the peers duty's ring.

use toucan_types::{BudgetName, IncarnationId, Offset, Tokens};
use toucan_wire::{Heartbeat, PeerTarget};

use crate::shard_sync::{NodeRequest, SyncReply, SyncRequest};

/// Messages of the peers duty's ring.
pub(crate) enum PeersMessage {
    /// Sends a wallet's new records to the batcher, or to the replica.
    Sync {
        /// Batcher or replica.
        to: PeerTarget,
        /// The wallet's new records.
        request: Box<SyncRequest>,
        /// This node's own reply, if it is the batcher and `to` is the replica.
        local: Option<Box<SyncReply>>,
    },
    /// Requests a journal from another node; the reply goes to the ledger duty.
    RequestJournal {
        /// Node to send the request to.
        to: PeerTarget,
        /// The request.
        request: NodeRequest,
    },
    /// Requests unspent grant from live peers.
    AskGrant {
        /// Budget.
        budget: BudgetName,
        /// Tokens wanted.
        tokens: Tokens,
        /// Incarnation that receives the grant.
        to: IncarnationId,
    },
    /// Sends a heartbeat.
    Heartbeat {
        /// Receiver.
        to: PeerTarget,
        /// Heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// Requests records of the document.
    DocumentSince {
        /// Node to send the request to.
        to: PeerTarget,
        /// First offset wanted.
        from: Offset,
    },
    /// The other live nodes of the data centre.
    LivePeers(Vec<PeerTarget>),
    /// Tells the live peers that this node is leaving.
    AnnounceLeaving,
}
