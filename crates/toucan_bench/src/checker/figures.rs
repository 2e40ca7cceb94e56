//! Figures of a run.

use serde::{Deserialize, Serialize};

use super::configuration::propagation_times_ms;
use super::false_refusals::false_refusals;
use super::{Breach, Promise};
use crate::history::{Attempt, History, Outcome};

/// Figures of one run; counts, unless the name contains a unit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Requests of callers.
    pub requests: u64,
    /// Requests with a complete answer.
    pub whole_answers: u64,
    /// Requests without an answer whose last attempt was refused.
    pub refusals: u64,
    /// Attempts refused for lack of budget although the budget covered them.
    pub false_refusals: u64,
    /// Tokens spent beyond the purchased ones.
    pub overspend_tokens: u64,
    /// Requests with a wrong bill, and statements of more spent tokens than the log bills.
    pub billed_twice: u64,
    /// Answered requests without a bill.
    pub unbilled: u64,
    /// Requests with an incomplete or wrong answer, or with an answer but no run.
    pub wrong_answers: u64,
    /// Requests that ran although they were refused as not run.
    pub ran_after_not_run: u64,
    /// Non-idempotent calls that ran more than once.
    pub non_idempotent_reruns: u64,
    /// Requests that a target received too long after it announced that it is leaving.
    pub work_to_leaving_target: u64,
    /// Attempts cut off by a planned stop.
    pub planned_stop_cut_offs: u64,
    /// Accepted edits that a node reverted or never received.
    pub reverted_edits: u64,
    /// Tokens held at the end for incarnations that may have crashed.
    pub stranded_tokens_end: u64,
    /// 99th percentile of the time from the append of an edit until it is in force at a reachable
    /// node.
    pub config_in_force_p99_ms: u64,
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// 95th percentile over the streams of the mean time between tokens.
    pub between_tokens_p95_ms: f64,
    /// Appends to the log per second.
    pub appends_per_s: f64,
    /// Control traffic of each node, in bytes per second.
    pub control_bytes_per_s_per_node: f64,
    /// Whether every promise was kept.
    pub ok: bool,
}

impl Figures {
    pub(crate) fn compute(history: &History, breaches: &[Breach]) -> Self {
        let amount = |promise: Promise| {
            let of_promise = breaches.iter().filter(|breach| breach.promise == promise);
            of_promise.map(|breach| breach.amount).sum()
        };
        let duration_s = (history.duration_ms as f64 / 1_000.0).max(0.001);
        let requests = history.requests.iter();
        let answered = requests.clone().filter(|request| request.is_answered());
        let refused = requests.clone().filter(|request| {
            let last = request.attempts.last().map(|attempt| &attempt.outcome);
            !request.is_answered() && matches!(last, Some(Outcome::Refused { .. }))
        });
        let first_token_times = sorted_times(history, |attempt| attempt.first_token_us);
        let token_intervals = sorted_times(history, |attempt| attempt.between_tokens_us);
        let mut propagation_times = propagation_times_ms(history);
        propagation_times.sort_unstable();
        Self {
            requests: history.requests.len() as u64,
            whole_answers: answered.count() as u64,
            refusals: refused.count() as u64,
            false_refusals: false_refusals(history),
            overspend_tokens: amount(Promise::NoOverspend),
            billed_twice: amount(Promise::BilledOnce),
            unbilled: amount(Promise::Billed),
            wrong_answers: amount(Promise::RightAnswers),
            ran_after_not_run: amount(Promise::NotRunMeansNotRun),
            non_idempotent_reruns: amount(Promise::AtMostOnce),
            work_to_leaving_target: amount(Promise::NoWorkToLeaving),
            planned_stop_cut_offs: amount(Promise::GracefulStop),
            reverted_edits: amount(Promise::NoRevertedEdits),
            stranded_tokens_end: stranded_tokens(history),
            config_in_force_p99_ms: percentile(&propagation_times, 990),
            first_token_p50_ms: percentile(&first_token_times, 500) as f64 / 1_000.0,
            first_token_p95_ms: percentile(&first_token_times, 950) as f64 / 1_000.0,
            between_tokens_p95_ms: percentile(&token_intervals, 950) as f64 / 1_000.0,
            appends_per_s: round(history.appends as f64 / duration_s),
            control_bytes_per_s_per_node: round(
                history.control_bytes as f64 / duration_s / history.nodes.max(1) as f64,
            ),
            ok: breaches.is_empty(),
        }
    }
}

/// Returns one time of each answered attempt, sorted.
fn sorted_times(history: &History, time: impl Fn(&Attempt) -> Option<u64>) -> Vec<u64> {
    let attempts = history
        .requests
        .iter()
        .flat_map(|request| &request.attempts);
    let answered = attempts.filter(|attempt| matches!(attempt.outcome, Outcome::Answered { .. }));
    let mut times: Vec<u64> = answered.filter_map(time).collect();
    times.sort_unstable();
    times
}

/// Returns the sum over all budgets of the largest number of held tokens that a node states.
fn stranded_tokens(history: &History) -> u64 {
    let budgets = history.budgets.iter();
    let held = budgets.map(|budget| {
        let statements = history.statements.iter();
        let statements = statements.filter(|statement| statement.budget == budget.budget);
        statements
            .map(|statement| statement.held_tokens)
            .max()
            .unwrap_or(0)
    });
    held.sum()
}

/// Returns a percentile, given in thousandths, of a sorted list; 0 for an empty list.
pub(crate) fn percentile(sorted: &[u64], permille: usize) -> u64 {
    let rank = (sorted.len() * permille).div_ceil(1_000);
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0)
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
