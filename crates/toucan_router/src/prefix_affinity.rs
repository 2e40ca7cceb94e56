//! Affinity targets: where all nodes send a prompt of which little is known to be cached.

use toucan_types::Permille;

use crate::TargetIndex;

/// Maximum number of depths at which a prompt has an affinity target.
pub(crate) const MAX_AFFINITY_TARGETS: usize = 2;
/// Initial and minimum hit rate. The minimum still routes some prompts to their affinity targets,
/// so that the hit rate can be measured.
const INITIAL_HIT_RATE_PERMILLE: u32 = 500;
const MIN_HIT_RATE_PERMILLE: u32 = 200;
/// Divisor of the moving average: one response has a weight of 1 / `EWMA_DIVISOR`.
const EWMA_DIVISOR: u32 = 32;

/// Target that the hash ring assigns to the first blocks of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AffinityTarget {
    pub(crate) target: TargetIndex,
    /// Number of blocks that earlier prompts with the same prefix may have cached there.
    pub(crate) blocks: u64,
}

/// Returns the depths at which a prompt of `blocks` blocks has affinity targets: the largest
/// powers of two that fit, at most `max_blocks`, in blocks.
///
/// A growing conversation keeps its affinity target until it reaches the next power of two; from
/// `max_blocks` on the target no longer changes.
pub(crate) fn affinity_depths(blocks: usize, max_blocks: usize) -> impl Iterator<Item = usize> {
    let largest = blocks.min(max_blocks.max(1)).checked_ilog2();
    let depths = largest.map(|log| 1_usize << log);
    std::iter::successors(depths, |depth| Some(depth / 2).filter(|half| *half > 0))
        .take(MAX_AFFINITY_TARGETS)
}

/// Moving average of the fraction of blocks found at affinity targets without a cache event for
/// them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AffinityHitRate {
    permille: u32,
}

impl Default for AffinityHitRate {
    fn default() -> Self {
        Self {
            permille: INITIAL_HIT_RATE_PERMILLE,
        }
    }
}

impl AffinityHitRate {
    pub(crate) fn hit_rate(self) -> Permille {
        Permille(self.permille)
    }

    /// Updates the average by a response of an affinity target.
    ///
    /// `known_tokens` were known to be cached, `affinity_tokens` is the depth of the affinity
    /// target, `cached_tokens` were cached according to the engine.
    pub(crate) fn observe(&mut self, known_tokens: u64, affinity_tokens: u64, cached_tokens: u64) {
        let Some(unknown_tokens) = affinity_tokens
            .checked_sub(known_tokens)
            .filter(|left| *left > 0)
        else {
            return;
        };
        let found_tokens = cached_tokens
            .saturating_sub(known_tokens)
            .min(unknown_tokens);
        let sample = u32::try_from(found_tokens * 1_000 / unknown_tokens).unwrap_or(1_000);
        let sum = self.permille * (EWMA_DIVISOR - 1) + sample;
        self.permille = (sum / EWMA_DIVISOR).max(MIN_HIT_RATE_PERMILLE);
    }
}
