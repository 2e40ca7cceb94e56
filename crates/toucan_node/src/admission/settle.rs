//! Settlement of finished requests, claims, and replies of the batchers.

use tokio::sync::oneshot;
use toucan_ledger::IntentKey;
use toucan_router::DispatchOutcome;
use toucan_types::{BillId, ShardIndex, Tokens};

use super::{AdmissionDuty, RequestOutcome, TicketId, queued::Running, shard_wallet::ShardWallet};
use crate::shard_sync::{ClaimState, SyncReply};

impl AdmissionDuty {
    /// Finishes a request: bills the tokens it used and releases the rest of its reservation.
    pub(super) fn finish(
        &mut self,
        ticket: TicketId,
        outcome: RequestOutcome,
        durable: oneshot::Sender<()>,
        now_ms: u64,
    ) {
        let Some(running) = self.running.remove(&ticket) else {
            // Another router took the request over and bills it.
            let _unread = durable.send(());
            return;
        };
        if self.by_bill.get(&running.request.bill) == Some(&ticket) {
            self.by_bill.remove(&running.request.bill);
        }
        self.limiter.finish(&running.request.organisation);
        if let Some(dispatch) = running.dispatch {
            self.table
                .record_end(dispatch, dispatch_outcome(outcome), now_ms);
        }
        if matches!(outcome, RequestOutcome::Answered { .. })
            && let Some(budget) = self.retry_budgets.get_mut(&running.request.service)
        {
            budget.record_success();
        }
        self.settle(running, outcome, durable, now_ms);
        self.dispatch_queued(now_ms);
    }

    fn settle(
        &mut self,
        running: Running,
        outcome: RequestOutcome,
        durable: oneshot::Sender<()>,
        now_ms: u64,
    ) {
        let bill = running.request.bill;
        let Running {
            request, reserved, ..
        } = running;
        let Some(shard) = self.wallet_of(&request.budget, reserved.incarnation) else {
            // The release of the incarnation already counted these tokens as spent.
            log::warn!(
                "bill {bill} of {} is not recorded: its wallet was released",
                request.budget
            );
            let _unread = durable.send(());
            return;
        };
        match outcome {
            RequestOutcome::Answered { used_tokens, .. }
            | RequestOutcome::CutOff { used_tokens, .. }
                if used_tokens > Tokens::ZERO =>
            {
                shard
                    .wallet_mut()
                    .settle(reserved.reservation, bill, used_tokens, now_ms);
                shard.billed(bill);
                shard.wait_until_durable(durable);
            }
            RequestOutcome::Answered { .. }
            | RequestOutcome::CutOff { .. }
            | RequestOutcome::NotRun { .. }
            | RequestOutcome::TakenOver => {
                shard.wallet_mut().cancel(reserved.reservation);
                shard.close(bill);
                // Without a bill there is no record to wait for.
                let _unread = durable.send(());
            }
        }
    }

    /// Claims a call that must not run twice.
    pub(super) fn claim(&mut self, key: IntentKey, reply: oneshot::Sender<ClaimState>) {
        if let Some(shard) = self.shard_of_claim(key) {
            shard.claim(key, reply);
        }
    }

    /// Records the outcome of a claimed call.
    pub(super) fn record_claim_outcome(&mut self, key: IntentKey, status: u16, digest: u128) {
        if let Some(shard) = self.shard_of_claim(key) {
            shard.wallet_mut().record_claim_outcome(key, digest, status);
        }
    }

    /// Applies a batcher's reply and continues what waited for it.
    pub(super) fn apply_sync_reply(&mut self, reply: SyncReply, now_ms: u64) {
        let has_update = reply.update.is_some();
        for bill in &reply.taken_over {
            self.release_taken_over(*bill, now_ms);
        }
        let Some(shard) = self.shard_wallet_of(reply.shard, reply.incarnation) else {
            return;
        };
        shard.apply_reply(reply, now_ms);
        if has_update && !self.parked.is_empty() {
            self.retry_parked(now_ms);
        }
    }

    /// Finishes a request without a bill because another router took it over and bills it.
    fn release_taken_over(&mut self, bill: BillId, now_ms: u64) {
        let Some(ticket) = self.by_bill.get(&bill).copied() else {
            return;
        };
        let is_resumable = |running: &&mut Running| running.request.resumable;
        let Some(running) = self.running.get_mut(&ticket).filter(is_resumable) else {
            return;
        };
        let (unused, _) = oneshot::channel();
        // The relay may have ended meanwhile.
        let _ended = std::mem::replace(&mut running.superseded, unused).send(());
        let (durable, _unread) = oneshot::channel();
        self.finish(ticket, RequestOutcome::TakenOver, durable, now_ms);
    }

    fn shard_of_claim(&mut self, key: IntentKey) -> Option<&mut ShardWallet> {
        let count = u16::try_from(self.shards.len())
            .ok()
            .filter(|count| *count > 0)?;
        let shard = shard_of_claim(key, count);
        self.shards.get_mut(usize::from(shard.0))
    }
}

fn shard_of_claim(key: IntentKey, shards: u16) -> ShardIndex {
    let low = u64::try_from(key.0 & u128::from(u64::MAX)).unwrap_or_default();
    ShardIndex::of_hash(low, shards)
}

fn dispatch_outcome(outcome: RequestOutcome) -> DispatchOutcome {
    match outcome {
        RequestOutcome::Answered { cached_tokens, .. } => {
            DispatchOutcome::Completed { cached_tokens }
        }
        RequestOutcome::CutOff {
            target_failed: true,
            ..
        }
        | RequestOutcome::NotRun {
            target_failed: true,
        } => DispatchOutcome::Failed,
        RequestOutcome::CutOff { .. }
        | RequestOutcome::NotRun { .. }
        | RequestOutcome::TakenOver => DispatchOutcome::Cancelled,
    }
}
