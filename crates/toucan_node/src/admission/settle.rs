//! The end of requests, claims, and the gatherers' answers.

use tokio::sync::oneshot;
use toucan_ledger::IntentKey;
use toucan_router::DispatchOutcome;
use toucan_types::{BillId, ShardIndex, Tokens};

use super::{AdmissionDuty, RequestOutcome, TicketId, queued::Running, shard_wallet::ShardWallet};
use crate::shard_sync::{ClaimState, SyncReply};

impl AdmissionDuty {
    /// Ends a request: bills what it used and frees the rest of its reservation.
    pub(super) fn finish(
        &mut self,
        ticket: TicketId,
        end: RequestOutcome,
        outside: oneshot::Sender<()>,
        now_ms: u64,
    ) {
        let Some(running) = self.running.remove(&ticket) else {
            // Another router has taken it over and bills it.
            let _unread = outside.send(());
            return;
        };
        if self.by_bill.get(&running.request.bill) == Some(&ticket) {
            self.by_bill.remove(&running.request.bill);
        }
        self.limiter.finish(&running.request.organisation);
        if let Some(dispatch) = running.dispatch {
            self.table.record_end(dispatch, dispatch_end(end), now_ms);
        }
        if matches!(end, RequestOutcome::Answered { .. })
            && let Some(budget) = self.retry_budgets.get_mut(&running.request.service)
        {
            budget.record_success();
        }
        self.settle(running, end, outside, now_ms);
        self.serve(now_ms);
    }

    fn settle(
        &mut self,
        running: Running,
        end: RequestOutcome,
        outside: oneshot::Sender<()>,
        now_ms: u64,
    ) {
        let bill = running.request.bill;
        let Running {
            request, reserved, ..
        } = running;
        let Some(shard) = self.wallet_of(&request.budget, reserved.incarnation) else {
            // Its tokens were counted as spent when the incarnation was released.
            log::warn!(
                "bill {bill} of {} is left to the release of its wallet",
                request.budget
            );
            let _unread = outside.send(());
            return;
        };
        match end {
            RequestOutcome::Answered { used_tokens, .. }
            | RequestOutcome::CutOff { used_tokens, .. }
                if used_tokens > Tokens::ZERO =>
            {
                shard
                    .wallet_mut()
                    .settle(reserved.reservation, bill, used_tokens, now_ms);
                shard.billed(bill);
                shard.wait_until_outside(outside);
            }
            RequestOutcome::Answered { .. }
            | RequestOutcome::CutOff { .. }
            | RequestOutcome::NotRun { .. }
            | RequestOutcome::TakenOver => {
                shard.wallet_mut().cancel(reserved.reservation);
                shard.close(bill);
                // Nothing is billed, so there is nothing to wait for.
                let _unread = outside.send(());
            }
        }
    }

    /// Claims a call that may not be repeated.
    pub(super) fn claim(&mut self, key: IntentKey, reply: oneshot::Sender<ClaimState>) {
        if let Some(shard) = self.shard_of_claim(key) {
            shard.claim(key, reply);
        }
    }

    /// Records the outcome of a claimed call.
    pub(super) fn claim_done(&mut self, key: IntentKey, status: u16, digest: u128) {
        if let Some(shard) = self.shard_of_claim(key) {
            shard.wallet_mut().record_claim_outcome(key, digest, status);
        }
    }

    /// Takes a gatherer's answer and goes on with what waited for it.
    pub(super) fn synced(&mut self, reply: SyncReply, now_ms: u64) {
        let has_update = reply.update.is_some();
        for bill in &reply.taken_over {
            self.give_up(*bill, now_ms);
        }
        let Some(shard) = self.wallet_in(reply.shard, reply.incarnation) else {
            return;
        };
        shard.synced(reply, now_ms);
        if has_update && !self.parked.is_empty() {
            self.retry_parked(now_ms);
        }
    }

    /// Ends a request that another router goes on with; that router bills it.
    fn give_up(&mut self, bill: BillId, now_ms: u64) {
        let Some(ticket) = self.by_bill.get(&bill).copied() else {
            return;
        };
        let resumable = |running: &&mut Running| running.request.resumable;
        let Some(running) = self.running.get_mut(&ticket).filter(resumable) else {
            return;
        };
        let (unused, _) = oneshot::channel();
        // The relay may have ended just now.
        let _ended = std::mem::replace(&mut running.superseded, unused).send(());
        let (outside, _unread) = oneshot::channel();
        self.finish(ticket, RequestOutcome::TakenOver, outside, now_ms);
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

fn dispatch_end(end: RequestOutcome) -> DispatchOutcome {
    match end {
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
