//! State of the ledger duty and the dispatch of its messages.

use std::sync::Arc;

use serde_json::json;
use toucan_config::Document;
use toucan_ledger::{LedgerEvent, LedgerRecord, ReleaseProof};
use toucan_types::ShardIndex;

use super::{
    LedgerMessage, MemberFacts, ShardRole, ShardView,
    holders::{all_holders, holdings},
    shard_state::ShardState,
};
use crate::{
    admission::AdmissionMessage,
    kernel::{Duty, Identity, Ring},
    peers::PeersMessage,
    platform_io::PlatformCommand,
    shard_sync::{NodeRequest, SyncRequest},
};

/// Interval between checks of funds, snapshots and releases, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;

/// Maximum number of accounts per shard in a state dump.
const MAX_DUMPED_ACCOUNTS: usize = 100;

/// Rings that the ledger duty sends to.
pub(crate) struct LedgerLinks {
    /// Admission duty, which owns this node's wallets.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// Peers duty.
    pub(crate) peers: Ring<PeersMessage>,
    /// Platform duty, which reads from and appends to the log.
    pub(crate) platform: Ring<PlatformCommand>,
}

/// Duty that replays the shards that this node batches and appends the records of its data centre.
pub(crate) struct LedgerDuty {
    identity: Identity,
    links: LedgerLinks,
    document: Arc<Document>,
    shards: Vec<ShardState>,
    roles: Vec<ShardRole>,
    members: MemberFacts,
    next_check_ms: u64,
}

impl LedgerDuty {
    /// Returns a duty without shards; they are created by the first document with budgets.
    pub(crate) fn new(identity: Identity, links: LedgerLinks) -> Self {
        Self {
            identity,
            links,
            document: Arc::new(Document::default()),
            shards: Vec::new(),
            roles: Vec::new(),
            members: MemberFacts::default(),
            next_check_ms: 0,
        }
    }

    fn shard(&mut self, shard: ShardIndex) -> Option<&mut ShardState> {
        self.shards.get_mut(usize::from(shard.0))
    }

    /// Routes a request of this node's wallet to the batcher of the shard, which may be this node.
    fn sync(&mut self, request: SyncRequest) {
        let shard = request.shard;
        let Some(state) = self.shards.get_mut(usize::from(shard.0)) else {
            return self.sync_failed(shard);
        };
        state.add_own_incarnation(request.incarnation);
        let message = match state.role.clone() {
            ShardRole::Member { batcher, .. } => PeersMessage::Sync {
                to: batcher,
                request: Box::new(request),
                local: None,
            },
            ShardRole::Batcher { replica: None } => {
                let mut reply = state.sync(request);
                // Only this VM has the records, so none is durable yet.
                reply.collected = toucan_types::Sequence(0);
                return self.deliver_reply(reply);
            }
            ShardRole::Batcher {
                replica: Some(replica),
            } => {
                let mut copy = request.clone();
                copy.copy_only = true;
                copy.budgets.clear();
                copy.claims.clear();
                let mut local = state.sync(request);
                local.collected = toucan_types::Sequence(0);
                PeersMessage::Sync {
                    to: replica,
                    request: Box::new(copy),
                    local: Some(Box::new(local)),
                }
            }
        };
        if self.links.peers.try_send(message).is_err() {
            self.sync_failed(shard);
        }
    }

    fn deliver_reply(&self, reply: crate::shard_sync::SyncReply) {
        // If the ring is full, the reply is lost and the wallet sends its request again.
        let _full = self
            .links
            .admission
            .try_send(AdmissionMessage::Synced(Box::new(reply)));
    }

    fn sync_failed(&self, shard: ShardIndex) {
        let _full = self
            .links
            .admission
            .try_send(AdmissionMessage::SyncFailed(shard));
    }

    fn apply_document(&mut self, document: Arc<Document>, now_ms: u64) {
        if self.shards.is_empty() && document.budgets().len() > 0 {
            let alone = ShardRole::Batcher { replica: None };
            let me = self.identity.incarnation;
            for index in 0..document.operations().ledger.shards {
                let role = self.roles.get(usize::from(index)).unwrap_or(&alone).clone();
                self.shards
                    .push(ShardState::new(ShardIndex(index), me, role));
            }
            self.follow_batched_shards();
        }
        self.document = document;
        let data_centres = self.document.operations().data_centres.len().max(1) as u64;
        let batchers = data_centres.saturating_mul(self.shards.len() as u64);
        for shard in &mut self.shards {
            shard.configure(&self.document, batchers, now_ms);
        }
        self.next_check_ms = now_ms;
    }

    fn apply_roles(&mut self, roles: Vec<ShardRole>) {
        for (shard, role) in self.shards.iter_mut().zip(&roles) {
            if shard.role == *role {
                continue;
            }
            let changed = !same_batcher(&shard.role, role);
            shard.role = role.clone();
            if changed {
                let batcher = match role {
                    ShardRole::Member { incarnation, .. } => *incarnation,
                    ShardRole::Batcher { .. } => None,
                };
                let message = AdmissionMessage::BatcherChanged {
                    shard: shard.shard,
                    batcher,
                };
                let _full = self.links.admission.send(message);
            }
        }
        self.roles = roles;
        self.follow_batched_shards();
    }

