//! Bills of a sliding window of log time.

use std::collections::VecDeque;

use toucan_types::{BillId, FastHashMap};

/// Number of buckets that one window spans.
const BUCKETS_PER_WINDOW: u64 = 4;

/// Recent bills with their tokens, in buckets of log time that are dropped as a whole.
#[derive(Clone, Debug)]
pub(crate) struct BillWindow {
    bucket_ms: u64,
    buckets: VecDeque<(u64, FastHashMap<BillId, u32>)>,
}

impl BillWindow {
    pub(crate) fn new(window_ms: u64) -> Self {
        Self {
            bucket_ms: (window_ms / BUCKETS_PER_WINDOW).max(1),
            buckets: VecDeque::new(),
        }
    }

    pub(crate) fn bucket_of(&self, log_time_ms: u64) -> u64 {
        log_time_ms / self.bucket_ms
    }

    /// Drops the buckets that ended more than one window ago.
    pub(crate) fn advance(&mut self, log_time_ms: u64) {
        let current = self.bucket_of(log_time_ms);
        while let Some((bucket, _)) = self.buckets.front() {
            if bucket + BUCKETS_PER_WINDOW >= current {
                break;
            }
            self.buckets.pop_front();
        }
    }

    /// Returns the tokens that were billed under an id.
    pub(crate) fn billed_tokens(&self, id: BillId) -> Option<u64> {
        let mut buckets = self.buckets.iter().rev();
        let tokens = buckets.find_map(|(_, bills)| bills.get(&id))?;
        Some(u64::from(*tokens))
    }

    /// Adds a bill; `log_time_ms` never decreases.
    pub(crate) fn insert(&mut self, id: BillId, tokens: u64, log_time_ms: u64) {
        self.insert_in_bucket(self.bucket_of(log_time_ms), id, tokens);
    }

    /// Raises the tokens of a bill in the window.
    pub(crate) fn raise(&mut self, id: BillId, tokens: u64) {
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(billed) = buckets.find_map(|(_, bills)| bills.get_mut(&id)) {
            *billed = stored_tokens(tokens);
        }
    }

    pub(crate) fn insert_in_bucket(&mut self, bucket: u64, id: BillId, tokens: u64) {
        if self.buckets.back().is_none_or(|(last, _)| *last < bucket) {
            self.buckets.push_back((bucket, FastHashMap::default()));
        }
        let Some((_, bills)) = self.buckets.iter_mut().rev().find(|(b, _)| *b == bucket) else {
            return;
        };
        bills.insert(id, stored_tokens(tokens));
    }

    pub(crate) fn len(&self) -> usize {
        self.buckets.iter().map(|(_, bills)| bills.len()).sum()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, BillId, u64)> + '_ {
        self.buckets.iter().flat_map(|(bucket, bills)| {
            bills
                .iter()
                .map(|(id, tokens)| (*bucket, *id, u64::from(*tokens)))
        })
    }
}

/// Returns tokens in the stored width; no single request comes near its limit.
fn stored_tokens(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
