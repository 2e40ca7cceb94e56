//! Loans of tokens between gateways: requests, repeats and amounts.

use std::collections::VecDeque;

use toucan_types::{FastHashMap, OrganisationName, Tokens, VmName};

use super::LoanId;

/// Maximum number of requests and of loans that are kept, so that a repeated request gets the same
/// answer.
const MAX_REMEMBERED: usize = 4_096;
/// Time after which the next gateways are asked if those of the previous round have not answered.
const ROUND_INTERVAL_MS: u64 = 30;
/// Time after the last round at which the lenders are asked again, from the first one on.
const CYCLE_INTERVAL_MS: u64 = 200;
/// Maximum number of gateways asked in one round. The first round asks only the best lender.
const PEERS_PER_ROUND: usize = 3;
/// Time without an answer after which a gateway is asked last.
const SILENT_AFTER_MS: u64 = 40;
/// Time after which a gateway that did not answer is asked in its usual place again.
const SILENCE_EXPIRY_MS: u64 = 1_000;
/// Number of gateways above which expired silences are removed.
const MAX_SILENCES: usize = 1_024;
/// Largest fraction of its available tokens that a gateway lends in one loan.
const MAX_LENT_FRACTION: f64 = 0.5;

/// VM and start of the borrower, and the id of its request.
type LoanKey = (VmName, u64, LoanId);

/// Loan requests that this gateway sent, and loans that it gave.
#[derive(Debug, Default)]
pub struct Lending {
    last_id: u64,
    pending: FastHashMap<LoanId, PendingRequest>,
    pending_order: VecDeque<LoanId>,
    pending_by_lender: FastHashMap<(OrganisationName, VmName), LoanId>,
    /// Loans that were given; [`None`] for a request whose answer is being prepared.
    loans: FastHashMap<LoanKey, Option<Tokens>>,
    loan_order: VecDeque<LoanKey>,
    rounds: FastHashMap<OrganisationName, Round>,
    /// When each gateway that owes an answer was first asked for it.
    unanswered_since_ms: FastHashMap<VmName, u64>,
}

/// A loan request that has not been answered.
#[derive(Clone, Debug)]
struct PendingRequest {
    organisation: OrganisationName,
    lender: VmName,
    lender_start_id: u64,
    tokens: Tokens,
}

#[derive(Clone, Debug, Default)]
struct Round {
    started_ms: u64,
    /// Whether a lender has lent all that was asked of it since the round started. The next request then
    /// begins a new cycle, because that lender may have more.
    is_covered: bool,
    /// The last lender that lent all that was asked of it, and when it did so first.
    good_lender: Option<(VmName, u64)>,
    next_peer: usize,
    /// Whether the last lender has been asked.
    is_last: bool,
    /// Number of requests of the round that have not been answered.
    unanswered: usize,
}

impl Lending {
    /// Returns the positions of the gateways to ask now, out of `peers` gateways in the order of
    /// preference.
    ///
    /// The rounds of a cycle ask one gateway after the other, each once. A loan that covers its request
    /// ends the cycle. Empty if the previous round was recent and has not been answered, or if the
    /// next cycle is not due.
    pub fn next_round(
        &mut self,
        organisation: &OrganisationName,
        peers: usize,
        now_ms: u64,
    ) -> Vec<usize> {
        if peers == 0 {
            return Vec::new();
        }
        let round = self.rounds.entry(organisation.clone()).or_default();
        let is_first = round.started_ms == 0
            || round.is_covered
            || now_ms >= round.started_ms + CYCLE_INTERVAL_MS;
        if !is_first && (round.is_last || round.is_waiting(now_ms)) {
            return Vec::new();
        }
        let first_peer = if is_first {
            0
        } else {
            round.next_peer.min(peers - 1)
        };
        let count = if is_first {
            1
        } else {
            PEERS_PER_ROUND.min(peers - first_peer)
        };
        round.started_ms = now_ms;
        round.is_covered = false;
        round.next_peer = first_peer + count;
        round.is_last = round.next_peer >= peers;
        round.unanswered = count;
        (first_peer..first_peer + count).collect()
    }

    /// Returns whether all lenders were asked a moment ago, none lent all that was asked of it, and none
    /// can still answer.
    #[must_use]
    pub fn is_cycle_over(&self, organisation: &OrganisationName, now_ms: u64) -> bool {
        self.rounds.get(organisation).is_some_and(|round| {
            round.is_last
                && !round.is_covered
                && !round.is_waiting(now_ms)
                && now_ms < round.started_ms + CYCLE_INTERVAL_MS
        })
    }

    /// Moves the gateway that has just lent all that was asked of it to the front of `lenders`, and those
    /// that owe an answer for some time to the end.
    pub fn reorder(
        &mut self,
        organisation: &OrganisationName,
        lenders: &mut [VmName],
        now_ms: u64,
    ) {
        if self.unanswered_since_ms.len() > MAX_SILENCES {
            self.unanswered_since_ms
                .retain(|_vm, since_ms| now_ms < *since_ms + SILENCE_EXPIRY_MS);
        }
        let good_lender = self
            .rounds
            .get(organisation)
            .and_then(|round| round.good_lender(now_ms));
        lenders.sort_by_key(|vm| (self.is_silent(vm, now_ms), good_lender != Some(vm)));
    }

