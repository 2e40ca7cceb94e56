//! Which parts of prompts a target was sent of late.

use toucan_types::FastHashMap;

use crate::wire_format::PromptPart;

/// Parts that are remembered for one target.
const MOST_PARTS: usize = 2_048;
/// Time after which a part that was not sent again counts as evicted.
const KEPT_MS: u64 = 60_000;

/// The parts that a target was sent, with the time of the last send.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheEstimate {
    sent_at_ms: FastHashMap<u64, u64>,
}

impl PromptCacheEstimate {
    /// Notes that a call with these parts was sent.
    pub fn record_sent(&mut self, parts: &[PromptPart], now_ms: u64) {
        for part in parts {
            self.sent_at_ms.insert(part.id, now_ms);
        }
        if self.sent_at_ms.len() > MOST_PARTS {
            self.forget_oldest();
        }
    }

    /// Tokens at the start of the prompt that the target need not read again.
    ///
    /// A part counts only if all parts before it do.
    #[must_use]
    pub fn cached_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        parts
            .iter()
            .take_while(|part| self.holds(part.id, now_ms))
            .map(|part| part.tokens)
            .sum()
    }

    /// Tokens of the prompt that the target has to read.
    #[must_use]
    pub fn uncached_tokens(&self, parts: &[PromptPart], now_ms: u64) -> u64 {
        let all: u64 = parts.iter().map(|part| part.tokens).sum();
        all.saturating_sub(self.cached_tokens(parts, now_ms))
    }

    fn holds(&self, id: u64, now_ms: u64) -> bool {
        self.sent_at_ms
            .get(&id)
            .is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < KEPT_MS)
    }

    fn forget_oldest(&mut self) {
        let mut times: Vec<u64> = self.sent_at_ms.values().copied().collect();
        times.sort_unstable();
        let Some(&median) = times.get(times.len() / 2) else {
            return;
        };
        self.sent_at_ms.retain(|_id, at_ms| *at_ms > median);
    }
}
