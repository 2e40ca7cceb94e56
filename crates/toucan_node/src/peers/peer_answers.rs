//! Answers to the requests of other nodes.

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

/// Answers other nodes by asking the duties of this one.
pub(crate) struct PeerAnswers {
    links: PeersLinks,
}

impl PeerAnswers {
    /// Answers over these rings.
    pub(crate) fn new(links: PeersLinks) -> Self {
        Self { links }
    }

    async fn answer(&self, entries: &[ShardEntries]) -> Option<Reply> {
        let question: NodeRequest = decode(first_entry(entries)?)?;
        let shard = question.shard();
        let answer = match question {
            NodeRequest::Sync(request) => {
                let (reply, answer) = oneshot::channel();
                self.links
                    .ledger
                    .try_send(LedgerMessage::PeerSync { request, reply })
                    .ok()?;
                NodeReply::Sync(Box::new(answer.await.ok()?))
            }
            NodeRequest::Journal(query) => {
                let (reply, answer) = oneshot::channel();
                self.links
                    .ledger
                    .try_send(LedgerMessage::PeerJournal { query, reply })
                    .ok()?;
                NodeReply::Journal(Box::new(answer.await.ok()?))
            }
        };
        let acknowledgements = vec![ShardEntries {
            shard,
            entries: vec![encode(&answer)?],
        }];
        Some(Reply::Journaled { acknowledgements })
    }

    async fn give(&self, budget: BudgetName, tokens: Tokens, to: IncarnationId) -> Reply {
        let nothing = Reply::GrantTransferred {
            budget: budget.clone(),
            tokens: Tokens::ZERO,
            transfer: Bytes::new(),
        };
        if to == IncarnationId::default() {
            return nothing;
        }
        let (reply, given) = oneshot::channel();
        let ask = AdmissionMessage::TransferGrant {
            budget: budget.clone(),
            tokens,
            to,
            reply,
        };
        if self.links.admission.try_send(ask).is_err() {
            return nothing;
        }
        let Ok(grant_transfer) = given.await else {
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
        let (reply, answer) = oneshot::channel();
        let ask = DocumentMessage::PeerSince { from, limit, reply };
        if self.links.document.try_send(ask).is_err() {
            return busy();
        }
        answer.await.unwrap_or_else(|_dropped| busy())
    }

    async fn heartbeat(&self, heartbeat: Box<Heartbeat>) -> Reply {
        let (reply, own) = oneshot::channel();
        let asked = MembershipMessage::Asked { heartbeat, reply };
        if self.links.membership.try_send(asked).is_err() {
            return busy();
        }
        own.await
            .map_or_else(|_dropped| busy(), |own| Reply::Heartbeat(Box::new(own)))
    }

    fn declare(&self, farewell: &ShutdownNotice, state: MemberState) -> Reply {
        let _full = self.links.membership.try_send(MembershipMessage::Declared {
            instance: farewell.instance.clone(),
            incarnation: farewell.incarnation,
            state,
        });
        Reply::Done
    }
}

impl PeerHandler for PeerAnswers {
    async fn handle(&self, _peer: PeerIdentity, request: Request) -> Reply {
        match request {
            Request::Heartbeat(heartbeat) => self.heartbeat(heartbeat).await,
            Request::Journal(entries) => self.answer(&entries).await.unwrap_or_else(busy),
            Request::AskGrant { budget, tokens, to } => self.give(budget, tokens, to).await,
            Request::DocumentSince { from, limit } => self.document(from, limit).await,
            Request::Leaving(farewell) => self.declare(&farewell, MemberState::Leaving),
            Request::Shutdown(farewell) => self.declare(&farewell, MemberState::Gone),
            Request::GrantsPushed(_) | Request::Hints(_) => Reply::Done,
        }
    }
}

fn busy() -> Reply {
    Reply::Refused {
        reason: "busy".to_owned(),
    }
}
