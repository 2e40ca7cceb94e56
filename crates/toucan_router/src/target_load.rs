//! Load of one target: its lagging reports, corrected by what this node did since.

use std::collections::VecDeque;

use crate::{ModelKey, TargetRole};

/// Load as a target reports it; holds for a time that is past.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Time for which the report holds.
    pub as_of_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting for a place in the batch.
    pub waiting: u32,
    /// Most requests in the batch.
    pub batch_limit: u32,
    /// Share of the KV memory in use, in thousandths.
    pub kv_used_permille: u32,
    /// Tokens generated a second, all requests together.
    pub tokens_per_s: u32,
    /// Models loaded.
    pub models: Vec<ModelKey>,
    /// Role.
    pub role: TargetRole,
    /// Whether the target says that it leaves.
    pub draining: bool,
}

/// Most ended dispatches remembered for the correction of a report.
const MOST_ENDED: usize = 1_024;

/// One dispatch of this node that has not ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnDispatch {
    pub(crate) number: u64,
    pub(crate) sent_ms: u64,
    /// Prompt tokens believed not cached.
    pub(crate) prefill_tokens: u64,
    /// Prompt tokens of this node that were before its first token, its own included.
    pub(crate) tokens_ahead: u64,
    pub(crate) has_first_token: bool,
    /// Prompt blocks, for the repair of the belief by the answer.
    pub(crate) blocks: Box<[u64]>,
    /// Tokens that were believed cached, without regard to trust.
    pub(crate) believed_tokens: u64,
    /// Age of that belief.
    pub(crate) belief_age_ms: u64,
    /// Tokens that were hoped for because the target is the prompt's home; 0 elsewhere.
    pub(crate) hoped_tokens: u64,
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
    own: Vec<OwnDispatch>,
    ended: VecDeque<EndedDispatch>,
    sent_since: u32,
    ended_since: u32,
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

    /// Applies a report; false if it is older than the one applied before.
    pub(crate) fn apply(&mut self, report: &LoadReport, now_ms: u64) -> bool {
        // A clock ahead of ours must not make our own later dispatches look contained.
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
        self.sent_since = count(self.own.iter().filter(|own| own.sent_ms > as_of_ms));
        self.ended_since = count(self.ended.iter().filter(|ended| ended.sent_ms <= as_of_ms));
        true
    }

    pub(crate) fn sent(&mut self, mut dispatch: OwnDispatch) {
        self.sent_since += 1;
        self.pending_prefill_tokens += dispatch.prefill_tokens;
        dispatch.tokens_ahead = self.pending_prefill_tokens;
        self.own.push(dispatch);
    }

    /// Notes a first token; its dispatch, unless it had one before.
    pub(crate) fn record_first_token(&mut self, number: u64) -> Option<&OwnDispatch> {
        let own = self.own.iter_mut().find(|own| own.number == number)?;
        if own.has_first_token {
            return None;
        }
        own.has_first_token = true;
        self.pending_prefill_tokens -= own.prefill_tokens;
        Some(own)
    }

    pub(crate) fn record_end(&mut self, number: u64, now_ms: u64) -> Option<OwnDispatch> {
        let at = self.own.iter().position(|own| own.number == number)?;
        let own = self.own.swap_remove(at);
        if !own.has_first_token {
            self.pending_prefill_tokens -= own.prefill_tokens;
        }
        if self
            .as_of_ms
            .is_some_and(|as_of_ms| own.sent_ms <= as_of_ms)
        {
            self.ended_since += 1;
        } else {
            self.sent_since = self.sent_since.saturating_sub(1);
        }
        if self.ended.len() >= MOST_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedDispatch {
            sent_ms: own.sent_ms,
            ended_ms: now_ms,
        });
        Some(own)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        count(self.own.iter())
    }

    /// Reported load with this node's own later dispatches and ends, and a part of its dispatches
    /// once more for each of `peer_weight_permille` thousandths of other routers.
    pub(crate) fn corrected(&self, peer_weight_permille: u32) -> u32 {
        let peers = u64::from(self.sent_since) * u64::from(peer_weight_permille) / 1_000;
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        self.reported
            .saturating_sub(self.ended_since)
            .saturating_add(self.sent_since)
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