    /// Starts to read the streams of the shards that this node now batches.
    ///
    /// A shard that another node batches again continues to be replayed here: two batchers are
    /// harmless, and the records that this one still holds are appended.
    fn follow_batched_shards(&mut self) {
        for shard in &mut self.shards {
            let is_batcher = matches!(shard.role, ShardRole::Batcher { .. });
            if !is_batcher || shard.reader.is_some() {
                continue;
            }
            let from = shard.start_reading();
            shard.collect_replicas();
            let follow = PlatformCommand::Follow {
                shard: shard.shard,
                from,
            };
            if self.links.platform.send(follow).is_err() {
                log::error!("the platform duty has ended");
            }
        }
    }

    fn read(
        &mut self,
        shard: ShardIndex,
        entries: &[toucan_platform::LogEntry],
        next_offset: toucan_types::Offset,
        now_ms: u64,
    ) {
        let Some(state) = self.shard(shard) else {
            return;
        };
        let from = match state.read(entries, next_offset, now_ms) {
            Ok(None) => return,
            Ok(Some(from)) => from,
            Err(error) => {
                log::error!("shard {shard}: replay restarts from the beginning: {error}");
                metrics::counter!("toucan_ledger_restarts_total").increment(1);
                state.start_reading()
            }
        };
        let _ended = self
            .links
            .platform
            .send(PlatformCommand::Follow { shard, from });
    }

    fn append_batches(&mut self, now_ms: u64) {
        for shard in &mut self.shards {
            if shard.reader.is_none() {
                continue;
            }
            let Some((number, bytes)) = shard.next_batch(now_ms) else {
                continue;
            };
            metrics::counter!("toucan_log_appends_total").increment(1);
            metrics::counter!("toucan_log_append_bytes_total").increment(bytes.len() as u64);
            let append = PlatformCommand::Append {
                shard: shard.shard,
                number,
                bytes,
            };
            if self.links.platform.try_send(append).is_err() {
                let refused = toucan_ledger::AppendOutcome::Refused;
                shard.batcher.appended(number, refused, now_ms);
            }
        }
    }

    fn run_checks(&mut self, now_ms: u64) {
        if now_ms < self.next_check_ms {
            return;
        }
        self.next_check_ms = now_ms.saturating_add(CHECK_INTERVAL_MS);
        let shards = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
        for shard in &mut self.shards {
            if !matches!(shard.role, ShardRole::Batcher { .. }) {
                continue;
            }
            shard.fund(&self.document, shards, now_ms);
            shard.request_snapshot(now_ms);
            for query in shard.check_releases(&self.identity, &self.members, now_ms) {
                for live_peer in &self.members.live_peers {
                    let request = NodeRequest::Journal(query);
                    let message = PeersMessage::RequestJournal {
                        to: live_peer.clone(),
                        request,
                    };
                    let _full = self.links.peers.try_send(message);
                }
            }
        }
    }

    fn views(&self) -> Vec<ShardView> {
        let replayed = self.shards.iter().filter(|shard| shard.reader.is_some());
        replayed
            .map(|shard| ShardView {
                next_offset: shard.ledger().map(toucan_ledger::Ledger::next_offset),
                accounts: shard
                    .ledger()
                    .map_or_else(Vec::new, |ledger| ledger.accounts().collect()),
            })
            .collect()
    }

    fn release_by_operator(&mut self, incarnation: toucan_types::IncarnationId) -> u16 {
        let mut written = 0;
        for shard in &mut self.shards {
            let is_known = shard
                .ledger()
                .is_some_and(|ledger| ledger.incarnation(incarnation).is_some());
            if !is_known {
                continue;
            }
            let records = [
                LedgerRecord::Fence {
                    incarnation,
                    evidence: toucan_ledger::FenceEvidence::Operator,
                },
                LedgerRecord::Release {
                    incarnation,
                    proof: ReleaseProof::Operator,
                    open_reservations: shard.batcher.open_reservations_of(incarnation),
                },
            ];
            for record in records {
                let _full = shard.batcher.submit(record);
            }
            written += 1;
        }
        written
    }
}

impl Duty for LedgerDuty {
    type Message = LedgerMessage;

    const NAME: &'static str = "ledger";
    const TICK_MS: u64 = 10;

