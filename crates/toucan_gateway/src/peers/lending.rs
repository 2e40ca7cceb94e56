//! Loans of tokens between gateways.

use std::collections::VecDeque;

use toucan_types::{FastHashMap, OrganisationName, Tokens, VmName};

use super::LoanId;

/// Loans that are remembered, so that a repeated request gets the same answer.
const MOST_REMEMBERED: usize = 4_096;
/// Time between two rounds of requests for one organisation.
const ROUND_MS: u64 = 30;
/// Gateways asked in one round.
const PEERS_PER_ROUND: usize = 3;
/// Part of what a gateway has to spare that it lends at most in one loan, if it gets calls itself.
const LENT_PART: f64 = 0.5;

/// Who asked, by VM and start, and the number of the request.
type LoanKey = (VmName, u64, LoanId);

/// Requests for loans, asked and answered.
#[derive(Debug, Default)]
pub struct Lending {
    last_id: u64,
    open: FastHashMap<LoanId, OpenRequest>,
    open_order: VecDeque<LoanId>,
    unanswered: FastHashMap<(OrganisationName, VmName), LoanId>,
    given: FastHashMap<LoanKey, Tokens>,
    given_order: VecDeque<LoanKey>,
    rounds: FastHashMap<OrganisationName, Round>,
}

/// A request that has not been answered.
#[derive(Clone, Debug)]
struct OpenRequest {
    organisation: OrganisationName,
    lender: VmName,
    lender_start: u64,
    tokens: Tokens,
}

#[derive(Clone, Copy, Debug, Default)]
struct Round {
    began_ms: u64,
    next_peer: usize,
}

impl Lending {
    /// The positions among `peers` gateways to be asked now; empty if they were asked just before.
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
        if round.began_ms != 0 && now_ms < round.began_ms + ROUND_MS {
            return Vec::new();
        }
        round.began_ms = now_ms;
        let first = round.next_peer;
        let asked = PEERS_PER_ROUND.min(peers);
        round.next_peer = (first + asked) % peers;
        (first..first + asked).map(|at| at % peers).collect()
    }

    /// The request to be sent to a gateway: the one that it has not answered, or else a new one.
    ///
    /// A repeated request brings back a loan whose datagram was lost.
    pub fn ask(
        &mut self,
        organisation: &OrganisationName,
        lender: &VmName,
        lender_start: u64,
        tokens: Tokens,
    ) -> (LoanId, Tokens) {
        let place = (organisation.clone(), lender.clone());
        if let Some(id) = self.unanswered.get(&place)
            && let Some(open) = self.open.get(id)
            && open.lender_start == lender_start
        {
            return (*id, open.tokens);
        }
        self.last_id += 1;
        let id = LoanId(self.last_id);
        let request = OpenRequest {
            organisation: organisation.clone(),
            lender: lender.clone(),
            lender_start,
            tokens,
        };
        self.unanswered.insert(place, id);
        self.open.insert(id, request);
        self.open_order.push_back(id);
        if self.open_order.len() > MOST_REMEMBERED
            && let Some(oldest) = self.open_order.pop_front()
        {
            self.open.remove(&oldest);
        }
        (id, tokens)
    }

    /// Whether a loan answers a request that was not answered before; it counts once.
    pub fn accept(
        &mut self,
        id: LoanId,
        organisation: &OrganisationName,
        lender: &VmName,
        lender_start: u64,
    ) -> bool {
        let is_open = self.open.get(&id).is_some_and(|open| {
            open.organisation == *organisation
                && open.lender == *lender
                && open.lender_start == lender_start
        });
        if is_open {
            self.open.remove(&id);
            self.unanswered
                .remove(&(organisation.clone(), lender.clone()));
        }
        is_open
    }

    /// The loan that was given for a request before.
    #[must_use]
    pub fn previous_loan(&self, key: &(VmName, u64, LoanId)) -> Option<Tokens> {
        self.given.get(key).copied()
    }

    /// Remembers a loan.
    pub fn record_loan(&mut self, key: (VmName, u64, LoanId), tokens: Tokens) {
        self.given.insert(key.clone(), tokens);
        self.given_order.push_back(key);
        if self.given_order.len() > MOST_REMEMBERED
            && let Some(oldest) = self.given_order.pop_front()
        {
            self.given.remove(&oldest);
        }
    }
}

/// How much a gateway lends of what it has.
///
/// One without calls of its own gives all that is asked for; one with calls keeps a second's worth
/// and gives a part of the rest, so that two short gateways do not pass the same tokens to and fro.
#[must_use]
pub fn loan_size(asked: Tokens, available: Tokens, rate_per_s: f64) -> Tokens {
    let kept = Tokens(rate_per_s as u64);
    let spare = available.saturating_sub(kept);
    if asked.0 <= (spare.0 as f64 * LENT_PART) as u64 {
        return asked;
    }
    asked.min(Tokens((available.0 as f64 * LENT_PART) as u64))
}
