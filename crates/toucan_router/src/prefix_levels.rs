//! Prefix depths of one prompt at which its probable holders are compared.

use crate::block_holders::seen_ms;
use crate::{Holder, PrefixIndex, TargetIndex};

/// Maximum number of levels that are compared.
const MAX_LEVELS: usize = 8;
/// Maximum number of indexed blocks of one prompt that are considered; later ones are ignored.
const MAX_KEPT_BLOCKS: usize = 128;

/// A prefix depth of a prompt and the holders of that prefix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefixLevel<'a> {
    /// Depth: number of blocks from the start of the prompt.
    pub(crate) blocks: u64,
    pub(crate) holders: &'a [Holder],
}

/// Levels of one prompt, deepest first.
///
/// Holders are looked up at a bounded number of levels, so that the cost does not grow with the
/// prompt. A holder of a prefix between two levels counts towards the shallower one.
#[derive(Debug)]
pub(crate) struct PrefixLevels<'a> {
    levels: [PrefixLevel<'a>; MAX_LEVELS],
    len: usize,
}

impl<'a> PrefixLevels<'a> {
    pub(crate) fn of(index: &'a PrefixIndex, blocks: &[u64]) -> Self {
        let mut kept = [0_usize; MAX_KEPT_BLOCKS];
        let mut kept_len = 0;
        let indexed = (0..blocks.len()).filter(|at| index.keeps(blocks[*at]));
        for (slot, at) in kept.iter_mut().zip(indexed) {
            *slot = at;
            kept_len += 1;
        }
        let kept = &kept[..kept_len];
        let known = kept.partition_point(|at| !index.holders(blocks[*at]).is_empty());
        let mut levels = Self {
            levels: [PrefixLevel {
                blocks: 0,
                holders: &[],
            }; MAX_LEVELS],
            len: known.min(MAX_LEVELS),
        };
        for slot in 0..levels.len {
            let part = levels.len - slot;
            let at = kept[known * part / levels.len - 1];
            levels.levels[slot] = PrefixLevel {
                blocks: at as u64 + 1,
                holders: index.holders(blocks[at]),
            };
        }
        levels
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &PrefixLevel<'a>> {
        self.levels[..self.len].iter()
    }

    /// Returns the number of blocks up to the deepest level.
    pub(crate) fn known_blocks(&self) -> u64 {
        self.levels[..self.len]
            .first()
            .map_or(0, |level| level.blocks)
    }

    /// Returns the deepest level that a target holds: its depth in blocks and the time at which it
    /// was last observed.
    pub(crate) fn held(&self, target: TargetIndex) -> Option<(u64, u64)> {
        self.iter().find_map(|level| {
            let seen_ms = seen_ms(level.holders, target)?;
            Some((level.blocks, seen_ms))
        })
    }
}
