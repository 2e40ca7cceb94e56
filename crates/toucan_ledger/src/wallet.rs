//! Grants of one node in one stream.

use toucan_types::{
    BillId, BudgetName, DataCentreName, FastHashMap, IncarnationId, Offset, Sequence, Tokens,
    VmInstance, VmName,
};

use crate::grant::Grant;
use crate::{
    ANNOUNCE_SEQUENCE, Bill, DrawPolicy, IntentKey, LedgerRecord, Outbox, Reservation,
    ReserveError, WalletUpdate,
};

/// Minimum backoff after a draw that granted nothing, in milliseconds.
const MIN_BACKOFF_MS: u64 = 200;
/// Maximum backoff while other nodes hold unspent tokens, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;
/// Maximum backoff once the budget is spent and only a top-up can help, in milliseconds.
const MAX_SPENT_BACKOFF_MS: u64 = 5_000;

/// Received transfer whose `Receive` record is not known to be applied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedTransfer {
    pub(crate) from: IncarnationId,
    pub(crate) from_sequence: Sequence,
    pub(crate) sequence: Sequence,
}

/// Grants of one node in one stream, and the records that the node writes.
///
/// The process binds the exclusive peer port of its VM instance before it creates a wallet, and
/// keeps it until its last shutdown notice is read back. Holding the port proves that the previous
/// process on the instance has terminated.
///
/// The wallet spends only what it holds. Grants reach it through [`Wallet::update`] once they are
/// read back from the log, or directly by a peer's [`crate::GrantTransfer`].
///
/// ```
/// use toucan_ledger::{GrantTotal, Wallet, WalletUpdate};
/// use toucan_types::{BillId, BudgetName, IncarnationId, Offset, Sequence, Tokens};
///
/// let me = IncarnationId(7);
/// let mut wallet = Wallet::new(me, "vm-1".into(), "i-1".into(), "east".into());
/// let budget = BudgetName::from("drafting");
/// let draw = wallet.draw(&budget, Tokens(500), 0).expect("no draw is pending");
/// // The record is appended to the log and applied, and the batcher responds:
/// wallet.update(
///     &WalletUpdate {
///         incarnation: me,
///         up_to: Offset(3),
///         watermark: draw,
///         fenced: false,
///         fenced_peers: Vec::new(),
///         predecessors: Vec::new(),
///         grants: vec![GrantTotal {
///             budget: budget.clone(),
///             since: draw,
///             granted_tokens: Tokens(500),
///         }],
///         in_transit: Vec::new(),
///         hints: Vec::new(),
///     },
///     10,
/// );
/// let reservation = wallet.reserve(&budget, Tokens(300), 20)?;
/// wallet.settle(reservation, BillId(1), Tokens(120), 900);
/// let settlement = wallet.flush().expect("one bill is waiting");
/// assert!(!wallet.outbox().is_durable(settlement));
/// # Ok::<(), toucan_ledger::ReserveError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Wallet {
    pub(crate) outbox: Outbox,
    pub(crate) fenced: bool,
    pub(crate) shutdown_notice: Option<Sequence>,
    watermark: Sequence,
    up_to: Option<Offset>,
    pub(crate) index: FastHashMap<BudgetName, u32>,
    pub(crate) grants: Vec<Grant>,
    active: Vec<u32>,
    /// Grants with bills or returned tokens that are in no record yet.
    unflushed: Vec<u32>,
    pub(crate) received: Vec<ReceivedTransfer>,
    pub(crate) last_received: FastHashMap<IncarnationId, Sequence>,
    fenced_peers: Vec<IncarnationId>,
    read_back_at_ms: u64,
    /// Incarnations whose termination this one has declared.
    declared_predecessors: Vec<IncarnationId>,
}

