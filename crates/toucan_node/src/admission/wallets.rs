//! Wallets of all shards: opening, grant sizing, renewal after a fence, and shutdown.

use rand::Rng;
use toucan_ledger::Wallet;
use toucan_types::{BudgetName, IncarnationId, ShardIndex};

use super::{AdmissionDuty, shard_wallet::ShardWallet};
use crate::ledger::LedgerMessage;

impl AdmissionDuty {
    /// Returns the wallet for new reservations of a budget, or [`None`] before the first document.
    pub(super) fn current_wallet(&mut self, budget: &BudgetName) -> Option<&mut ShardWallet> {
        let shard = self.shard_index(budget)?;
        self.shards.get_mut(usize::from(shard.0))
    }

    /// Returns an incarnation's wallet in the shard of a budget.
    pub(super) fn wallet_of(
        &mut self,
        budget: &BudgetName,
        incarnation: IncarnationId,
    ) -> Option<&mut ShardWallet> {
        let shard = self.shard_index(budget)?;
        self.shard_wallet_of(shard, incarnation)
    }

    /// Returns an incarnation's wallet in a shard.
    pub(super) fn shard_wallet_of(
        &mut self,
        shard: ShardIndex,
        incarnation: IncarnationId,
    ) -> Option<&mut ShardWallet> {
        self.wallets_of(shard)
            .find(|wallet| wallet.wallet().incarnation() == incarnation)
    }

    /// Returns all wallets of a shard, including those of fenced incarnations.
    pub(super) fn wallets_of(
        &mut self,
        shard: ShardIndex,
    ) -> impl Iterator<Item = &mut ShardWallet> {
        let all = self.shards.iter_mut().chain(&mut self.retiring);
        all.filter(move |wallet| wallet.shard() == shard)
    }

    fn shard_index(&self, budget: &BudgetName) -> Option<ShardIndex> {
        let count = u16::try_from(self.shards.len())
            .ok()
            .filter(|count| *count > 0)?;
        Some(ShardIndex::of_budget(budget, count))
    }

    /// Opens a wallet for each shard, which announces this incarnation.
    pub(super) fn open_shards(&mut self, count: u16) {
        for index in 0..count {
            let wallet = self.new_wallet(self.identity.incarnation);
            self.shards
                .push(ShardWallet::new(ShardIndex(index), wallet));
        }
    }

    fn new_wallet(&self, incarnation: IncarnationId) -> Wallet {
        let me = &self.identity;
        let wallet = Wallet::new(
            incarnation,
            me.vm.clone(),
            me.instance.clone(),
            me.data_centre.clone(),
        );
        wallet.in_process_of(me.incarnation)
    }

    /// Starts a new incarnation in each shard whose wallet was fenced.
    ///
    /// The fenced incarnation makes no new reservations. Its requests in flight finish and settle
    /// against the held tokens; its shutdown notice then returns the rest.
    pub(super) fn renew_fenced(&mut self) {
        if !self.shutdown_replies.is_empty() {
            return;
        }
        for at in 0..self.shards.len() {
            if !self.shards[at].wallet().is_closed() {
                continue;
            }
            let shard = self.shards[at].shard();
            let incarnation = IncarnationId(self.rng.random());
            log::warn!("shard {shard}: fenced; continuing as incarnation {incarnation}");
            metrics::counter!("toucan_renewals_total").increment(1);
            let renewed = ShardWallet::new(shard, self.new_wallet(incarnation));
            let renewed = renewed.with_batcher(self.shards[at].batcher());
            self.retiring
                .push(std::mem::replace(&mut self.shards[at], renewed));
        }
    }

    /// Draws and returns grants according to the draw policy.
    pub(super) fn resize_grants(&mut self, now_ms: u64) {
        let document = &self.document;
        let bridge_ms = |budget: &BudgetName| {
            document
                .budget(budget.as_str())
                .map_or(0, |budget| budget.bridge_ms)
        };
        for shard in &mut self.shards {
            shard
                .wallet_mut()
                .tick(&self.draw, self.total_nodes, bridge_ms, now_ms);
        }
    }

    /// Sends pending messages to the batchers.
    pub(super) fn send_syncs(&mut self, now_ms: u64) {
        for shard in self.shards.iter_mut().chain(&mut self.retiring) {
            let Some(request) = shard.next_request(now_ms) else {
                continue;
            };
            let sync = LedgerMessage::Sync(Box::new(request));
            if self.links.ledger.try_send(sync).is_err() {
                shard.record_failure(now_ms);
            }
        }
    }

    /// Ends fenced incarnations without requests in flight, and the current one during shutdown.
    pub(super) fn shut_down(&mut self, now_ms: u64) {
        self.retiring.retain_mut(|wallet| !wallet.try_shut_down());
        if self.shutdown_replies.is_empty() || !self.running.is_empty() {
            return;
        }
        let mut has_ended = self.retiring.is_empty();
        for shard in &mut self.shards {
            has_ended &= shard.try_shut_down();
        }
        self.send_syncs(now_ms);
        if has_ended {
            for reply in self.shutdown_replies.drain(..) {
                let _unread = reply.send(());
            }
        }
    }
}
