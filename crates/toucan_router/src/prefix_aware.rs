//! Policy that minimises the expected time to first token by prefix cache and load.

use rand::Rng;
use toucan_types::Permille;

use crate::baseline_policies::random_member;
use crate::prefix_affinity::{AffinityTarget, MAX_AFFINITY_TARGETS};
use crate::prefix_levels::PrefixLevels;
use crate::{ChoiceRequest, Target, TargetIndex, TargetPolicy, TargetTable};

/// Maximum number of candidates compared per choice.
const MAX_CANDIDATES: usize = 16;
/// Maximum number of holders taken from one level.
const MAX_HOLDERS_PER_LEVEL: usize = 3;

/// Settings of [`PrefixAware`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixAwareSettings {
    /// Number of random candidates besides those that hold a prefix.
    pub random_candidates: usize,
    /// Time that each request in the batch adds to the time to first token, in microseconds.
    pub batch_slot_us: u64,
    /// Wait for a batch slot per request above the batch limit, in milliseconds.
    pub slot_wait_ms: u64,
    /// Extra weight of this request's own prefill, on top of its duration: it also delays the
    /// requests behind it and evicts other prefixes from the cache.
    pub extra_prefill_weight: Permille,
    /// Penalty for a target in another data centre, in milliseconds.
    pub cross_data_centre_penalty_ms: u64,
}

impl Default for PrefixAwareSettings {
    fn default() -> Self {
        Self {
            random_candidates: 4,
            batch_slot_us: 2_000,
            slot_wait_ms: 200,
            extra_prefill_weight: Permille(500),
            cross_data_centre_penalty_ms: 20,
        }
    }
}

/// Chooses the candidate with the shortest expected time to first token.
///
/// Candidates are the probable holders of the prompt's prefix, the affinity targets by consistent
/// hashing at depths well beyond the known prefix, and a few random targets. Targets in other data
/// centres get a penalty.
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
        let affinity_targets = AffinityTargets::of(table, request, levels.known_blocks());
        let mut candidates = Candidates::default();
        for affinity in affinity_targets.iter() {
            candidates.add(affinity.target);
        }
        for _ in 0..self.settings.random_candidates {
            candidates.add_if_some(random_member(table, request, true, rng));
        }
        candidates.add_if_some(random_member(table, request, false, rng));
        add_holders(table, request, &levels, &mut candidates, rng);
        candidates
            .targets()
            .iter()
            .filter_map(|index| Some((*index, table.eligible(*index, request)?)))
            .min_by_key(|(index, target)| {
                self.expected_us(table, *index, target, request, &levels, &affinity_targets)
            })
            .map(|(index, _)| index)
    }
}

impl PrefixAware {
    /// Returns the expected time to first token in microseconds.
    fn expected_us(
        &self,
        table: &TargetTable,
        index: TargetIndex,
        target: &Target,
        request: &ChoiceRequest<'_>,
        levels: &PrefixLevels<'_>,
        affinity_targets: &AffinityTargets,
    ) -> u64 {
        let settings = &self.settings;
        let cached = levels.held(index).map_or(0, |(blocks, seen_ms)| {
            let tokens = blocks * u64::from(request.block_tokens);
            target
                .cache_estimate
                .confidence(seen_ms, request.now_ms)
                .of(tokens)
        });
        let affinity_tokens = affinity_targets.blocks_of(index) * u64::from(request.block_tokens);
        let cached = cached.max(table.affinity_hit_rate().of(affinity_tokens));
        let uncached = request.prompt_tokens.saturating_sub(cached);
        let weighted = uncached + settings.extra_prefill_weight.of(uncached);
        let prefill_tokens = weighted + target.load.pending_prefill_tokens();
        let prefill_us = table.prefill_us(target, prefill_tokens, request.now_ms);
        let load = u64::from(table.load(target));
        let excess = (load + 1).saturating_sub(u64::from(target.batch_limit()));
        let data_centre_penalty_us = if target.description.data_centre == *table.own_data_centre() {
            0
        } else {
            settings.cross_data_centre_penalty_ms * 1_000
        };
        prefill_us
            + load * settings.batch_slot_us
            + excess * settings.slot_wait_ms * 1_000
            + data_centre_penalty_us
    }
}

/// Adds holders of each level as candidates.
///
/// Starts at a random holder of each level, so that nodes do not all compare the same ones.
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
        for holder in after.iter().chain(before).take(MAX_HOLDERS_PER_LEVEL) {
            let target = table.eligible(holder.target, request);
            if target.is_some_and(|target| table.serves(target, request)) {
                candidates.add(holder.target);
            }
        }
    }
}

/// Affinity targets of one prompt.
#[derive(Debug)]
struct AffinityTargets([Option<AffinityTarget>; MAX_AFFINITY_TARGETS]);

impl AffinityTargets {
    fn of(table: &TargetTable, request: &ChoiceRequest<'_>, known_blocks: u64) -> Self {
        let mut affinity_targets = table.affinity_targets(request, known_blocks);
        Self(std::array::from_fn(|_| affinity_targets.next()))
    }

    fn iter(&self) -> impl Iterator<Item = &AffinityTarget> {
        self.0.iter().flatten()
    }

    /// Returns the depth in blocks at which a target is an affinity target; 0 if it is none.
    fn blocks_of(&self, target: TargetIndex) -> u64 {
        let affinity = self.iter().find(|affinity| affinity.target == target);
        affinity.map_or(0, |affinity| affinity.blocks)
    }
}

/// Candidates of one choice, without duplicates.
#[derive(Debug)]
struct Candidates {
    targets: [TargetIndex; MAX_CANDIDATES],
    len: usize,
}

impl Default for Candidates {
    fn default() -> Self {
        Self {
            targets: [TargetIndex(0); MAX_CANDIDATES],
            len: 0,
        }
    }
}

impl Candidates {
    fn targets(&self) -> &[TargetIndex] {
        &self.targets[..self.len]
    }

    fn add(&mut self, target: TargetIndex) {
        if self.len < MAX_CANDIDATES && !self.targets().contains(&target) {
            self.targets[self.len] = target;
            self.len += 1;
        }
    }

    fn add_if_some(&mut self, target: Option<TargetIndex>) {
        if let Some(target) = target {
            self.add(target);
        }
    }
}
