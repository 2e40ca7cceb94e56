//! Policies that the prefix-aware one is compared with.

use rand::Rng;

use crate::{ChoiceRequest, TargetIndex, TargetPolicy, TargetTable};

/// Tries to draw a member that may serve before all members are looked through.
const DRAWS: usize = 8;

/// Any target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl TargetPolicy for Random {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        draw(table, request, true, rng).or_else(|| draw(table, request, false, rng))
    }
}

/// The target whose last report shows the least load, uncorrected.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedByReport;

impl TargetPolicy for LeastLoadedByReport {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let mut least = |own_data_centre| {
            table
                .pool(request, own_data_centre)
                .iter()
                .filter_map(|index| Some((*index, table.eligible(*index, request)?)))
                .min_by_key(|(_, target)| (target.reported_load(), rng.random::<u32>()))
                .map(|(index, _)| index)
        };
        least(true).or_else(|| least(false))
    }
}

/// The less loaded of two drawn targets, by corrected load.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl TargetPolicy for PowerOfTwoChoices {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let own_data_centre = draw(table, request, true, rng).is_some();
        let first = draw(table, request, own_data_centre, rng)?;
        let second = draw(table, request, own_data_centre, rng)?;
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

/// The target that the hash of the prompt's first blocks points to, whatever its load.
#[derive(Clone, Copy, Debug)]
pub struct PrefixHash {
    /// Number of the block whose hash counts, from 0; a shorter prompt's last block counts.
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
            .home(request, true, block)
            .or_else(|| table.home(request, false, block))
    }
}

/// A member drawn at random that may serve the request.
pub(crate) fn draw<R: Rng + ?Sized>(
    table: &TargetTable,
    request: &ChoiceRequest<'_>,
    own_data_centre: bool,
    rng: &mut R,
) -> Option<TargetIndex> {
    let members = table.pool(request, own_data_centre);
    if members.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
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
