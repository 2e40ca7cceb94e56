//! State of the admission duty and the dispatch of its messages.

use std::{net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;
use toucan_config::Document;
use toucan_ledger::AdaptiveDraw;
use toucan_router::{
    AdmissionQueue, PrefixAware, RateLimiter, RetryBudget, TargetIndex, TargetTable,
    TargetTableSettings,
};
use toucan_types::{BillId, FastHashMap, ServiceName};

use super::{
    AdmissionMessage, TicketId,
    queued::{Parked, Queued, Running},
    shard_wallet::ShardWallet,
};
use crate::{
    kernel::{Duty, Identity, Ring},
    ledger::LedgerMessage,
    node_settings::AdmissionSettings,
    peers::PeersMessage,
};

/// Time allowed for targets to report after the first document with budgets, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Rings that the admission duty sends to.
pub(crate) struct AdmissionLinks {
    /// Ledger duty, which knows the batcher of each shard.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// Peers duty, which sends requests to live peers.
    pub(crate) peers: Ring<PeersMessage>,
}

/// Duty that reserves tokens, queues requests, chooses targets and settles bills.
pub(crate) struct AdmissionDuty {
    pub(super) identity: Identity,
    pub(super) settings: AdmissionSettings,
    pub(super) links: AdmissionLinks,
    pub(super) document: Arc<Document>,
    /// Current wallets, indexed by shard.
    pub(super) shards: Vec<ShardWallet>,
    /// Wallets of fenced incarnations that have requests in flight or records to write.
    pub(super) retiring: Vec<ShardWallet>,
    pub(super) limiter: RateLimiter,
    pub(super) queues: FastHashMap<ServiceName, AdmissionQueue<Queued>>,
    pub(super) parked: Vec<Parked>,
    pub(super) running: FastHashMap<TicketId, Running>,
    pub(super) by_bill: FastHashMap<BillId, TicketId>,
    pub(super) next_ticket: u64,
    pub(super) table: TargetTable,
    pub(super) addresses: FastHashMap<TargetIndex, SocketAddr>,
    pub(super) target_policy: PrefixAware,
    pub(super) retry_budgets: FastHashMap<ServiceName, RetryBudget>,
    pub(super) draw: AdaptiveDraw,
    pub(super) rng: SmallRng,
    pub(super) local_nodes: u32,
    pub(super) total_nodes: u32,
    pub(super) draining: bool,
    /// End of the warm-up in milliseconds since 1970.
    ///
    /// Until then requests without a target are queued, since targets may not have reported yet.
    pub(super) warm_up_until_ms: u64,
    /// Senders to notify when the requested shutdown is complete.
    pub(super) shutdown_replies: Vec<tokio::sync::oneshot::Sender<()>>,
}

impl AdmissionDuty {
    /// Returns a duty without targets and grants.
    pub(crate) fn new(
        identity: Identity,
        settings: AdmissionSettings,
        links: AdmissionLinks,
    ) -> Self {
        let table = TargetTable::new(TargetTableSettings::default(), identity.data_centre.clone());
        Self {
            rng: SmallRng::seed_from_u64(identity.incarnation.0),
            identity,
            settings,
            links,
            document: Arc::new(Document::default()),
            shards: Vec::new(),
            retiring: Vec::new(),
            limiter: RateLimiter::default(),
            queues: FastHashMap::default(),
            parked: Vec::new(),
            running: FastHashMap::default(),
            by_bill: FastHashMap::default(),
            next_ticket: 1,
            table,
            addresses: FastHashMap::default(),
            target_policy: PrefixAware::default(),
            retry_budgets: FastHashMap::default(),
            draw: AdaptiveDraw::default(),
            local_nodes: 1,
            total_nodes: 1,
            draining: false,
            warm_up_until_ms: 0,
            shutdown_replies: Vec::new(),
        }
    }

    fn apply_document(&mut self, document: Arc<Document>, now_ms: u64) {
        // The first document with budgets fixes the number of shards: a budget must not move to
        // another stream while grants are outstanding.
        if self.shards.is_empty() && document.budgets().len() > 0 {
            self.open_shards(document.operations().ledger.shards);
            self.warm_up_until_ms = now_ms.saturating_add(WARM_UP_MS);
        }
        self.document = document;
        let settings = self.queue_settings();
        for queue in self.queues.values_mut() {
            queue.set_settings(settings.clone());
        }
        self.dispatch_queued(now_ms);
    }
}

impl Duty for AdmissionDuty {
    type Message = AdmissionMessage;

    const NAME: &'static str = "admission";
    const TICK_MS: u64 = 10;

    fn handle(&mut self, message: AdmissionMessage, now_ms: u64) {
        match message {
            AdmissionMessage::Admit { request, reply } => self.admit(request, reply, now_ms),
            AdmissionMessage::FirstToken(ticket) => self.record_first_token(ticket, now_ms),
            AdmissionMessage::AttemptFailed {
                ticket,
                outcome,
                reply,
            } => {
                self.attempt_failed(ticket, outcome, reply, now_ms);
            }
            AdmissionMessage::Finish {
                ticket,
                outcome,
                durable,
            } => {
                self.finish(ticket, outcome, durable, now_ms);
            }
            AdmissionMessage::Claim { key, reply } => self.claim(key, reply),
            AdmissionMessage::ClaimDone {
                key,
                status,
                digest,
            } => {
                self.record_claim_outcome(key, status, digest);
            }
            AdmissionMessage::Synced(reply) => self.apply_sync_reply(*reply, now_ms),
            AdmissionMessage::SyncFailed(shard) => {
                for wallet in self.wallets_of(shard) {
                    wallet.record_failure(now_ms);
                }
            }
            AdmissionMessage::BatcherChanged { shard, batcher } => {
                for wallet in self.wallets_of(shard) {
                    wallet.change_batcher(batcher);
                }
            }
            AdmissionMessage::TransferGrant {
                budget,
                tokens,
                to,
                reply,
            } => {
                self.transfer_grant(&budget, tokens, to, reply);
            }
            AdmissionMessage::ReceiveGrant(transfer) => self.receive_grant(&transfer, now_ms),
            AdmissionMessage::Targets(targets) => self.apply_targets(targets, now_ms),
            AdmissionMessage::Load { target, load } => self.apply_load(&target, &load, now_ms),
            AdmissionMessage::CacheEvents { target, page } => {
                self.apply_cache_events(&target, &page, now_ms);
            }
            AdmissionMessage::Document(document) => self.apply_document(document, now_ms),
            AdmissionMessage::Nodes { here, all } => {
                self.local_nodes = here.max(1);
                self.total_nodes = all.max(1);
                self.table.set_peer_routers(here.saturating_sub(1));
            }
            AdmissionMessage::Drain => self.draining = true,
            AdmissionMessage::ShutDown(reply) => self.shutdown_replies.push(reply),
        }
        self.send_syncs(now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.renew_fenced();
        self.resize_grants(now_ms);
        self.retry_parked(now_ms);
        self.dispatch_queued(now_ms);
        self.shut_down(now_ms);
        self.send_syncs(now_ms);
    }

    fn dump(&self, now_ms: u64) -> serde_json::Value {
        let grants = self
            .shards
            .iter()
            .flat_map(|shard| shard.wallet().holdings());
        let grants = grants.map(|(budget, available, reserved)| {
            json!({
                "budget": budget,
                "available_tokens": available,
                "reserved_tokens": reserved,
            })
        });
        let targets = self.table.iter().map(|(_, target)| {
            json!({
                "target": target.name(),
                "service": target.description().service,
                "data_centre": target.description().data_centre,
                "load_requests": self.table.load(target),
                "own_requests": target.in_flight(),
                "takes_work": target.takes_work(now_ms),
                "draining": target.drain().is_draining(),
                "models": target.models().iter().map(ToString::to_string).collect::<Vec<_>>(),
            })
        });
        let queues = self
            .queues
            .iter()
            .map(|(service, queue)| json!({ "service": service, "requests": queue.len() }));
        json!({
            "leaving": self.draining,
            "running_requests": self.running.len(),
            "parked_requests": self.parked.len(),
            "queues": queues.collect::<Vec<_>>(),
            "grants": grants.collect::<Vec<_>>(),
            "retiring_wallets": self.retiring.len(),
            "fenced": self.shards.iter().any(|shard| shard.wallet().is_closed()),
            "targets": targets.collect::<Vec<_>>(),
        })
    }
}