impl Wallet {
    /// Creates an empty wallet whose first record announces the incarnation.
    #[must_use]
    pub fn new(
        incarnation: IncarnationId,
        vm: VmName,
        instance: VmInstance,
        data_centre: DataCentreName,
    ) -> Self {
        let mut outbox = Outbox::new(incarnation);
        outbox.push(|incarnation, _| LedgerRecord::Announce {
            incarnation,
            process: incarnation,
            vm,
            instance,
            data_centre,
        });
        Self {
            outbox,
            fenced: false,
            shutdown_notice: None,
            watermark: Sequence(0),
            up_to: None,
            index: FastHashMap::default(),
            grants: Vec::new(),
            active: Vec::new(),
            unflushed: Vec::new(),
            received: Vec::new(),
            last_received: FastHashMap::default(),
            fenced_peers: Vec::new(),
            read_back_at_ms: 0,
            declared_predecessors: Vec::new(),
        }
    }

    /// Marks the incarnation as one that a running process starts after it found itself fenced.
    ///
    /// `first` is the first incarnation of the process. Without this, the new incarnation would
    /// count as proof that the process of the old one has terminated, while its requests still run.
    #[must_use]
    pub fn in_process_of(mut self, first: IncarnationId) -> Self {
        self.outbox.set_process(first);
        self
    }

