//! Grant of one budget in a wallet.

use toucan_types::{BudgetName, Sequence, Tokens};

use crate::recent_max::RecentMax;
use crate::{Bill, BudgetHint, DrawView, GrantTotal, RateMeter, SettleEntry};

/// Tokens received from a peer by a `Receive` record that is not known to be applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Receipt {
    pub(crate) sequence: Sequence,
    pub(crate) tokens: u64,
}

/// Grant of one budget in a wallet, with its pending draw, bills and returns.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) budget: BudgetName,
    pub(crate) available_tokens: u64,
    pub(crate) reserved_tokens: u64,
    /// First sequence number of the ledger's slot that `credited_tokens` belongs to.
    since: Sequence,
    credited_tokens: u64,
    receipts: Vec<Receipt>,
    pub(crate) pending_draw: Option<(Sequence, Tokens)>,
    /// Whether a grant was credited while the draw was pending.
    pub(crate) credited_by_draw: bool,
    /// Current backoff after draws that granted nothing.
    pub(crate) backoff_ms: u64,
    pub(crate) backoff_until_ms: u64,
    pub(crate) bills: Vec<Bill>,
    pub(crate) returned_tokens: u64,
    /// Total tokens of the requests that waited since the last tick.
    pub(crate) waiting_tokens: u64,
    /// Tokens of the smallest of these requests, [`u64::MAX`] if there is none.
    pub(crate) min_waiting_tokens: u64,
    pub(crate) max_request_tokens: RecentMax,
    pub(crate) last_used_at_ms: u64,
    pub(crate) rate: RateMeter,
    fleet_rate: RateMeter,
    pub(crate) hint: Option<BudgetHint>,
    /// Whether the wallet's list of active grants contains it.
    pub(crate) active: bool,
}

impl Grant {
    pub(crate) fn new(budget: BudgetName) -> Self {
        Self {
            budget,
            available_tokens: 0,
            reserved_tokens: 0,
            since: Sequence(0),
            credited_tokens: 0,
            receipts: Vec::new(),
            pending_draw: None,
            credited_by_draw: false,
            backoff_ms: 0,
            backoff_until_ms: 0,
            bills: Vec::new(),
            returned_tokens: 0,
            waiting_tokens: 0,
            min_waiting_tokens: u64::MAX,
            max_request_tokens: RecentMax::default(),
            last_used_at_ms: 0,
            rate: RateMeter::default(),
            fleet_rate: RateMeter::default(),
            hint: None,
            active: false,
        }
    }

    /// Credits what the ledger granted beyond what is already credited; returns the difference.
    pub(crate) fn credit(&mut self, total: &GrantTotal, watermark: Sequence) -> u64 {
        if total.since < self.since {
            return 0;
        }
        if total.since > self.since {
            self.since = total.since;
            self.credited_tokens = 0;
        }
        for receipt in self
            .receipts
            .iter()
            .filter(|receipt| receipt.sequence <= watermark)
        {
            if receipt.sequence >= self.since {
                self.credited_tokens += receipt.tokens;
            }
        }
        self.receipts.retain(|receipt| receipt.sequence > watermark);
        let granted = total.granted_tokens.0;
        let more = granted.saturating_sub(self.credited_tokens);
        self.credited_tokens += more;
        self.available_tokens += more;
        self.credited_by_draw |= more > 0;
        more
    }

    pub(crate) fn receive(&mut self, receipt: Receipt) {
        self.available_tokens += receipt.tokens;
        self.receipts.push(receipt);
    }

    /// Returns the unreserved tokens that the ledger confirms; only these may be transferred.
    ///
    /// The recipient's record may be applied before earlier records of the sender, so tokens that
    /// the sender itself received by a transfer must be confirmed first.
    pub(crate) fn transferable_tokens(&self) -> u64 {
        let unconfirmed: u64 = self.receipts.iter().map(|receipt| receipt.tokens).sum();
        let held = self.available_tokens + self.reserved_tokens;
        held.saturating_sub(unconfirmed).min(self.available_tokens)
    }

    /// Moves the bills and returned tokens that are in no record yet into a settlement entry.
    pub(crate) fn take_entry(&mut self) -> Option<SettleEntry> {
        if !self.has_unflushed() {
            return None;
        }
        Some(SettleEntry {
            budget: self.budget.clone(),
            bills: std::mem::take(&mut self.bills),
            returned_tokens: Tokens(std::mem::take(&mut self.returned_tokens)),
        })
    }

    /// Stores the ledger's totals of the budget and meters what the fleet spends.
    pub(crate) fn apply_hint(&mut self, hint: &BudgetHint, now_ms: u64) {
        if let Some(before) = &self.hint {
            let spent = hint.spent_tokens.saturating_sub(before.spent_tokens);
            self.fleet_rate.add(spent.0, now_ms);
        }
        self.hint = Some(hint.clone());
    }

    pub(crate) fn view(
        &self,
        nodes: u32,
        bridge_ms: u64,
        read_back_at_ms: u64,
        now_ms: u64,
    ) -> DrawView {
        let hint = self.hint.as_ref();
        DrawView {
            available_tokens: Tokens(self.available_tokens),
            reserved_tokens: Tokens(self.reserved_tokens),
            shortage_tokens: Tokens(self.waiting_tokens.saturating_sub(self.available_tokens)),
            is_backing_off: now_ms < self.backoff_until_ms,
            max_request_tokens: Tokens(self.max_request_tokens.get()),
            rate_tokens_per_s: self.rate.per_s(now_ms),
            long_rate_tokens_per_s: self.rate.long_per_s(now_ms),
            fleet_rate_tokens_per_s: self.fleet_rate.long_per_s(now_ms),
            staleness_ms: now_ms.saturating_sub(read_back_at_ms),
            idle_ms: now_ms.saturating_sub(self.last_used_at_ms),
            purchased_tokens: hint.map_or(Tokens::ZERO, |hint| hint.purchased_tokens),
            remaining_tokens: hint.map_or(Tokens::ZERO, |hint| hint.remaining_tokens),
            spent_tokens: hint.map_or(Tokens::ZERO, |hint| hint.spent_tokens),
            holder_count: hint.map_or(0, |hint| hint.holder_count),
            nodes,
            bridge_ms,
        }
    }

    /// Returns the tokens of the whole budget that are not billed, as last read back.
    pub(crate) fn unspent_tokens(&self) -> Option<u64> {
        let hint = self.hint.as_ref()?;
        Some(hint.purchased_tokens.saturating_sub(hint.spent_tokens).0)
    }

    /// Returns the tokens that the smallest waiting request lacks, 0 if none waits.
    pub(crate) fn min_shortage_tokens(&self) -> u64 {
        if self.waiting_tokens == 0 {
            return 0;
        }
        self.min_waiting_tokens
            .saturating_sub(self.available_tokens)
    }

    pub(crate) fn is_idle(&self) -> bool {
        let holds = self.available_tokens > 0 || self.reserved_tokens > 0;
        let waits = self.pending_draw.is_some() || self.waiting_tokens > 0;
        !holds && !waits && !self.has_unflushed()
    }

    /// Returns whether some bills or returned tokens are in no record yet.
    pub(crate) fn has_unflushed(&self) -> bool {
        !self.bills.is_empty() || self.returned_tokens > 0
    }
}
