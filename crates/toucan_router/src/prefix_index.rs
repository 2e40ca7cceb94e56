//! Index of the targets that probably have each block cached.

use toucan_types::FastHashMap;

use crate::block_holders::{BlockHolders, seen_ms};
use crate::hash_mix::mix;
use crate::{Holder, TargetIndex};

/// Index from blocks to their probable holders, bounded in size by approximate LRU eviction.
///
/// Blocks are stored in two generations: a use moves a block to the young one, and when the young
/// one is full, the old one is dropped. This approximates LRU at the cost of one look-up.
///
/// Only one block in `stride` is indexed, selected by its hash, so that events and requests agree
/// on the selection without knowing the block's position in a prompt. A stride of 8 limits the
/// resolution to 8 blocks and lets the same memory cover 8 times as many targets.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    young: FastHashMap<u64, BlockHolders>,
    old: FastHashMap<u64, BlockHolders>,
    generation_blocks: usize,
    stride: u64,
}

impl PrefixIndex {
    /// Creates an index of at most `max_blocks` blocks that keeps one block in `stride`.
    #[must_use]
    pub fn new(max_blocks: usize, stride: u32) -> Self {
        Self {
            young: FastHashMap::default(),
            old: FastHashMap::default(),
            generation_blocks: (max_blocks / 2).max(1),
            stride: u64::from(stride.max(1)),
        }
    }

    /// Returns the number of indexed blocks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the index is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }

    /// Returns whether a block is among those selected by the stride.
    #[must_use]
    pub const fn keeps(&self, block: u64) -> bool {
        mix(block).is_multiple_of(self.stride)
    }

    /// Returns the probable holders of a block, sorted by target index.
    #[must_use]
    pub fn holders(&self, block: u64) -> &[Holder] {
        self.young
            .get(&block)
            .or_else(|| self.old.get(&block))
            .map_or(&[], BlockHolders::as_slice)
    }

    /// Returns the time at which a block was last observed at a target.
    #[must_use]
    pub fn seen_ms(&self, block: u64, target: TargetIndex) -> Option<u64> {
        seen_ms(self.holders(block), target)
    }

    /// Records that a target has a block cached; ignores blocks that the stride does not select.
    pub fn insert(&mut self, block: u64, target: TargetIndex, now_ms: u64) {
        if !self.keeps(block) {
            return;
        }
        let holder = Holder {
            target,
            seen_ms: now_ms,
        };
        if let Some(holders) = self.young.get_mut(&block) {
            holders.insert(holder);
            return;
        }
        if self.young.len() >= self.generation_blocks {
            std::mem::swap(&mut self.young, &mut self.old);
            // `clear` keeps the allocation, so that the young generation grows without rehashing.
            self.young.clear();
        }
        let mut holders = self.old.remove(&block).unwrap_or(BlockHolders::One(holder));
        holders.insert(holder);
        self.young.insert(block, holders);
    }

    /// Records that a target evicted a block.
    pub fn remove(&mut self, block: u64, target: TargetIndex) {
        if !self.keeps(block) {
            return;
        }
        for generation in [&mut self.young, &mut self.old] {
            let Some(holders) = generation.get_mut(&block) else {
                continue;
            };
            if !holders.remove(target) {
                generation.remove(&block);
            }
        }
    }
}
