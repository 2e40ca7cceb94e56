//! Wallet of one shard and its synchronisation with the shard's batcher.

use std::collections::VecDeque;

use tokio::sync::oneshot;
use toucan_ledger::{GrantTransfer, IntentKey, LedgerRecord, Wallet};
use toucan_types::{BillId, BudgetName, FastHashMap, IncarnationId, Sequence, ShardIndex};

use crate::shard_sync::{ClaimState, OpenState, PendingDispatch, SyncReply, SyncRequest};

/// Maximum number of records per message to the batcher.
const MAX_RECORDS: usize = 512;
/// Time after which an unanswered message to the batcher is sent again, in milliseconds.
const RESEND_TIMEOUT_MS: u64 = 400;
/// Time between two messages while draws or claims are undecided, in milliseconds.
const POLL_INTERVAL_MS: u64 = 15;
/// Time between two messages when there is nothing to send, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 1_000;
/// Maximum number of held budgets queried per message, to size draws.
const MAX_HELD_BUDGETS: usize = 64;

/// Reservation of a request that has not finished.
struct OpenRequest {
    dispatch: PendingDispatch,
    sent: bool,
    /// Receives the batcher's reply; [`None`] once it arrived.
    reply: Option<oneshot::Sender<OpenState>>,
}

/// Recipients notified once a record is durable, that is, known outside this VM.
enum Waiter {
    /// Requests whose bills are in the record.
    Bills(Vec<oneshot::Sender<()>>),
    /// A peer that receives part of a grant.
    GrantTransfer(GrantTransfer, oneshot::Sender<GrantTransfer>),
}

/// Wallet of one shard and its synchronisation with the shard's batcher.
///
/// Only one message is in flight at a time, so that records written meanwhile share the next one.
pub(super) struct ShardWallet {
    shard: ShardIndex,
    wallet: Wallet,
    /// Incarnation of the batcher, if it is another node and known.
    batcher: Option<IncarnationId>,
    sent_at_ms: Option<u64>,
    next_sync_ms: u64,
    opens: FastHashMap<BillId, OpenRequest>,
    closes: Vec<BillId>,
    draws: FastHashMap<BudgetName, Sequence>,
    claims: FastHashMap<IntentKey, oneshot::Sender<ClaimState>>,
    bill_waiters: Vec<oneshot::Sender<()>>,
    durability_waiters: VecDeque<(Sequence, Waiter)>,
}

impl ShardWallet {
    pub(super) fn new(shard: ShardIndex, wallet: Wallet) -> Self {
        Self {
            shard,
            wallet,
            batcher: None,
            sent_at_ms: None,
            next_sync_ms: 0,
            opens: FastHashMap::default(),
            closes: Vec::new(),
            draws: FastHashMap::default(),
            claims: FastHashMap::default(),
            bill_waiters: Vec::new(),
            durability_waiters: VecDeque::new(),
        }
    }

    /// Sets the incarnation of the batcher.
    pub(super) fn with_batcher(mut self, batcher: Option<IncarnationId>) -> Self {
        self.batcher = batcher;
        self
    }

    pub(super) fn batcher(&self) -> Option<IncarnationId> {
        self.batcher
    }

    pub(super) fn shard(&self) -> ShardIndex {
        self.shard
    }

    pub(super) fn wallet(&self) -> &Wallet {
        &self.wallet
    }

    pub(super) fn wallet_mut(&mut self) -> &mut Wallet {
        &mut self.wallet
    }

    /// Queues a reservation for the batcher; `reply` receives the known state of the request.
    pub(super) fn open(&mut self, dispatch: PendingDispatch, reply: oneshot::Sender<OpenState>) {
        let bill = dispatch.reservation.bill;
        self.opens.insert(
            bill,
            OpenRequest {
                dispatch,
                sent: false,
                reply: Some(reply),
            },
        );
    }

    /// Removes the reservation of a request whose bill is sent to the batcher.
    pub(super) fn billed(&mut self, bill: BillId) {
        self.opens.remove(&bill);
    }

    /// Queues the notice to the batcher that a request did not run.
    pub(super) fn close(&mut self, bill: BillId) {
        self.opens.remove(&bill);
        self.closes.push(bill);
    }

    /// Claims a call; `reply` receives the state once the log has decided.
    ///
    /// `reply` is dropped if the wallet is closed.
    pub(super) fn claim(&mut self, key: IntentKey, reply: oneshot::Sender<ClaimState>) {
        if self.wallet.claim(key).is_some() {
            self.claims.insert(key, reply);
        }
    }

    /// Adds a recipient notified once the bills of the next message are durable.
    pub(super) fn wait_until_durable(&mut self, reply: oneshot::Sender<()>) {
        self.bill_waiters.push(reply);
    }

    /// Sends a transfer once its record is durable.
    pub(super) fn send_when_durable(
        &mut self,
        transfer: GrantTransfer,
        reply: oneshot::Sender<GrantTransfer>,
    ) {
        self.durability_waiters
            .push_back((transfer.sequence(), Waiter::GrantTransfer(transfer, reply)));
    }

