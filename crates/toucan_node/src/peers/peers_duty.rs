//! State of the peers duty and the tasks that send requests to other nodes.

use std::sync::Arc;

use bytes::Bytes;
use rand::seq::SliceRandom;
use toucan_ledger::GrantTransfer;
use toucan_types::{BudgetName, IncarnationId, Tokens};
use toucan_wire::{
    Heartbeat, LinkSettings, PeerClient, PeerIdentity, PeerServer, PeerServerSettings, PeerTarget,
    Refusal, Reply, Request, ShardEntries, ShutdownNotice, Tls,
};

use super::{PeerRequestHandler, PeersMessage};
use crate::{
    admission::AdmissionMessage,
    document::DocumentMessage,
    kernel::{Envelope, Identity, Ring, TaskReceiver},
    ledger::LedgerMessage,
    membership::MembershipMessage,
    shard_sync::{NodeReply, NodeRequest, SyncReply, SyncRequest, decode, encode},
};

/// Maximum number of peers that are asked for a grant at once.
const MAX_GRANT_PEERS: usize = 3;
/// Maximum number of document records in one request.
const MAX_DOCUMENT_RECORDS: u32 = 500;
/// Time without received data after which a peer with an outstanding reply is pinged, in
/// milliseconds.
const BUSY_PING_AFTER_MS: u64 = 250;
/// Time without received data, despite a ping, after which a link is abandoned, in milliseconds;
/// shorter than the time for which a request waits for tokens.
const SILENT_AFTER_MS: u64 = 1_000;
/// Maximum time from a request to its reply, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 2_000;

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

/// Sends requests to other nodes and answers theirs on the bound port until the duty is stopped.
pub(crate) async fn run_peers_duty(
    identity: Identity,
    tls: Option<Arc<Tls>>,
    listener: std::net::TcpListener,
    links: PeersLinks,
    mut messages: TaskReceiver<PeersMessage>,
) {
    let local = PeerIdentity::new(identity.vm.clone(), identity.data_centre.clone());
    let handler = PeerRequestHandler::new(links.clone());
    let server = match PeerServer::from_listener(
        listener,
        tls.clone(),
        PeerServerSettings::default(),
        handler,
    ) {
        Ok(server) => server,
        Err(error) => return log::error!("the peer port cannot be served: {error}"),
    };
    let settings = LinkSettings {
        busy_ping_after_ms: BUSY_PING_AFTER_MS,
        ..LinkSettings::default()
            .with_reply_timeout_ms(REPLY_TIMEOUT_MS)
            .with_silent_after_ms(SILENT_AFTER_MS)
    };
    let mut duty = PeersDuty {
        identity,
        requester: PeerRequester {
            client: Arc::new(PeerClient::new(local, tls, settings)),
            links,
        },
        live_peers: Vec::new(),
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
    requester: PeerRequester,
    live_peers: Vec<PeerTarget>,
}

impl PeersDuty {
    fn execute(&mut self, message: PeersMessage) {
        let requester = self.requester.clone();
        match message {
            PeersMessage::Sync { to, request, local } => {
                tokio::spawn(async move { requester.sync(to, *request, local).await });
            }
            PeersMessage::RequestJournal { to, request } => {
                tokio::spawn(async move { requester.request_journal(to, request).await });
            }
            PeersMessage::AskGrant { budget, tokens, to } => {
                self.ask_grant(&budget, tokens, to);
            }
            PeersMessage::Heartbeat { to, heartbeat } => {
                tokio::spawn(async move {
                    requester.heartbeat(&to, heartbeat).await;
                });
            }
            PeersMessage::DocumentSince { to, from } => {
                tokio::spawn(async move { requester.document_since(to, from).await });
            }
            PeersMessage::LivePeers(live_peers) => self.live_peers = live_peers,
            PeersMessage::AnnounceLeaving => self.announce_leaving(),
        }
    }

    fn ask_grant(&self, budget: &BudgetName, tokens: Tokens, to: IncarnationId) {
        let mut live_peers = self.live_peers.clone();
        live_peers.shuffle(&mut rand::rng());
        for peer in live_peers.into_iter().take(MAX_GRANT_PEERS) {
            let requester = self.requester.clone();
            let request = Request::AskGrant {
                budget: budget.clone(),
                tokens,
                to,
            };
            tokio::spawn(async move { requester.ask_grant(peer, request).await });
        }
    }

    fn announce_leaving(&self) {
        let leaving = ShutdownNotice {
            vm: self.identity.vm.clone(),
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            entries: Vec::new(),
        };
        for peer in self.live_peers.clone() {
            let requester = self.requester.clone();
            let request = Request::Leaving(leaving.clone());
            tokio::spawn(async move {
                let _failed = requester.request(&peer, request).await;
            });
        }
    }

    fn dump(&self, server: &PeerServer<PeerRequestHandler>) -> serde_json::Value {
        let links = self.requester.client.links();
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
struct PeerRequester {
    client: Arc<PeerClient>,
    links: PeersLinks,
}

impl PeerRequester {
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
            let message = MembershipMessage::HeartbeatResponse(own);
            let _full = self.links.membership.try_send(message);
        }
    }

    async fn request_shard(&self, to: &PeerTarget, request: &NodeRequest) -> Option<NodeReply> {
        let entry = encode(request)?;
        metrics::counter!("toucan_peer_bytes_total").increment(entry.len() as u64);
        let shard = request.shard();
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
        let answer = self
            .request_shard(&to, &NodeRequest::Sync(Box::new(request)))
            .await;
        let message = match (answer, local) {
            (Some(NodeReply::Sync(reply)), None) => AdmissionMessage::Synced(reply),
            (Some(NodeReply::Sync(replicated)), Some(mut local)) => {
                local.collected = replicated.collected;
                AdmissionMessage::Synced(local)
            }
            // The replica failed: the records are durable once they are read back from the log.
            (_, Some(local)) => AdmissionMessage::Synced(local),
            (_, None) => AdmissionMessage::SyncFailed(shard),
        };
        // If the ring is full, the reply is lost; the wallet sends its request again.
        let _full = self.links.admission.try_send(message);
    }

    async fn request_journal(&self, to: PeerTarget, request: NodeRequest) {
        if let Some(NodeReply::Journal(reply)) = self.request_shard(&to, &request).await {
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
            // If the ring is full, the log still delivers the transfer.
            let _full = self
                .links
                .admission
                .try_send(AdmissionMessage::ReceiveGrant(grant_transfer));
        }
    }

    async fn document_since(&self, to: PeerTarget, from: toucan_types::Offset) {
        let request = Request::DocumentSince {
            from,
            limit: MAX_DOCUMENT_RECORDS,
        };
        if let Some(Reply::Document { records, .. }) = self.request(&to, request).await {
            let _full = self
                .links
                .document
                .try_send(DocumentMessage::PeerRecords(records));
        }
    }
}

/// Returns the only entry of a request or reply.
pub(super) fn first_entry(entries: &[ShardEntries]) -> Option<&Bytes> {
    entries.first()?.entries.first()
}
