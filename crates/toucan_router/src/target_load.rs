//! Load of one target: its delayed reports, corrected by this node's own dispatches since.

use std::collections::VecDeque;

use crate::{ModelKey, TargetRole};

/// Load report of a target; describes a time in the past.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Time that the report describes.
    pub as_of_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a batch slot.
    pub waiting: u32,
    /// Maximum batch size.
    pub batch_limit: u32,
    /// Fraction of the KV memory in use, in permille.
    pub kv_used_permille: u32,
    /// Tokens generated per second over all requests.
    pub tokens_per_s: u32,
    /// Loaded models.
    pub models: Vec<ModelKey>,
    /// Role.
    pub role: TargetRole,
    /// Whether the target reports that it is draining.
    pub draining: bool,
}

/// Maximum number of ended dispatches kept to correct later reports.
const MAX_ENDED_DISPATCHES: usize = 1_024;

/// A dispatch of this node that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct InFlightDispatch {
    pub(crate) number: u64,
    pub(crate) sent_ms: u64,
    /// Prompt tokens expected not to be cached.
    pub(crate) prefill_tokens: u64,
    /// This node's prompt tokens to be prefilled before its first token, including its own.
    pub(crate) tokens_ahead: u64,
    pub(crate) has_first_token: bool,
    /// Prompt blocks, to correct the cache estimate by the response.
    pub(crate) blocks: Box<[u64]>,
    /// Prompt tokens known to have been cached, not weighted by confidence.
    pub(crate) known_tokens: u64,
    /// Time since those tokens were last observed in the cache.
    pub(crate) known_age_ms: u64,
    /// Prompt tokens up to the depth at which the target is an affinity target of the prompt; 0 if
    /// it is none.
    pub(crate) affinity_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct EndedDispatch {
    sent_ms: u64,
    ended_ms: u64,
}

/// Corrected load of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetLoad {
    as_of_ms: Option<u64>,
    pub(crate) reported: u32,
    pub(crate) batch_limit: u32,
    pub(crate) kv_used_permille: u32,
    pub(crate) tokens_per_s: u32,
    in_flight: Vec<InFlightDispatch>,
    ended: VecDeque<EndedDispatch>,
    sent_since_report: u32,
    ended_since_report: u32,
    pending_prefill_tokens: u64,
}

impl TargetLoad {
    pub(crate) fn new(batch_limit: u32) -> Self {
        Self {
            batch_limit,
            ..Self::default()
        }
    }

    pub(crate) const fn has_report(&self) -> bool {
        self.as_of_ms.is_some()
    }

    /// Applies a report; returns `false` if it is older than the last one applied.
    pub(crate) fn apply(&mut self, report: &LoadReport, now_ms: u64) -> bool {
        // If the target's clock is ahead, the report must not seem to include later dispatches.
        let as_of_ms = report.as_of_ms.min(now_ms);
        if self.as_of_ms.is_some_and(|last| as_of_ms < last) {
            return false;
        }
        self.as_of_ms = Some(as_of_ms);
        self.reported = report.running + report.waiting;
        self.batch_limit = report.batch_limit;
        self.kv_used_permille = report.kv_used_permille;
        self.tokens_per_s = report.tokens_per_s;
        self.ended.retain(|ended| ended.ended_ms > as_of_ms);
        self.sent_since_report = count(
            self.in_flight
                .iter()
                .filter(|dispatch| dispatch.sent_ms > as_of_ms),
        );
        self.ended_since_report =
            count(self.ended.iter().filter(|ended| ended.sent_ms <= as_of_ms));
        true
    }

    pub(crate) fn record_dispatch(&mut self, mut dispatch: InFlightDispatch) {
        self.sent_since_report += 1;
        self.pending_prefill_tokens += dispatch.prefill_tokens;
        dispatch.tokens_ahead = self.pending_prefill_tokens;
        self.in_flight.push(dispatch);
    }

    /// Records a first token and returns its dispatch, unless it already had one.
    pub(crate) fn record_first_token(&mut self, number: u64) -> Option<&InFlightDispatch> {
        let dispatch = self
            .in_flight
            .iter_mut()
            .find(|dispatch| dispatch.number == number)?;
        if dispatch.has_first_token {
            return None;
        }
        dispatch.has_first_token = true;
        self.pending_prefill_tokens -= dispatch.prefill_tokens;
        Some(dispatch)
    }

    pub(crate) fn record_end(&mut self, number: u64, now_ms: u64) -> Option<InFlightDispatch> {
        let position = self
            .in_flight
            .iter()
            .position(|dispatch| dispatch.number == number)?;
        let dispatch = self.in_flight.swap_remove(position);
        if !dispatch.has_first_token {
            self.pending_prefill_tokens -= dispatch.prefill_tokens;
        }
        if self
            .as_of_ms
            .is_some_and(|as_of_ms| dispatch.sent_ms <= as_of_ms)
        {
            self.ended_since_report += 1;
        } else {
            self.sent_since_report = self.sent_since_report.saturating_sub(1);
        }
        if self.ended.len() >= MAX_ENDED_DISPATCHES {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedDispatch {
            sent_ms: dispatch.sent_ms,
            ended_ms: now_ms,
        });
        Some(dispatch)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        count(self.in_flight.iter())
    }

    /// Returns the reported load, corrected by this node's dispatches and ends since the report.
    ///
    /// Other routers' dispatches since then are estimated as `peer_weight_permille` of this
    /// node's.
    pub(crate) fn corrected(&self, peer_weight_permille: u32) -> u32 {
        let peers = u64::from(self.sent_since_report) * u64::from(peer_weight_permille) / 1_000;
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.reported
            .saturating_sub(self.ended_since_report)
            .saturating_add(self.sent_since_report)
            .max(self.in_flight())
            .saturating_add(peers)
    }

    pub(crate) fn pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill_tokens
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
