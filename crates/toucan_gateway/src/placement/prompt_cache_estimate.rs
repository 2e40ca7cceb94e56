//! Estimates which prompt parts a target has cached.

use std::cmp::Reverse;

use toucan_types::FastHashMap;

use crate::wire_format::{PartId, PromptPart};

/// Maximum number of parts tracked per target.
const MAX_PARTS: usize = 2_048;
/// Time since its last send after which a part counts as evicted.
const EVICTION_MS: u64 = 60_000;
/// Part of the limits that is left after an eviction, so that not each send leads to one.
const KEPT_FRACTION: f64 = 0.875;

/// A prompt part that was recently sent.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    sent_at_ms: u64,
    /// Place in the prompt. Targets evict later parts first, since those before them are of no use alone.
    place: usize,
    tokens: u64,
}

/// The prompt parts recently sent to a target, with the time of the last send.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheEstimate {
    sent: FastHashMap<PartId, SentPart>,
    total_tokens: u64,
}

impl PromptCacheEstimate {
    /// Records that a call with these parts was sent to a target whose KV cache has `capacity_tokens` beside
    /// its running calls; [`None`] if its size is not known.
    pub fn record_sent(&mut self, parts: &[PromptPart], capacity_tokens: Option<u64>, now_ms: u64) {
        for (place, part) in parts.iter().enumerate() {
            let sent = SentPart {
                sent_at_ms: now_ms,
                place,
                tokens: part.tokens,
            };
            let known = self.sent.insert(part.id, sent);
            self.total_tokens -= known.map_or(0, |known| known.tokens);
            self.total_tokens += part.tokens;
        }
        let capacity_tokens = capacity_tokens.unwrap_or(u64::MAX);
        if self.sent.len() > MAX_PARTS || self.total_tokens > capacity_tokens {
            self.evict_oldest(capacity_tokens);
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
        self.sent
            .get(&id)
            .is_some_and(|part| now_ms.saturating_sub(part.sent_at_ms) < EVICTION_MS)
    }

    /// Keeps the most recently used parts that are within the limits.
    fn evict_oldest(&mut self, capacity_tokens: u64) {
        let kept_parts = (MAX_PARTS as f64 * KEPT_FRACTION) as usize;
        let kept_tokens = (capacity_tokens as f64 * KEPT_FRACTION) as u64;
        let mut parts: Vec<(PartId, SentPart)> = self.sent.drain().collect();
        parts.sort_unstable_by_key(|(_id, part)| (Reverse(part.sent_at_ms), part.place));
        self.total_tokens = 0;
        for (id, part) in parts.into_iter().take(kept_parts) {
            if self.total_tokens.saturating_add(part.tokens) > kept_tokens {
                break;
            }
            self.total_tokens += part.tokens;
            self.sent.insert(id, part);
        }
    }
}