    /// Returns the incarnation that holds the grants.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationId {
        self.outbox.incarnation()
    }

    /// Returns the outbox, the records that are not read back from the log yet.
    #[must_use]
    pub const fn outbox(&self) -> &Outbox {
        &self.outbox
    }

    /// Returns the outbox, to mark its records as sent and acknowledged.
    pub const fn outbox_mut(&mut self) -> &mut Outbox {
        &mut self.outbox
    }

    /// Returns the last own sequence number that was read back from the log.
    #[must_use]
    pub const fn watermark(&self) -> Sequence {
        self.watermark
    }

    /// Returns whether the announce was read back; only then may peers be asked for grants.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        self.watermark >= ANNOUNCE_SEQUENCE
    }

    /// Returns whether the incarnation is fenced or has shut down, and admits nothing.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.fenced || self.shutdown_notice.is_some()
    }

    /// Returns whether another incarnation of the data centre may be sent this one's records.
    ///
    /// It may not once its fence was read back, so that a release can do without its journal.
    #[must_use]
    pub fn may_hold_records(&self, peer: IncarnationId) -> bool {
        peer != self.incarnation() && !self.fenced_peers.contains(&peer)
    }

    /// Returns the last offset that the wallet's state covers, to be sent along with its records;
    /// see [`crate::RecordBatcher::confirm`].
    #[must_use]
    pub const fn up_to(&self) -> Option<Offset> {
        self.up_to
    }

    /// Reserves tokens for one request; allocates nothing for a budget that was used before.
    ///
    /// # Errors
    /// [`ReserveError::Fenced`] or [`ReserveError::NoGrant`]. After the latter, call
    /// [`Self::record_demand`] and ask the peers; [`Self::refusal`] returns the reason to give the
    /// caller.
    pub fn reserve(
        &mut self,
        budget: &BudgetName,
        tokens: Tokens,
        now_ms: u64,
    ) -> Result<Reservation, ReserveError> {
        if self.is_closed() {
            return Err(ReserveError::Fenced);
        }
        let Some(index) = self.index.get(budget).copied() else {
            return Err(ReserveError::NoGrant {
                missing_tokens: tokens,
            });
        };
        let grant = &mut self.grants[index as usize];
        grant.last_used_at_ms = now_ms;
        grant.max_request_tokens.add(tokens.0, now_ms);
        if grant.available_tokens < tokens.0 {
            let missing_tokens = Tokens(tokens.0 - grant.available_tokens);
            return Err(ReserveError::NoGrant { missing_tokens });
        }
        grant.available_tokens -= tokens.0;
        grant.reserved_tokens += tokens.0;
        Ok(Reservation {
            grant_index: index,
            reserved_tokens: tokens,
            admitted_at_ms: now_ms,
        })
    }

    /// Bills a request that ended, up to its reservation; the rest becomes available again.
    ///
    /// The bill is in a record after [`Self::flush`].
    #[allow(
        clippy::needless_pass_by_value,
        reason = "a reservation is settled once"
    )]
    pub fn settle(&mut self, reservation: Reservation, id: BillId, used: Tokens, now_ms: u64) {
        let used = used.min(reservation.reserved_tokens);
        let grant = &mut self.grants[reservation.grant_index as usize];
        if !grant.has_unflushed() {
            self.unflushed.push(reservation.grant_index);
        }
        grant.reserved_tokens -= reservation.reserved_tokens.0;
        grant.available_tokens += reservation.reserved_tokens.0 - used.0;
        grant.rate.add(used.0, now_ms);
        grant.bills.push(Bill {
            id,
            tokens: used,
            admitted_at_ms: reservation.admitted_at_ms,
        });
    }

    /// Makes the tokens of a request that was not run available again.
    #[allow(
        clippy::needless_pass_by_value,
        reason = "a reservation is cancelled once"
    )]
    pub fn cancel(&mut self, reservation: Reservation) {
        let grant = &mut self.grants[reservation.grant_index as usize];
        grant.reserved_tokens -= reservation.reserved_tokens.0;
        grant.available_tokens += reservation.reserved_tokens.0;
    }

    /// Records that a request waits for tokens.
    ///
    /// Call it once for each waiting request before each [`Self::tick`].
    pub fn record_demand(&mut self, budget: &BudgetName, tokens: Tokens, now_ms: u64) {
        let index = self.grant_or_new(budget);
        let grant = &mut self.grants[index as usize];
        grant.last_used_at_ms = now_ms;
        grant.max_request_tokens.add(tokens.0, now_ms);
        grant.waiting_tokens = grant.waiting_tokens.saturating_add(tokens.0);
        grant.min_waiting_tokens = grant.min_waiting_tokens.min(tokens.0);
        self.activate(index);
    }

    /// Returns the reason to give a caller whose request cannot be admitted.
    #[must_use]
    pub fn refusal(&self, budget: &BudgetName, tokens: Tokens) -> ReserveError {
        if self.is_closed() {
            return ReserveError::Fenced;
        }
        let grant = self
            .index
            .get(budget)
            .map(|index| &self.grants[*index as usize]);
        let available = grant.map_or(0, |grant| grant.available_tokens);
        let missing_tokens = Tokens(tokens.0.saturating_sub(available));
        match grant.and_then(Grant::unspent_tokens).map(Tokens) {
            Some(unspent_tokens) if unspent_tokens < tokens => {
                ReserveError::Spent { unspent_tokens }
            }
            _ => ReserveError::NoGrant { missing_tokens },
        }
    }

    /// Resizes the grants: draws what the policy asks for and takes out what it returns.
    ///
    /// `nodes` is the number of nodes of the fleet, `bridge_ms` the setting of the organisation that
    /// owns a budget. Returned tokens become part of the next [`Self::flush`].
    pub fn tick(
        &mut self,
        policy: &impl DrawPolicy,
        nodes: u32,
        bridge_ms: impl Fn(&BudgetName) -> u64,
        now_ms: u64,
    ) {
        if self.is_closed() {
            return;
        }
        let mut active = std::mem::take(&mut self.active);
        active.retain(|index| {
            self.size_grant(*index, policy, nodes, &bridge_ms, now_ms);
            let grant = &mut self.grants[*index as usize];
            grant.active = !grant.is_idle();
            grant.active
        });
        active.append(&mut self.active);
        self.active = active;
    }

    fn size_grant(
        &mut self,
        index: u32,
        policy: &impl DrawPolicy,
        nodes: u32,
        bridge_ms: &impl Fn(&BudgetName) -> u64,
        now_ms: u64,
    ) {
        let read_back_at_ms = self.read_back_at_ms;
        let grant = &mut self.grants[index as usize];
        let view = grant.view(nodes, bridge_ms(&grant.budget), read_back_at_ms, now_ms);
        let shortage = grant.min_shortage_tokens();
        grant.waiting_tokens = 0;
        grant.min_waiting_tokens = u64::MAX;
        if grant.pending_draw.is_some() {
            return;
        }
        let decision = policy.decide(&view);
        let returned = decision.return_tokens.0.min(grant.available_tokens);
        if returned > 0 {
            if !grant.has_unflushed() {
                self.unflushed.push(index);
            }
            grant.available_tokens -= returned;
            grant.returned_tokens += returned;
        }
        if !decision.draw_tokens.is_zero() && !view.is_backing_off {
            self.push_draw(index, decision.draw_tokens, Tokens(shortage));
        }
    }

    /// Draws on a budget at once; [`None`] if a draw is pending or the wallet is closed.
    pub fn draw(&mut self, budget: &BudgetName, tokens: Tokens, now_ms: u64) -> Option<Sequence> {
        let index = self.grant_or_new(budget);
        self.activate(index);
        let grant = &mut self.grants[index as usize];
        grant.last_used_at_ms = now_ms;
        if self.is_closed() || self.grants[index as usize].pending_draw.is_some() {
            return None;
        }
        Some(self.push_draw(index, tokens, Tokens::ZERO))
    }

    fn push_draw(&mut self, index: u32, tokens: Tokens, least_tokens: Tokens) -> Sequence {
        let grant = &mut self.grants[index as usize];
        let budget = grant.budget.clone();
        let sequence = self
            .outbox
            .push(|incarnation, sequence| LedgerRecord::Draw {
                incarnation,
                sequence,
                budget,
                tokens,
                least_tokens,
            });
        grant.pending_draw = Some((sequence, tokens));
        sequence
    }

    /// Writes pending bills and returned tokens into one record; [`None`] if there are none.
    pub fn flush(&mut self) -> Option<Sequence> {
        let entries: Vec<_> = self
            .grants
            .iter_mut()
            .filter_map(Grant::take_entry)
            .collect();
        if entries.is_empty() {
            return None;
        }
        Some(
            self.outbox
                .push(|incarnation, sequence| LedgerRecord::Settle {
                    incarnation,
                    sequence,
                    entries,
                }),
        )
    }

    /// Claims a non-idempotent call; [`None`] if the wallet is closed.
    ///
    /// Dispatch the call only after the claim is read back as the first of its key.
    pub fn claim(&mut self, key: IntentKey) -> Option<Sequence> {
        if self.is_closed() {
            return None;
        }
        Some(
            self.outbox
                .push(|incarnation, sequence| LedgerRecord::Intent {
                    incarnation,
                    sequence,
                    key,
                }),
        )
    }

    /// Records the outcome of a claimed call.
    pub fn record_claim_outcome(&mut self, key: IntentKey, digest: u128, status: u16) -> Sequence {
        self.outbox
            .push(|incarnation, sequence| LedgerRecord::IntentDone {
                incarnation,
                sequence,
                key,
                digest,
                status,
            })
    }

    /// Applies what was read back from the log; an update older than the last one changes nothing.
    ///
    /// Only a higher offset shows that the log is reachable: a batcher that is partitioned from the
    /// log responds too, with the same offset again.
    pub fn update(&mut self, update: &WalletUpdate, now_ms: u64) {
        if update.incarnation != self.incarnation() || Some(update.up_to) < self.up_to {
            return;
        }
        if Some(update.up_to) > self.up_to {
            self.read_back_at_ms = now_ms;
        }
        self.up_to = Some(update.up_to);
        self.watermark = self.watermark.max(update.watermark);
        self.outbox.mark_applied(self.watermark);
        self.fenced_peers.clone_from(&update.fenced_peers);
        self.fenced |= update.fenced && self.shutdown_notice.is_none();
        for hint in &update.hints {
            if let Some(index) = self.index.get(&hint.budget) {
                self.grants[*index as usize].apply_hint(hint, now_ms);
            }
        }
        for total in &update.grants {
            let index = self.grant_or_new(&total.budget);
            let more = self.grants[index as usize].credit(total, self.watermark);
            if more > 0 {
                self.activate(index);
            }
        }
        self.resolve_draws(now_ms);
        self.declare_successions(&update.predecessors);
        self.received
            .retain(|received| received.sequence > update.watermark);
        for note in &update.in_transit {
            let known = |received: &ReceivedTransfer| {
                (received.from, received.from_sequence) == (note.from, note.sequence)
            };
            if !self.is_closed() && !self.received.iter().any(known) {
                let last = self.last_received.entry(note.from).or_default();
                *last = note.sequence.max(*last);
                self.receive_transfer(note);
            }
        }
    }

    /// Declares once that the previous processes on this VM instance have terminated.
    ///
    /// This process holds the instance's exclusive peer port, which each of them held before it
    /// announced itself.
    fn declare_successions(&mut self, predecessors: &[IncarnationId]) {
        for predecessor in predecessors {
            if self.declared_predecessors.contains(predecessor) || self.shutdown_notice.is_some() {
                continue;
            }
            self.declared_predecessors.push(*predecessor);
            let predecessor = *predecessor;
            self.outbox
                .push(|incarnation, sequence| LedgerRecord::Succeed {
                    incarnation,
                    sequence,
                    predecessor,
                });
        }
    }

    fn resolve_draws(&mut self, now_ms: u64) {
        for index in &self.active {
            let grant = &mut self.grants[*index as usize];
            let Some((sequence, _)) = grant.pending_draw else {
                continue;
            };
            if sequence > self.watermark {
                continue;
            }
            grant.pending_draw = None;
            let denied = !std::mem::take(&mut grant.credited_by_draw);
            let backoff_ms = if denied {
                let spent = grant
                    .unspent_tokens()
                    .is_some_and(|unspent| unspent < grant.max_request_tokens.get());
                let max_ms = if spent {
                    MAX_SPENT_BACKOFF_MS
                } else {
                    MAX_BACKOFF_MS
                };
                (grant.backoff_ms * 2).clamp(MIN_BACKOFF_MS, max_ms)
            } else {
                0
            };
            grant.backoff_ms = backoff_ms;
            grant.backoff_until_ms = now_ms + backoff_ms;
        }
    }

    /// Ends the incarnation and returns all its grants with its last record, the shutdown notice.
    ///
    /// [`None`] while requests are running, since their reservations are not settled.
    pub fn shut_down(&mut self) -> Option<Sequence> {
        if self.shutdown_notice.is_some() {
            return self.shutdown_notice;
        }
        if self.grants.iter().any(|grant| grant.reserved_tokens > 0) {
            return None;
        }
        self.flush();
        for grant in &mut self.grants {
            grant.available_tokens = 0;
        }
        let sequence = self
            .outbox
            .push(|incarnation, sequence| LedgerRecord::ShutdownNotice {
                incarnation,
                sequence,
            });
        self.shutdown_notice = Some(sequence);
        self.shutdown_notice
    }

    /// Returns the unreserved tokens of a budget.
    #[must_use]
    pub fn available(&self, budget: &BudgetName) -> Tokens {
        let grant = self
            .index
            .get(budget)
            .map(|index| &self.grants[*index as usize]);
        Tokens(grant.map_or(0, |grant| grant.available_tokens))
    }

    /// Returns the tokens of a budget that running requests have reserved.
    #[must_use]
    pub fn reserved(&self, budget: &BudgetName) -> Tokens {
        let grant = self
            .index
            .get(budget)
            .map(|index| &self.grants[*index as usize]);
        Tokens(grant.map_or(0, |grant| grant.reserved_tokens))
    }

    /// Returns the budgets in use with their unreserved and reserved tokens.
    pub fn holdings(&self) -> impl Iterator<Item = (&BudgetName, Tokens, Tokens)> + '_ {
        let holding = self.grants.iter().filter(|grant| !grant.is_idle());
        holding.map(|grant| {
            (
                &grant.budget,
                Tokens(grant.available_tokens),
                Tokens(grant.reserved_tokens),
            )
        })
    }

    pub(crate) fn grant_or_new(&mut self, budget: &BudgetName) -> u32 {
        if let Some(index) = self.index.get(budget) {
            return *index;
        }
        let index = crate::ledger::index_of(self.grants.len());
        self.grants.push(Grant::new(budget.clone()));
        self.index.insert(budget.clone(), index);
        index
    }

    pub(crate) fn activate(&mut self, index: u32) {
        let grant = &mut self.grants[index as usize];
        if !grant.active {
            grant.active = true;
            self.active.push(index);
        }
    }
}
