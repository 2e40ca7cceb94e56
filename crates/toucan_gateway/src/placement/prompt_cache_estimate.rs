//! Estimates which prompt parts a target has cached.

use toucan_types::FastHashMap;

use crate::wire_format::{PartId, PromptPart};

/// Maximum number of parts tracked per target.
const MAX_PARTS: usize = 2_048;
/// Time since its last send after which a part counts as evicted.
const EVICTION_MS: u64 = 60_000;

/// The prompt parts recently sent to a target, with the time of the last send.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheEstimate {
    sent_at_ms: FastHashMap<PartId, u64>,
}

impl PromptCacheEstimate {
    /// Records that a call with these parts was sent.
    pub fn record_sent(&mut self, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            self.sent_at_ms.insert(part.id, now_ms);
        }
        if self.sent_at_ms.len() > MAX_PARTS {
            self.evict_oldest();
        }
    }

    /// Returns the number of prompt tokens that the target is expected to have cached.
    ///
    /// A part counts only if all parts before it are cached.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        parts
            .iter()
            .take_while(|part| self.is_cached(part.id, now_ms))
            .map(|part| part.tokens)
            .sum()
    }

    /// Returns the number of prompt tokens that the target has to process.
    #[must_use]
    pub fn uncached_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        let total: u64 = parts.iter().map(|part| part.tokens).sum();
        total.saturating_sub(self.cached_tokens(parts, now_ms))
    }

    fn is_cached(&self, id: PartId, now_ms: u64) -> bool {
        self.sent_at_ms
            .get(&id)
            .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < EVICTION_MS)
    }

    fn evict_oldest(&mut self) {
        let mut times: Vec<u64> = self.sent_at_ms.values().copied().collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else {
            return;
        };
        self.sent_at_ms.retain(|_id, at_ms| *at_ms > median);
    }
}
