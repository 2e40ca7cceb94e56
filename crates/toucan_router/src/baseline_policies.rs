//! Baseline policies that the prefix-aware policy is compared with.

use rand::Rng;

use crate::{ChoiceRequest, TargetIndex, TargetPolicy, TargetTable};

/// Number of random draws before all members are scanned for an eligible one.
const MAX_RANDOM_DRAWS: usize = 8;

/// Chooses a random target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl TargetPolicy for Random {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        random_member(table, request, true, rng)
            .or_else(|| random_member(table, request, false, rng))
    }
}

/// Chooses the target with the lowest load in its last report, without corrections.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedByReport;

impl TargetPolicy for LeastLoadedByReport {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let mut least_loaded = |own_data_centre| {
            table
                .pool(request, own_data_centre)
                .iter()
                .filter_map(|index| Some((*index, table.eligible(*index, request)?)))
                .min_by_key(|(_, target)| (target.reported_load(), rng.random::<u32>()))
                .map(|(index, _)| index)
        };
        least_loaded(true).or_else(|| least_loaded(false))
    }
}

/// Chooses the less loaded of two random targets, by corrected load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl TargetPolicy for PowerOfTwoChoices {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let own_data_centre = random_member(table, request, true, rng).is_some();
        let first = random_member(table, request, own_data_centre, rng)?;
        let second = random_member(table, request, own_data_centre, rng)?;
        let load = |index| {
            table
                .get(index)
                .map_or(u32::MAX, |target| table.load(target))
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }
}

/// Chooses a target by the hash of the prompt's first blocks, regardless of load.
#[derive(Clone, Copy, Debug)]
pub struct PrefixHash {
    /// Index, from 0, of the block whose hash is used. For shorter prompts, the last block is
    /// used.
    pub block: usize,
}

impl Default for PrefixHash {
    fn default() -> Self {
        Self { block: 7 }
    }
}

impl TargetPolicy for PrefixHash {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let last = request.blocks.len().checked_sub(1);
        let Some(block) = last.map(|last| request.blocks[self.block.min(last)]) else {
            return Random.choose(table, request, rng);
        };
        table
            .affinity_target(request, true, block)
            .or_else(|| table.affinity_target(request, false, block))
    }
}

/// Returns a random eligible member of a pool, or [`None`] if there is none.
pub(crate) fn random_member<R: Rng + ?Sized>(
    table: &TargetTable,
    request: &ChoiceRequest<'_>,
    own_data_centre: bool,
    rng: &mut R,
) -> Option<TargetIndex> {
    let members = table.pool(request, own_data_centre);
    if members.is_empty() {
        return None;
    }
    for _ in 0..MAX_RANDOM_DRAWS {
        let index = members[rng.random_range(0..members.len())];
        if table.eligible(index, request).is_some() {
            return Some(index);
        }
    }
    let start = rng.random_range(0..members.len());
    let (before, after) = members.split_at(start);
    after
        .iter()
        .chain(before)
        .copied()
        .find(|index| table.eligible(*index, request).is_some())
}