    fn is_silent(&self, vm: &VmName, now_ms: u64) -> bool {
        self.unanswered_since_ms.get(vm).is_some_and(|since_ms| {
            now_ms >= since_ms + SILENT_AFTER_MS && now_ms < since_ms + SILENCE_EXPIRY_MS
        })
    }

    /// Returns the request to send to a lender: the unanswered one, or else a new one.
    ///
    /// Repeating an unanswered request recovers a loan whose datagram was lost.
    pub fn ask(
        &mut self,
        organisation: &OrganisationName,
        lender: &VmName,
        lender_start_id: u64,
        tokens: Tokens,
        now_ms: u64,
    ) -> (LoanId, Tokens) {
        let since_ms = self
            .unanswered_since_ms
            .entry(lender.clone())
            .or_insert(now_ms);
        if now_ms >= *since_ms + SILENCE_EXPIRY_MS {
            *since_ms = now_ms;
        }
        let lender_key = (organisation.clone(), lender.clone());
        if let Some(id) = self.pending_by_lender.get(&lender_key)
            && let Some(request) = self.pending.get(id)
            && request.lender_start_id == lender_start_id
        {
            return (*id, request.tokens);
        }
        self.last_id += 1;
        let id = LoanId(self.last_id);
        let request = PendingRequest {
            organisation: organisation.clone(),
            lender: lender.clone(),
            lender_start_id,
            tokens,
        };
        self.pending_by_lender.insert(lender_key, id);
        self.pending.insert(id, request);
        self.pending_order.push_back(id);
        if self.pending_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.pending_order.pop_front()
            && let Some(request) = self.pending.remove(&oldest)
        {
            let lender_key = (request.organisation, request.lender);
            if self.pending_by_lender.get(&lender_key) == Some(&oldest) {
                self.pending_by_lender.remove(&lender_key);
            }
        }
        (id, tokens)
    }

    /// Returns whether a loan of `tokens` answers a pending request, which is then no longer pending.
    pub fn accept(
        &mut self,
        id: LoanId,
        organisation: &OrganisationName,
        (lender, lender_start_id): (&VmName, u64),
        tokens: Tokens,
        now_ms: u64,
    ) -> bool {
        let is_pending = self.pending.get(&id).is_some_and(|request| {
            request.organisation == *organisation
                && request.lender == *lender
                && request.lender_start_id == lender_start_id
        });
        if !is_pending {
            return false;
        }
        let Some(request) = self.pending.remove(&id) else {
            return false;
        };
        self.unanswered_since_ms.remove(lender);
        if let Some(round) = self.rounds.get_mut(organisation) {
            round.unanswered = round.unanswered.saturating_sub(1);
            if !tokens.is_zero() && tokens >= request.tokens {
                round.record_covered(lender, now_ms);
            }
        }
        self.pending_by_lender
            .remove(&(organisation.clone(), lender.clone()));
        true
    }

    /// Returns the loan that an earlier copy of the request got.
    #[must_use]
    pub fn previous_loan(&self, key: &(VmName, u64, LoanId)) -> Option<Tokens> {
        self.loans.get(key).copied().flatten()
    }

    /// Records that a request is being answered; returns false if an earlier copy of it is.
    pub fn begin_answer(&mut self, key: &(VmName, u64, LoanId)) -> bool {
        if self.loans.contains_key(key) {
            return false;
        }
        self.remember(key.clone(), None);
        true
    }

    /// Records a loan, so that a repeated request gets the same one.
    pub fn record_loan(&mut self, key: (VmName, u64, LoanId), tokens: Tokens) {
        self.remember(key, Some(tokens));
    }

    fn remember(&mut self, key: LoanKey, answer: Option<Tokens>) {
        if self.loans.insert(key.clone(), answer).is_some() {
            return;
        }
        self.loan_order.push_back(key);
        if self.loan_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.loan_order.pop_front()
        {
            self.loans.remove(&oldest);
        }
    }
}

impl Round {
    /// Returns whether an answer to the round may still arrive.
    const fn is_waiting(&self, now_ms: u64) -> bool {
        self.unanswered > 0 && now_ms < self.started_ms + ROUND_INTERVAL_MS
    }

    /// Records that a lender has lent all that was asked of it.
    fn record_covered(&mut self, lender: &VmName, now_ms: u64) {
        self.is_covered = true;
        if self.good_lender(now_ms) != Some(lender) {
            self.good_lender = Some((lender.clone(), now_ms));
        }
    }

    /// Returns the lender to ask first. After an interval the usual order applies again, because the
    /// gateways of the same data centre may have tokens again.
    fn good_lender(&self, now_ms: u64) -> Option<&VmName> {
        let (lender, since_ms) = self.good_lender.as_ref()?;
        (now_ms < since_ms + CYCLE_INTERVAL_MS).then_some(lender)
    }
}

/// Returns how many of its available tokens a gateway lends.
///
/// It lends all that is requested if that is at most half of what it holds beyond one second of its
/// own demand. Otherwise it lends at most half of all it holds. Keeping half stops two gateways
/// that are both short from passing the same tokens back and forth.
#[must_use]
pub fn loan_size(requested: Tokens, available: Tokens, rate_per_s: f64) -> Tokens {
    let kept = Tokens(rate_per_s as u64);
    let spare = available.saturating_sub(kept);
    if requested.0 <= (spare.0 as f64 * MAX_LENT_FRACTION) as u64 {
        return requested;
    }
    requested.min(Tokens((available.0 as f64 * MAX_LENT_FRACTION) as u64))
}
