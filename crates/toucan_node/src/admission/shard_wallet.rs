//! The wallet of one shard and its exchange with the shard's gatherer.

use std::collections::VecDeque;

use tokio::sync::oneshot;
use toucan_ledger::{GrantTransfer, IntentKey, LedgerRecord, Wallet};
use toucan_types::{BillId, BudgetName, FastHashMap, IncarnationId, Sequence, ShardIndex};

use crate::shard_sync::{ClaimState, OpenNote, OpenState, SyncReply, SyncRequest};

/// Most records of one message to the gatherer.
const MOST_RECORDS: usize = 512;
/// Time after which an unanswered message to the gatherer is sent again, in milliseconds.
const RESEND_MS: u64 = 400;
/// Time between two questions about draws and claims that the log has not decided, in milliseconds.
const POLL_MS: u64 = 15;
/// Time between two messages when there is nothing to tell, in milliseconds.
const IDLE_MS: u64 = 1_000;
/// Most budgets whose state is asked in one message for the sizing of draws.
const MOST_HINTS: usize = 64;

/// A reservation of a request that has not ended.
struct OpenRequest {
    note: OpenNote,
    sent: bool,
    /// Who waits for the answer; [`None`] once it came.
    reply: Option<oneshot::Sender<OpenState>>,
}

/// Who waits until a record is known outside this VM.
enum Waiter {
    /// Callers' requests whose bills are in the record.
    Bills(Vec<oneshot::Sender<()>>),
    /// A neighbour that gets part of a grant.
    GrantTransfer(GrantTransfer, oneshot::Sender<GrantTransfer>),
}

/// The wallet of one shard and its exchange with the shard's gatherer.
///
/// One message is on its way at a time, so that what gathers meanwhile shares the next one.
pub(super) struct ShardWallet {
    shard: ShardIndex,
    wallet: Wallet,
    /// Incarnation of the gatherer, if it is another node that was heard of.
    holder: Option<IncarnationId>,
    sent_at_ms: Option<u64>,
    next_sync_ms: u64,
    opens: FastHashMap<BillId, OpenRequest>,
    closes: Vec<BillId>,
    draws: FastHashMap<BudgetName, Sequence>,
    claims: FastHashMap<IntentKey, oneshot::Sender<ClaimState>>,
    unflushed: Vec<oneshot::Sender<()>>,
    not_outside: VecDeque<(Sequence, Waiter)>,
}

impl ShardWallet {
    pub(super) fn new(shard: ShardIndex, wallet: Wallet) -> Self {
        Self {
            shard,
            wallet,
            holder: None,
            sent_at_ms: None,
            next_sync_ms: 0,
            opens: FastHashMap::default(),
            closes: Vec::new(),
            draws: FastHashMap::default(),
            claims: FastHashMap::default(),
            unflushed: Vec::new(),
            not_outside: VecDeque::new(),
        }
    }

    /// Sets the gatherer's incarnation.
    pub(super) fn with_holder(mut self, holder: Option<IncarnationId>) -> Self {
        self.holder = holder;
        self
    }

