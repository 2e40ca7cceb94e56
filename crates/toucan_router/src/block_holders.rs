//! Holders of one block, optimised for the usual case of a single holder.

use crate::TargetIndex;

/// Maximum number of holders kept per block.
const MAX_HOLDERS: usize = 32;

/// A target that probably has a block cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The target.
    pub target: TargetIndex,
    /// Time at which the block was last observed there.
    pub seen_ms: u64,
}

/// Holders of a block, sorted by target index.
///
/// Most blocks belong to one conversation and have one holder, which needs no heap allocation.
#[derive(Clone, Debug)]
pub(crate) enum BlockHolders {
    One(Holder),
    Many(Vec<Holder>),
}

impl BlockHolders {
    pub(crate) fn as_slice(&self) -> &[Holder] {
        match self {
            Self::One(holder) => std::slice::from_ref(holder),
            Self::Many(holders) => holders,
        }
    }

    /// Records that the block was observed at a target.
    pub(crate) fn insert(&mut self, holder: Holder) {
        match self {
            Self::One(known) if known.target == holder.target => {
                known.seen_ms = known.seen_ms.max(holder.seen_ms);
            }
            Self::One(known) => {
                let mut holders = vec![*known, holder];
                holders.sort_unstable_by_key(|holder| holder.target);
                *self = Self::Many(holders);
            }
            Self::Many(holders) => insert_sorted(holders, holder),
        }
    }

    /// Removes a target; returns whether holders are left.
    pub(crate) fn remove(&mut self, target: TargetIndex) -> bool {
        match self {
            Self::One(known) => known.target != target,
            Self::Many(holders) => {
                if let Ok(position) = find(holders, target) {
                    holders.remove(position);
                }
                !holders.is_empty()
            }
        }
    }
}

/// Returns the time at which a block was last observed at a target.
pub(crate) fn seen_ms(holders: &[Holder], target: TargetIndex) -> Option<u64> {
    let position = find(holders, target).ok()?;
    Some(holders[position].seen_ms)
}

fn find(holders: &[Holder], target: TargetIndex) -> Result<usize, usize> {
    holders.binary_search_by_key(&target, |holder| holder.target)
}

/// Adds a holder; replaces the least recently seen one if there are already [`MAX_HOLDERS`].
fn insert_sorted(holders: &mut Vec<Holder>, holder: Holder) {
    if let Ok(position) = find(holders, holder.target) {
        holders[position].seen_ms = holders[position].seen_ms.max(holder.seen_ms);
        return;
    }
    if holders.len() >= MAX_HOLDERS {
        let oldest = holders
            .iter()
            .enumerate()
            .min_by_key(|(_, holder)| holder.seen_ms);
        if let Some((position, _)) = oldest {
            holders.remove(position);
        }
    }
    if let Err(position) = find(holders, holder.target) {
        holders.insert(position, holder);
    }
}
