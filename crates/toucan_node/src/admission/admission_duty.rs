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

/// Time after the first document in which targets make themselves known, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Rings that the admission duty writes to.
pub(crate) struct AdmissionLinks {
    /// The ledger duty, which knows the gatherers.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The peers duty, which asks neighbours.
    pub(crate) peers: Ring<PeersMessage>,
}

/// Reserves tokens, orders requests, chooses targets and settles.
pub(crate) struct AdmissionDuty {
    pub(super) identity: Identity,
    pub(super) settings: AdmissionSettings,
    pub(super) links: AdmissionLinks,
    pub(super) document: Arc<Document>,
    /// Wallets by shard.
    pub(super) shards: Vec<ShardWallet>,
    /// Wallets of fenced incarnations whose requests still run.
    pub(super) retiring: Vec<ShardWallet>,
    pub(super) limiter: RateLimiter,
    pub(super) queues: FastHashMap<ServiceName, AdmissionQueue<Queued>>,
    pub(super) parked: Vec<Parked>,
    pub(super) running: FastHashMap<TicketId, Running>,
    pub(super) by_bill: FastHashMap<BillId, TicketId>,
    pub(super) next_ticket: u64,
    pub(super) table: TargetTable,
    pub(super) addresses: FastHashMap<TargetIndex, SocketAddr>,
    pub(super) choice: PrefixAware,
    pub(super) retry_budgets: FastHashMap<ServiceName, RetryBudget>,
    pub(super) draw: AdaptiveDraw,
    pub(super) rng: SmallRng,
    pub(super) nodes_here: u32,
    pub(super) nodes_all: u32,
    pub(super) leaving: bool,
    /// Time until which requests without a target are queued, since targets may not have reported
    /// yet, in milliseconds since 1970.
    pub(super) warm_at_ms: u64,
    pub(super) farewell: Vec<tokio::sync::oneshot::Sender<()>>,
}

impl AdmissionDuty {
    /// A duty that knows no target and holds no grant.
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
            choice: PrefixAware::default(),
            retry_budgets: FastHashMap::default(),
            draw: AdaptiveDraw::default(),
            nodes_here: 1,
            nodes_all: 1,
            leaving: false,
            warm_at_ms: 0,
            farewell: Vec::new(),
        }
    }

    fn apply_document(&mut self, document: Arc<Document>, now_ms: u64) {
        // Budgets may not change their stream while grants are outstanding, so the number of shards
        // is that of the first document with budgets.
        if self.shards.is_empty() && document.budgets().len() > 0 {
            self.open_shards(document.operations().ledger.shards);
            self.warm_at_ms = now_ms.saturating_add(WARM_UP_MS);
        }
        self.document = document;
        let settings = self.queue_settings();
        for queue in self.queues.values_mut() {
            queue.set_settings(settings.clone());
        }
        self.serve(now_ms);
    }
}

impl Duty for AdmissionDuty {
    type Message = AdmissionMessage;

    const NAME: &'static str = "admission";
    const TICK_MS: u64 = 10;

    fn handle(&mut self, message: AdmissionMessage, now_ms: u64) {
        match message {
            AdmissionMessage::Admit { request, reply } => self.admit(request, reply, now_ms),
            AdmissionMessage::FirstToken(ticket) => self.first_token(ticket, now_ms),
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
                self.claim_done(key, status, digest);
            }
            AdmissionMessage::Synced(reply) => self.synced(*reply, now_ms),
            AdmissionMessage::SyncFailed(shard) => {
                for wallet in self.wallets_of(shard) {
                    wallet.failed(now_ms);
                }
            }
            AdmissionMessage::GathererChanged { shard, holder } => {
                for wallet in self.wallets_of(shard) {
                    wallet.gatherer_changed(holder);
                }
            }
            AdmissionMessage::TransferGrant {
                budget,
                tokens,
                to,
                reply,
            } => {
                self.give_grant(&budget, tokens, to, reply);
            }
            AdmissionMessage::ReceiveGrant(transfer) => self.take_grant(&transfer, now_ms),
            AdmissionMessage::Targets(targets) => self.apply_targets(targets, now_ms),
            AdmissionMessage::Load { target, load } => self.apply_load(&target, &load, now_ms),
            AdmissionMessage::CacheEvents { target, page } => {
                self.apply_cache_events(&target, &page, now_ms);
            }
            AdmissionMessage::Document(document) => self.apply_document(document, now_ms),
            AdmissionMessage::Nodes { here, all } => {
                self.nodes_here = here.max(1);
                self.nodes_all = all.max(1);
                self.table.set_peer_routers(here.saturating_sub(1));
            }
            AdmissionMessage::Drain => self.leaving = true,
            AdmissionMessage::ShutDown(reply) => self.farewell.push(reply),
        }
        self.pump(now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.renew_fenced();
        self.size_grants(now_ms);
        self.retry_parked(now_ms);
        self.serve(now_ms);
        self.say_farewell(now_ms);
        self.pump(now_ms);
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
            "leaving": self.leaving,
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
