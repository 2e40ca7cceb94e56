//! Choice by the expected time to the first token, with believed prefixes and corrected load.

use rand::Rng;
use toucan_types::Permille;

use crate::baseline_choices::draw;
use crate::prefix_home::{MOST_HOMES, PrefixHome};
use crate::prefix_levels::PrefixLevels;
use crate::{ChoiceRequest, Target, TargetIndex, TargetPolicy, TargetTable};

/// Most candidates weighed per choice.
const MOST_CANDIDATES: usize = 16;
/// Most holders taken from one depth.
const HOLDERS_PER_LEVEL: usize = 3;

/// Settings of [`PrefixAware`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixAwareSettings {
    /// Targets drawn at random besides those that hold a prefix.
    pub samples: usize,
    /// Time that one more request in the batch adds to a first token, in microseconds.
    pub batch_place_us: u64,
    /// Time that one request above the batch limit waits for a place, in milliseconds.
    pub wait_for_place_ms: u64,
    /// How much more the prefill of this request counts than its time: it also delays the requests
    /// behind it and drives other prefixes out of the cache.
    pub recompute_weight: Permille,
    /// Time of the way to another data centre that a choice has to make good, in milliseconds.
    pub far_ms: u64,
}

impl Default for PrefixAwareSettings {
    fn default() -> Self {
        Self {
            samples: 4,
            batch_place_us: 2_000,
            wait_for_place_ms: 200,
            recompute_weight: Permille(500),
            far_ms: 20,
        }
    }
}

/// The candidate with the shortest expected time to the first token.
///
/// Candidates are the believed holders of the prompt's prefix, the prefix's home by rendezvous
/// hashing when nobody holds it, and a few drawn ones; data centres other than the own one cost the
/// way.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixAware {
    /// Settings.
    pub settings: PrefixAwareSettings,
}

impl TargetPolicy for PrefixAware {
    fn choose<R: Rng + ?Sized>(
        &self,
        table: &TargetTable,
        request: &ChoiceRequest<'_>,
        rng: &mut R,
    ) -> Option<TargetIndex> {
        let levels = PrefixLevels::of(table.prefixes(), request.blocks);
        let homes = Homes::of(table, request, levels.known_blocks());
        let mut candidates = Candidates::default();
        for home in homes.iter() {
            candidates.add(home.target);
        }
        for _ in 0..self.settings.samples {
            candidates.add_maybe(draw(table, request, true, rng));
        }
        candidates.add_maybe(draw(table, request, false, rng));
        add_holders(table, request, &levels, &mut candidates, rng);
        candidates
            .targets()
            .iter()
            .filter_map(|index| Some((*index, table.eligible(*index, request)?)))
            .min_by_key(|(index, target)| {
                self.expected_us(table, *index, target, request, &levels, &homes)
            })
            .map(|(index, _)| index)
    }
}

impl PrefixAware {
    /// Expected time to the first token in microseconds.
    fn expected_us(
        &self,
        table: &TargetTable,
        index: TargetIndex,
        target: &Target,
        request: &ChoiceRequest<'_>,
        levels: &PrefixLevels<'_>,
        homes: &Homes,
    ) -> u64 {
        let settings = &self.settings;
        let cached = levels.held(index).map_or(0, |(blocks, seen_ms)| {
            let tokens = blocks * u64::from(request.block_tokens);
            target.belief.trust(seen_ms, request.now_ms).of(tokens)
        });
        let hoped = homes.blocks_of(index) * u64::from(request.block_tokens);
        let cached = cached.max(table.home_trust().of(hoped));
        let uncached = request.prompt_tokens.saturating_sub(cached);
        let weighed = uncached + settings.recompute_weight.of(uncached);
        let prefill_tokens = weighed + target.load.pending_prefill_tokens();
        let prefill_us = table.prefill_us(target, prefill_tokens, request.now_ms);
        let load = u64::from(table.load(target));
        let above = (load + 1).saturating_sub(u64::from(target.batch_limit()));
        let way_us = if target.description.data_centre == *table.own_data_centre() {
            0
        } else {
            settings.far_ms * 1_000
        };
        prefill_us
            + load * settings.batch_place_us
            + above * settings.wait_for_place_ms * 1_000
            + way_us
    }
}

/// Adds holders of each depth, from a drawn place on, so that nodes do not all weigh the same ones;
/// returns how many there were.
fn add_holders<R: Rng + ?Sized>(
    table: &TargetTable,
    request: &ChoiceRequest<'_>,
    levels: &PrefixLevels<'_>,
    candidates: &mut Candidates,
    rng: &mut R,
) {
    for level in levels.iter().filter(|level| !level.holders.is_empty()) {
        let start = rng.random_range(0..level.holders.len());
        let (before, after) = level.holders.split_at(start);
        for holder in after.iter().chain(before).take(HOLDERS_PER_LEVEL) {
            let target = table.eligible(holder.target, request);
            if target.is_some_and(|target| table.serves(target, request)) {
                candidates.add(holder.target);
            }
        }
    }
}

/// Homes of one prompt.
#[derive(Debug)]
struct Homes([Option<PrefixHome>; MOST_HOMES]);

impl Homes {
    fn of(table: &TargetTable, request: &ChoiceRequest<'_>, known_blocks: u64) -> Self {
        let mut homes = table.homes(request, known_blocks);
        Self(std::array::from_fn(|_| homes.next()))
    }

    fn iter(&self) -> impl Iterator<Item = &PrefixHome> {
        self.0.iter().flatten()
    }

    /// Blocks that a target is hoped to hold as a home.
    fn blocks_of(&self, target: TargetIndex) -> u64 {
        let home = self.iter().find(|home| home.target == target);
        home.map_or(0, |home| home.blocks)
    }
}

#[derive(Debug)]
struct Candidates {
    targets: [TargetIndex; MOST_CANDIDATES],
    len: usize,
}

impl Default for Candidates {
    fn default() -> Self {
        Self {
            targets: [TargetIndex(0); MOST_CANDIDATES],
            len: 0,
        }
    }
}

impl Candidates {
    fn targets(&self) -> &[TargetIndex] {
        &self.targets[..self.len]
    }

    fn add(&mut self, target: TargetIndex) {
        if self.len < MOST_CANDIDATES && !self.targets().contains(&target) {
            self.targets[self.len] = target;
            self.len += 1;
        }
    }

    fn add_maybe(&mut self, target: Option<TargetIndex>) {
        if let Some(target) = target {
            self.add(target);
        }
    }
}