    fn handle(&mut self, message: LedgerMessage, now_ms: u64) {
        match message {
            LedgerMessage::Sync(request) => self.sync(*request),
            LedgerMessage::PeerSync { request, reply } => {
                if let Some(shard) = self.shard(request.shard) {
                    // The peer may have timed out.
                    let _unread = reply.send(shard.sync(*request));
                }
            }
            LedgerMessage::PeerJournal { query, reply } => {
                if let Some(shard) = self.shard(query.shard) {
                    let _unread = reply.send(shard.journal_reply(query));
                }
            }
            LedgerMessage::JournalReceived(reply) => {
                if let Some(shard) = self.shard(reply.shard) {
                    shard.record_journal(reply);
                }
            }
            LedgerMessage::Read {
                shard,
                entries,
                next_offset,
            } => {
                self.read(shard, &entries, next_offset, now_ms);
            }
            LedgerMessage::Expired { shard, first } => {
                if let Some(state) = self.shard(shard) {
                    state.search_snapshot();
                    let follow = PlatformCommand::Follow { shard, from: first };
                    let _ended = self.links.platform.send(follow);
                }
            }
            LedgerMessage::Appended {
                shard,
                number,
                outcome,
            } => {
                if let Some(shard) = self.shard(shard) {
                    shard.batcher.appended(number, outcome, now_ms);
                }
            }
            LedgerMessage::Roles(roles) => self.apply_roles(roles),
            LedgerMessage::Members(members) => self.members = members,
            LedgerMessage::Document(document) => self.apply_document(document, now_ms),
            LedgerMessage::Statement { budget, reply } => {
                let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
                let shard = self.shard(ShardIndex::of_budget(&budget, count));
                let statement = shard.and_then(|shard| shard.ledger()?.statement(&budget));
                let _unread = reply.send(statement);
            }
            LedgerMessage::Holdings { budget, reply } => {
                let count = u16::try_from(self.shards.len()).unwrap_or(u16::MAX);
                let shard = self.shard(ShardIndex::of_budget(&budget, count));
                let ledger = shard.and_then(|shard| shard.ledger());
                let _unread = reply.send(ledger.and_then(|ledger| holdings(ledger, &budget)));
            }
            LedgerMessage::Holders(reply) => {
                let ledgers = self.shards.iter().filter_map(ShardState::ledger);
                let _unread = reply.send(ledgers.flat_map(all_holders).collect());
            }
            LedgerMessage::Views(reply) => {
                let _unread = reply.send(self.views());
            }
            LedgerMessage::ReleaseByOperator { incarnation, reply } => {
                let _unread = reply.send(self.release_by_operator(incarnation));
            }
        }
        self.append_batches(now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.run_checks(now_ms);
        self.append_batches(now_ms);
    }

    fn dump(&self, _now_ms: u64) -> serde_json::Value {
        let shards = self.shards.iter().map(|shard| {
            json!({
                "shard": shard.shard,
                "gatherer": matches!(shard.role, ShardRole::Batcher { .. }),
                "next_offset": shard.ledger().map(toucan_ledger::Ledger::next_offset),
                "waiting_records": shard.batcher.len(),
                "waiting_bytes": shard.batcher.waiting_bytes(),
                "open_reservations": shard.batcher.open_reservations(),
                "budgets": shard.ledger().map(|ledger| ledger.accounts().count()),
                "accounts": shard.ledger().map(|ledger| {
                    ledger.accounts().take(MAX_DUMPED_ACCOUNTS).map(|account| json!({
                        "budget": account.budget,
                        "purchased_tokens": account.purchased_tokens,
                        "remaining_tokens": account.remaining_tokens,
                        "outstanding_tokens": account.outstanding_tokens,
                        "held_tokens": account.held_tokens,
                        "spent_tokens": account.spent_tokens,
                    })).collect::<Vec<_>>()
                }),
                "incarnations": shard.ledger().map(|ledger| {
                    ledger.incarnations().map(|state| json!({
                        "incarnation": state.incarnation.to_string(),
                        "vm": state.vm,
                        "instance": state.instance,
                        "data_centre": state.data_centre,
                        "stage": format!("{:?}", state.status),
                        "watermark": state.watermark,
                    })).collect::<Vec<_>>()
                }),
            })
        });
        json!({ "shards": shards.collect::<Vec<_>>() })
    }
}

fn same_batcher(left: &ShardRole, right: &ShardRole) -> bool {
    match (left, right) {
        (ShardRole::Batcher { replica: left }, ShardRole::Batcher { replica: right }) => {
            left == right
        }
        (ShardRole::Member { .. }, ShardRole::Member { .. }) => left == right,
        _ => false,
    }
}

/// Counts an event of the replayed ledger in the metrics.
pub(super) fn count_event(event: &LedgerEvent) {
    let name = match event {
        LedgerEvent::DuplicateBill { .. } => "duplicate_bill",
        LedgerEvent::DisputedBill { .. } => "disputed_bill",
        LedgerEvent::Uncovered { .. } => "uncovered",
        LedgerEvent::Fenced { .. } => "fenced",
        LedgerEvent::Released { .. } => "released",
        LedgerEvent::Late { .. } => "late",
        LedgerEvent::Unknown { .. } => "unknown",
        LedgerEvent::SnapshotMismatch { .. } => "snapshot_mismatch",
        _ => return,
    };
    metrics::counter!("toucan_ledger_events_total", "event" => name).increment(1);
}
