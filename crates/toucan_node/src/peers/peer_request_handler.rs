//! Handles the requests of other nodes.

use bytes::Bytes;
use tokio::sync::oneshot;
use toucan_types::{BudgetName, IncarnationId, Offset, Tokens};
use toucan_wire::{
    Heartbeat, MemberState, PeerHandler, PeerIdentity, Reply, Request, ShardEntries, ShutdownNotice,
};

use super::{PeersLinks, peers_duty::first_entry};
use crate::{
    admission::AdmissionMessage,
    document::DocumentMessage,
    ledger::LedgerMessage,
    membership::MembershipMessage,
    shard_sync::{NodeReply, NodeRequest, decode, encode},
};

/// Answers the requests of other nodes by querying the duties of this node.
pub(crate) struct PeerRequestHandler {
    links: PeersLinks,
}

impl PeerRequestHandler {
    /// Creates a handler that reaches the duties over these rings.
    pub(crate) fn new(links: PeersLinks) -> Self {
        Self { links }
    }

    async fn shard_reply(&self, entries: &[ShardEntries]) -> Option<Reply> {
        let request: NodeRequest = decode(first_entry(entries)?)?;
        let shard = request.shard();
        let response = match request {
            NodeRequest::Sync(request) => {
                let (reply, response) = oneshot::channel();
                self.links
                    .ledger
                    .try_send(LedgerMessage::PeerSync { request, reply })
                    .ok()?;
                NodeReply::Sync(Box::new(response.await.ok()?))
            }
            NodeRequest::Journal(query) => {
                let (reply, response) = oneshot::channel();
                self.links
                    .ledger
                    .try_send(LedgerMessage::PeerJournal { query, reply })
                    .ok()?;
                NodeReply::Journal(Box::new(response.await.ok()?))
            }
        };
        let acknowledgements = vec![ShardEntries {
            shard,
            entries: vec![encode(&response)?],
        }];
        Some(Reply::Journaled { acknowledgements })
    }

    async fn transfer_grant(&self, budget: BudgetName, tokens: Tokens, to: IncarnationId) -> Reply {
        let nothing = Reply::GrantTransferred {
            budget: budget.clone(),
            tokens: Tokens::ZERO,
            transfer: Bytes::new(),
        };
        if to == IncarnationId::default() {
            return nothing;
        }
        let (reply, transferred) = oneshot::channel();
        let message = AdmissionMessage::TransferGrant {
            budget: budget.clone(),
            tokens,
            to,
            reply,
        };
        if self.links.admission.try_send(message).is_err() {
            return nothing;
        }
        let Ok(grant_transfer) = transferred.await else {
            return nothing;
        };
        let tokens = grant_transfer.note.tokens;
        encode(&grant_transfer).map_or(nothing, |transfer| Reply::GrantTransferred {
            budget,
            tokens,
            transfer,
        })
    }

    async fn document(&self, from: Offset, limit: u32) -> Reply {
        let (reply, response) = oneshot::channel();
        let message = DocumentMessage::RecordsSince { from, limit, reply };
        if self.links.document.try_send(message).is_err() {
            return busy();
        }
        response.await.unwrap_or_else(|_dropped| busy())
    }

    async fn heartbeat(&self, heartbeat: Box<Heartbeat>) -> Reply {
        let (reply, own) = oneshot::channel();
        let message = MembershipMessage::HeartbeatRequest { heartbeat, reply };
        if self.links.membership.try_send(message).is_err() {
            return busy();
        }
        own.await
            .map_or_else(|_dropped| busy(), |own| Reply::Heartbeat(Box::new(own)))
    }

    fn announce_state(&self, notice: &ShutdownNotice, state: MemberState) -> Reply {
        let _full = self
            .links
            .membership
            .try_send(MembershipMessage::StateAnnounced {
                instance: notice.instance.clone(),
                incarnation: notice.incarnation,
                state,
            });
        Reply::Done
    }
}

impl PeerHandler for PeerRequestHandler {
    async fn handle(&self, _peer: PeerIdentity, request: Request) -> Reply {
        match request {
            Request::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            Request::Journal(entries) => self.shard_reply(&entries).await.unwrap_or_else(busy),
            Request::AskGrant { budget, tokens, to } => {
                self.transfer_grant(budget, tokens, to).await
            }
            Request::DocumentSince { from, limit } => self.document(from, limit).await,
            Request::Leaving(notice) => self.announce_state(&notice, MemberState::Leaving),
            Request::Shutdown(notice) => self.announce_state(&notice, MemberState::Gone),
            Request::GrantsPushed(_) | Request::Hints(_) => Reply::Done,
        }
    }
}

fn busy() -> Reply {
    Reply::Refused {
        reason: "busy".to_owned(),
    }
}