    pub(super) fn holder(&self) -> Option<IncarnationId> {
        self.holder
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

    /// Tells the gatherer of a reservation; the reply gets what is known of the request.
    pub(super) fn open(&mut self, note: OpenNote, reply: oneshot::Sender<OpenState>) {
        let bill = note.reservation.bill;
        self.opens.insert(
            bill,
            OpenRequest {
                note,
                sent: false,
                reply: Some(reply),
            },
        );
    }

    /// Forgets the reservation of a request whose bill goes to the gatherer.
    pub(super) fn billed(&mut self, bill: BillId) {
        self.opens.remove(&bill);
    }

    /// Tells the gatherer that a request was not run.
    pub(super) fn close(&mut self, bill: BillId) {
        self.opens.remove(&bill);
        self.closes.push(bill);
    }

    /// Claims a call; the reply gets the state once the log has decided.
    ///
    /// The reply is dropped if the wallet is closed.
    pub(super) fn claim(&mut self, key: IntentKey, reply: oneshot::Sender<ClaimState>) {
        if self.wallet.claim(key).is_some() {
            self.claims.insert(key, reply);
        }
    }

    /// Notes who waits for the bills that the next message carries.
    pub(super) fn wait_until_outside(&mut self, reply: oneshot::Sender<()>) {
        self.unflushed.push(reply);
    }

    /// Sends a transfer once its record is known outside this VM.
    pub(super) fn send_when_outside(
        &mut self,
        transfer: GrantTransfer,
        reply: oneshot::Sender<GrantTransfer>,
    ) {
        self.not_outside
            .push_back((transfer.sequence(), Waiter::GrantTransfer(transfer, reply)));
    }

    /// The message to send now, if any.
    pub(super) fn next_request(&mut self, now_ms: u64) -> Option<SyncRequest> {
        if self
            .holder
            .is_some_and(|holder| !self.wallet.may_hold_records(holder))
        {
            return None;
        }
        if let Some(sent_at_ms) = self.sent_at_ms {
            if now_ms < sent_at_ms.saturating_add(RESEND_MS) {
                return None;
            }
            self.send_again();
        }
        self.flush();
        let urgent = self.has_news();
        if !urgent && now_ms < self.next_sync_ms {
            return None;
        }
        let request = self.build(now_ms);
        self.sent_at_ms = Some(now_ms);
        Some(request)
    }

    /// Takes the gatherer's answer.
    pub(super) fn synced(&mut self, reply: SyncReply, now_ms: u64) {
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
                // The caller may have left.
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
        self.wake_outside();
        let waits = !self.draws.is_empty() || !self.claims.is_empty();
        self.next_sync_ms = now_ms + if waits { POLL_MS } else { IDLE_MS };
    }

    /// Notes that the gatherer cannot be reached; the next message follows after a pause.
    pub(super) fn failed(&mut self, now_ms: u64) {
        if self.sent_at_ms.is_some() {
            self.sent_at_ms = Some(now_ms.saturating_sub(RESEND_MS.saturating_sub(POLL_MS)));
        }
    }

    /// Sends everything that is not read back to a new gatherer.
    pub(super) fn gatherer_changed(&mut self, holder: Option<IncarnationId>) {
        self.holder = holder;
        self.wallet.outbox_mut().change_holder();
        self.sent_at_ms = None;
        self.next_sync_ms = 0;
        for open in self.opens.values_mut() {
            open.sent = false;
        }
    }

    /// Says farewell once no request runs; true when the log has it and all records before.
    pub(super) fn has_ended(&mut self) -> bool {
        self.wallet.shut_down().is_some() && self.wallet.outbox().is_empty()
    }

    fn flush(&mut self) {
        let flushed = self.wallet.flush();
        let waiting = std::mem::take(&mut self.unflushed);
        if waiting.is_empty() {
            return;
        }
        let sequence = flushed.unwrap_or_else(|| self.wallet.outbox().last());
        self.not_outside
            .push_back((sequence, Waiter::Bills(waiting)));
        self.wake_outside();
    }

    fn wake_outside(&mut self) {
        while let Some((sequence, _)) = self.not_outside.front() {
            if !self.wallet.outbox().is_durable(*sequence) {
                return;
            }
            let Some((_, waiter)) = self.not_outside.pop_front() else {
                return;
            };
            waiter.wake();
        }
    }

    fn has_news(&self) -> bool {
        let outbox = self.wallet.outbox();
        outbox.has_unsent() || !self.closes.is_empty() || self.opens.values().any(|open| !open.sent)
    }

    fn send_again(&mut self) {
        self.sent_at_ms = None;
        self.wallet.outbox_mut().resend();
        // Also those answered by an earlier gatherer: this one may have missed the message.
        for open in self.opens.values_mut() {
            open.sent = false;
        }
    }

    fn build(&mut self, now_ms: u64) -> SyncRequest {
        let mut request = SyncRequest::new(self.shard, self.wallet.incarnation());
        request.folded = self.wallet.watermark();
        request.records = self.wallet.outbox_mut().take_unsent(MOST_RECORDS);
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
            request.opens.push(open.note.clone());
        }
        if !self.wallet.outbox().has_unsent() {
            request.confirmed = self.wallet.up_to();
        }
        request.closes = std::mem::take(&mut self.closes);
        request.budgets = self.asked_budgets(now_ms);
        request.claims = self.claims.keys().copied().collect();
        request
    }

    fn asked_budgets(&self, now_ms: u64) -> Vec<BudgetName> {
        let mut budgets: Vec<BudgetName> = self.draws.keys().cloned().collect();
        if now_ms >= self.next_sync_ms {
            let held = self.wallet.holdings().map(|(budget, _, _)| budget.clone());
            budgets.extend(held.take(MOST_HINTS));
            budgets.sort_unstable();
            budgets.dedup();
        }
        budgets
    }
}

impl Waiter {
    /// Tells whoever waits; they may have left.
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
