//! Loans of tokens between gateways: requests, repeats and amounts.

use std::collections::VecDeque;

use toucan_types::{FastHashMap, OrganisationName, Tokens, VmName};

use super::LoanId;

/// Maximum number of requests and of loans that are kept, so that a repeated request gets the same
/// answer.
const MAX_REMEMBERED: usize = 4_096;
/// Minimum time between two rounds of requests for one organisation.
const ROUND_INTERVAL_MS: u64 = 30;
/// Maximum number of gateways asked in one round.
const PEERS_PER_ROUND: usize = 3;
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
    loans: FastHashMap<LoanKey, Tokens>,
    loan_order: VecDeque<LoanKey>,
    rounds: FastHashMap<OrganisationName, Round>,
}

/// A loan request that has not been answered.
#[derive(Clone, Debug)]
struct PendingRequest {
    organisation: OrganisationName,
    lender: VmName,
    lender_start_id: u64,
    tokens: Tokens,
}

#[derive(Clone, Copy, Debug, Default)]
struct Round {
    started_ms: u64,
    next_peer: usize,
}

impl Lending {
    /// Returns the positions of the gateways to ask now, out of `peers` gateways, in round-robin
    /// order.
    ///
    /// Empty if the previous round was too recent.
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
        if round.started_ms != 0 && now_ms < round.started_ms + ROUND_INTERVAL_MS {
            return Vec::new();
        }
        round.started_ms = now_ms;
        let first_peer = round.next_peer;
        let count = PEERS_PER_ROUND.min(peers);
        round.next_peer = (first_peer + count) % peers;
        (first_peer..first_peer + count)
            .map(|at| at % peers)
            .collect()
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
    ) -> (LoanId, Tokens) {
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
        {
            self.pending.remove(&oldest);
        }
        (id, tokens)
    }

    /// Returns whether a loan answers a pending request, which is then no longer pending.
    pub fn accept(
        &mut self,
        id: LoanId,
        organisation: &OrganisationName,
        lender: &VmName,
        lender_start_id: u64,
    ) -> bool {
        let is_pending = self.pending.get(&id).is_some_and(|request| {
            request.organisation == *organisation
                && request.lender == *lender
                && request.lender_start_id == lender_start_id
        });
        if is_pending {
            self.pending.remove(&id);
            self.pending_by_lender
                .remove(&(organisation.clone(), lender.clone()));
        }
        is_pending
    }

    /// Returns the loan that an earlier copy of the request got.
    #[must_use]
    pub fn previous_loan(&self, key: &(VmName, u64, LoanId)) -> Option<Tokens> {
        self.loans.get(key).copied()
    }

    /// Records a loan, so that a repeated request gets the same one.
    pub fn record_loan(&mut self, key: (VmName, u64, LoanId), tokens: Tokens) {
        self.loans.insert(key.clone(), tokens);
        self.loan_order.push_back(key);
        if self.loan_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.loan_order.pop_front()
        {
            self.loans.remove(&oldest);
        }
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