    /// Returns the message to send now, if any.
    pub(super) fn next_request(&mut self, now_ms: u64) -> Option<SyncRequest> {
        if self
            .batcher
            .is_some_and(|batcher| !self.wallet.may_hold_records(batcher))
        {
            return None;
        }
        if let Some(sent_at_ms) = self.sent_at_ms {
            if now_ms < sent_at_ms.saturating_add(RESEND_TIMEOUT_MS) {
                return None;
            }
            self.resend();
        }
        self.flush();
        let has_unsent = self.has_unsent();
        if !has_unsent && now_ms < self.next_sync_ms {
            return None;
        }
        let request = self.build(now_ms);
        self.sent_at_ms = Some(now_ms);
        Some(request)
    }

    /// Applies the batcher's reply.
    pub(super) fn apply_reply(&mut self, reply: SyncReply, now_ms: u64) {
        self.sent_at_ms = None;
        self.wallet.outbox_mut().acknowledge(reply.collected);
        if let Some(update) = &reply.update {
            self.wallet.update(update, now_ms);
            self.draws
                .retain(|_, sequence| *sequence > update.watermark);
        }
        for answer in reply.opens {
            let open = self.opens.get_mut(&answer.bill);
            if let Some(reply) = open.and_then(|open| open.reply.take()) {
                // The caller may have disconnected.
                let _unread = reply.send(answer.state);
            }
        }
        for (key, state) in reply.claims {
            if state != ClaimState::Pending
                && let Some(waiting) = self.claims.remove(&key)
            {
                let _unread = waiting.send(state);
            }
        }
        self.wake_durable();
        let is_polling = !self.draws.is_empty() || !self.claims.is_empty();
        self.next_sync_ms = now_ms
            + if is_polling {
                POLL_INTERVAL_MS
            } else {
                IDLE_INTERVAL_MS
            };
    }

    /// Records that the batcher is unreachable; the next message follows after a poll interval.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        if self.sent_at_ms.is_some() {
            self.sent_at_ms =
                Some(now_ms.saturating_sub(RESEND_TIMEOUT_MS.saturating_sub(POLL_INTERVAL_MS)));
        }
    }

    /// Sets a new batcher and resends everything that was not read back from the log.
    pub(super) fn change_batcher(&mut self, batcher: Option<IncarnationId>) {
        self.batcher = batcher;
        self.wallet.outbox_mut().change_holder();
        self.sent_at_ms = None;
        self.next_sync_ms = 0;
        for open in self.opens.values_mut() {
            open.sent = false;
        }
    }

    /// Writes the shutdown notice once no request is in flight.
    ///
    /// Returns whether the notice and all earlier records were read back from the log.
    pub(super) fn try_shut_down(&mut self) -> bool {
        self.wallet.shut_down().is_some() && self.wallet.outbox().is_empty()
    }

    fn flush(&mut self) {
        let flushed = self.wallet.flush();
        let waiting = std::mem::take(&mut self.bill_waiters);
        if waiting.is_empty() {
            return;
        }
        let sequence = flushed.unwrap_or_else(|| self.wallet.outbox().last());
        self.durability_waiters
            .push_back((sequence, Waiter::Bills(waiting)));
        self.wake_durable();
    }

    fn wake_durable(&mut self) {
        while let Some((sequence, _)) = self.durability_waiters.front() {
            if !self.wallet.outbox().is_durable(*sequence) {
                return;
            }
            let Some((_, waiter)) = self.durability_waiters.pop_front() else {
                return;
            };
            waiter.wake();
        }
    }

    fn has_unsent(&self) -> bool {
        let outbox = self.wallet.outbox();
        outbox.has_unsent() || !self.closes.is_empty() || self.opens.values().any(|open| !open.sent)
    }

    fn resend(&mut self) {
        self.sent_at_ms = None;
        self.wallet.outbox_mut().resend();
        // Includes those that an earlier batcher answered: the new one may not have received them.
        for open in self.opens.values_mut() {
            open.sent = false;
        }
    }

    fn build(&mut self, now_ms: u64) -> SyncRequest {
        let mut request = SyncRequest::new(self.shard, self.wallet.incarnation());
        request.folded = self.wallet.watermark();
        request.records = self.wallet.outbox_mut().take_unsent(MAX_RECORDS);
        for record in &request.records {
            if let LedgerRecord::Draw {
                sequence, budget, ..
            } = record
            {
                self.draws.insert(budget.clone(), *sequence);
            }
        }
        for open in self.opens.values_mut().filter(|open| !open.sent) {
            open.sent = true;
            request.opens.push(open.dispatch.clone());
        }
        if !self.wallet.outbox().has_unsent() {
            request.confirmed = self.wallet.up_to();
        }
        request.closes = std::mem::take(&mut self.closes);
        request.budgets = self.queried_budgets(now_ms);
        request.claims = self.claims.keys().copied().collect();
        request
    }

    fn queried_budgets(&self, now_ms: u64) -> Vec<BudgetName> {
        let mut budgets: Vec<BudgetName> = self.draws.keys().cloned().collect();
        if now_ms >= self.next_sync_ms {
            let held = self.wallet.holdings().map(|(budget, _, _)| budget.clone());
            budgets.extend(held.take(MAX_HELD_BUDGETS));
            budgets.sort_unstable();
            budgets.dedup();
        }
        budgets
    }
}

impl Waiter {
    /// Notifies the recipients; they may be gone.
    fn wake(self) {
        match self {
            Self::Bills(replies) => {
                for reply in replies {
                    let _unread = reply.send(());
                }
            }
            Self::GrantTransfer(transfer, reply) => {
                let _unread = reply.send(transfer);
            }
        }
    }
}
