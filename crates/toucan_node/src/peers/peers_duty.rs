//! Tasks of the peers duty that ask other nodes.

use std::sync::Arc;

use bytes::Bytes;
use rand::seq::SliceRandom;
use toucan_ledger::GrantTransfer;
use toucan_types::{BudgetName, IncarnationId, Tokens};
use toucan_wire::{
    Heartbeat, LinkSettings, PeerClient, PeerIdentity, PeerServer, PeerServerSettings, PeerTarget,
    Refusal, Reply, Request, ShardEntries, ShutdownNotice, Tls,
};

use super::{PeerAnswers, PeersMessage};
use crate::{
    admission::AdmissionMessage,
    document::DocumentMessage,
    kernel::{Envelope, Identity, Ring, TaskReceiver},
    ledger::LedgerMessage,
    membership::MembershipMessage,
    shard_sync::{NodeReply, NodeRequest, SyncReply, SyncRequest, decode, encode},
};

/// Most neighbours asked for a grant at once.
const ASKED_NEIGHBOURS: usize = 3;
/// Most document records asked for at once.
const DOCUMENT_RECORDS: u32 = 500;
/// Time without a byte after which a peer that owes a reply is pinged, in milliseconds.
const BUSY_PING_AFTER_MS: u64 = 250;
/// Time without a byte in spite of a ping after which a link is left, in milliseconds; below the
/// time for which a request waits for tokens.
const SILENT_AFTER_MS: u64 = 1_000;
/// Longest time from a request to its reply, in milliseconds.
const REPLY_MS: u64 = 2_000;

/// Rings that the peers duty writes to.
#[derive(Clone)]
pub(crate) struct PeersLinks {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The ledger duty.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The membership duty.
    pub(crate) membership: Ring<MembershipMessage>,
    /// The document duty.
    pub(crate) document: Ring<DocumentMessage>,
}

/// Asks other nodes, and answers them on the bound port, until the duty is stopped.
pub(crate) async fn run_peers_duty(
    identity: Identity,
    tls: Option<Arc<Tls>>,
    listener: std::net::TcpListener,
    links: PeersLinks,
    mut messages: TaskReceiver<PeersMessage>,
) {
    let local = PeerIdentity::new(identity.vm.clone(), identity.data_centre.clone());
    let answers = PeerAnswers::new(links.clone());
    let server = match PeerServer::from_listener(
        listener,
        tls.clone(),
        PeerServerSettings::default(),
        answers,
    ) {
        Ok(server) => server,
        Err(error) => return log::error!("the peer port cannot be served: {error}"),
    };
    let settings = LinkSettings {
        busy_ping_after_ms: BUSY_PING_AFTER_MS,
        ..LinkSettings::default()
            .with_reply_timeout_ms(REPLY_MS)
            .with_silent_after_ms(SILENT_AFTER_MS)
    };
    let mut duty = PeersDuty {
        identity,
        asker: Asker {
            client: Arc::new(PeerClient::new(local, tls, settings)),
            links,
        },
        neighbours: Vec::new(),
    };
    while let Some(envelope) = messages.recv().await {
        match envelope {
            Envelope::Work(message) => duty.execute(message),
            Envelope::Dump(reply) => {
                let _unread = reply.send(duty.dump(&server));
            }
            Envelope::Stop => break,
        }
    }
    server.stop();
}

struct PeersDuty {
    identity: Identity,
    asker: Asker,
    neighbours: Vec<PeerTarget>,
}

impl PeersDuty {
    fn execute(&mut self, message: PeersMessage) {
        let asker = self.asker.clone();
        match message {
            PeersMessage::Sync { to, request, local } => {
                tokio::spawn(async move { asker.sync(to, *request, local).await });
            }
            PeersMessage::RequestJournal { to, request } => {
                tokio::spawn(async move { asker.ask_journal(to, request).await });
            }
            PeersMessage::AskGrant { budget, tokens, to } => {
                self.ask_grant(&budget, tokens, to);
            }
            PeersMessage::Heartbeat { to, heartbeat } => {
                tokio::spawn(async move {
                    asker.heartbeat(&to, heartbeat).await;
                });
            }
            PeersMessage::DocumentSince { to, from } => {
                tokio::spawn(async move { asker.document_since(to, from).await });
            }
            PeersMessage::Neighbours(neighbours) => self.neighbours = neighbours,
            PeersMessage::Leaving => self.tell_leaving(),
        }
    }

    fn ask_grant(&self, budget: &BudgetName, tokens: Tokens, to: IncarnationId) {
        let mut neighbours = self.neighbours.clone();
        neighbours.shuffle(&mut rand::rng());
        for neighbour in neighbours.into_iter().take(ASKED_NEIGHBOURS) {
            let asker = self.asker.clone();
            let request = Request::AskGrant {
                budget: budget.clone(),
                tokens,
                to,
            };
            tokio::spawn(async move { asker.ask_grant(neighbour, request).await });
        }
    }

    fn tell_leaving(&self) {
        let leaving = ShutdownNotice {
            vm: self.identity.vm.clone(),
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            entries: Vec::new(),
        };
        for neighbour in self.neighbours.clone() {
            let asker = self.asker.clone();
            let request = Request::Leaving(leaving.clone());
            tokio::spawn(async move {
                let _failed = asker.request(&neighbour, request).await;
            });
        }
    }

    fn dump(&self, server: &PeerServer<PeerAnswers>) -> serde_json::Value {
        let links = self.asker.client.links();
        let links = links.iter().map(|link| {
            let counts = link.counts();
            serde_json::json!({
                "vm": link.peer().identity.vm,
                "address": link.peer().address.to_string(),
                "connected": counts.is_connected,
                "connections": counts.connections,
                "left_as_silent": counts.silent_connections,
            })
        });
        let refusals = Refusal::ALL.into_iter().map(|refusal| {
            let count = server.refusals().get(refusal);
            (refusal.name().to_owned(), count.into())
        });
        serde_json::json!({
            "address": server.address().to_string(),
            "links": links.collect::<Vec<_>>(),
            "refusals": refusals.collect::<serde_json::Map<_, _>>(),
        })
    }
}

#[derive(Clone)]
struct Asker {
    client: Arc<PeerClient>,
    links: PeersLinks,
}

impl Asker {
    async fn request(&self, to: &PeerTarget, request: Request) -> Option<Reply> {
        let kind = request.kind();
        match self.client.request(to, &request).await {
            Ok(reply) => {
                let reached = MembershipMessage::Reached(to.identity.vm.clone());
                let _full = self.links.membership.try_send(reached);
                Some(reply)
            }
            Err(_failed) => {
                metrics::counter!("toucan_peer_failures_total", "kind" => kind).increment(1);
                let unreachable = MembershipMessage::Unreachable(to.identity.vm.clone());
                let _full = self.links.membership.try_send(unreachable);
                None
            }
        }
    }

    async fn heartbeat(&self, to: &PeerTarget, heartbeat: Box<Heartbeat>) {
        let request = Request::Heartbeat(heartbeat);
        if let Some(Reply::Heartbeat(own)) = self.request(to, request).await {
            let answered = MembershipMessage::Answered(own);
            let _full = self.links.membership.try_send(answered);
        }
    }

    async fn put(&self, to: &PeerTarget, question: &NodeRequest) -> Option<NodeReply> {
        let entry = encode(question)?;
        metrics::counter!("toucan_peer_bytes_total").increment(entry.len() as u64);
        let shard = question.shard();
        let entries = vec![ShardEntries {
            shard,
            entries: vec![entry],
        }];
        let Reply::Journaled { acknowledgements } =
            self.request(to, Request::Journal(entries)).await?
        else {
            return None;
        };
        decode(first_entry(&acknowledgements)?)
    }

    async fn sync(&self, to: PeerTarget, request: SyncRequest, local: Option<Box<SyncReply>>) {
        let shard = request.shard;
        let answer = self.put(&to, &NodeRequest::Sync(Box::new(request))).await;
        let message = match (answer, local) {
            (Some(NodeReply::Sync(reply)), None) => AdmissionMessage::Synced(reply),
            (Some(NodeReply::Sync(witnessed)), Some(mut local)) => {
                local.collected = witnessed.collected;
                AdmissionMessage::Synced(local)
            }
            // The witness failed: the log alone makes the records known outside.
            (_, Some(local)) => AdmissionMessage::Synced(local),
            (_, None) => AdmissionMessage::SyncFailed(shard),
        };
        // A full ring loses the answer; the wallet asks again.
        let _full = self.links.admission.try_send(message);
    }

    async fn ask_journal(&self, to: PeerTarget, question: NodeRequest) {
        if let Some(NodeReply::Journal(reply)) = self.put(&to, &question).await {
            let _full = self
                .links
                .ledger
                .try_send(LedgerMessage::JournalReceived(*reply));
        }
    }

    async fn ask_grant(&self, to: PeerTarget, request: Request) {
        let Some(Reply::GrantTransferred {
            tokens, transfer, ..
        }) = self.request(&to, request).await
        else {
            return;
        };
        if tokens.is_zero() {
            return;
        }
        if let Some(grant_transfer) = decode::<GrantTransfer>(&transfer) {
            // A full ring leaves the transfer to the log, which delivers it too.
            let _full = self
                .links
                .admission
                .try_send(AdmissionMessage::ReceiveGrant(grant_transfer));
        }
    }

    async fn document_since(&self, to: PeerTarget, from: toucan_types::Offset) {
        let request = Request::DocumentSince {
            from,
            limit: DOCUMENT_RECORDS,
        };
        if let Some(Reply::Document { records, .. }) = self.request(&to, request).await {
            let _full = self
                .links
                .document
                .try_send(DocumentMessage::FromPeer(records));
        }
    }
}

/// The one entry of an opaque answer.
pub(super) fn first_entry(entries: &[ShardEntries]) -> Option<&Bytes> {
    entries.first()?.entries.first()
}
