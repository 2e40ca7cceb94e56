//! Table of all targets that this node may send requests to.

use toucan_types::{DataCentreName, FastHashMap, Permille, ServiceName, TargetName};

use crate::hash_mix::mix;
use crate::prefix_affinity::{AffinityHitRate, AffinityTarget, affinity_depths};
use crate::prefix_levels::PrefixLevels;
use crate::target_load::InFlightDispatch;
use crate::target_pools::{TargetPool, TargetPools};
use crate::{
    CacheChange, ChoiceRequest, DispatchOutcome, DrainSource, LoadReport,
    PrefixCacheEstimateSettings, PrefixIndex, Target, TargetDescription, TargetIndex,
};

/// Settings of a [`TargetTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetTableSettings {
    /// Maximum number of prompt blocks whose holders are indexed, over all targets.
    pub max_prefix_blocks: usize,
    /// Only one block in this many is indexed.
    pub prefix_block_stride: u32,
    /// Settings of the prefix cache estimates.
    pub cache_estimate: PrefixCacheEstimateSettings,
    /// Assumed dispatches of each other router since a report, relative to this node's, in
    /// permille.
    pub peer_weight_permille: u32,
    /// Requests that a target may get above its batch limit, which keeps its batch full between
    /// two reports.
    pub extra_requests: u32,
    /// Assumed prefill rate of a target in prompt tokens per second, until first tokens are
    /// observed.
    pub prefill_tokens_per_s: u64,
    /// Maximum depth in blocks at which a prompt has an affinity target, which all nodes agree on
    /// without cache events.
    pub max_affinity_blocks: usize,
}

impl Default for TargetTableSettings {
    fn default() -> Self {
        Self {
            max_prefix_blocks: 450_000,
            prefix_block_stride: 8,
            cache_estimate: PrefixCacheEstimateSettings::default(),
            peer_weight_permille: 500,
            extra_requests: 1,
            prefill_tokens_per_s: 8_000,
            max_affinity_blocks: 128,
        }
    }
}

/// Identifier of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchId {
    target: TargetIndex,
    number: u64,
}

impl DispatchId {
    /// Returns the target that the request was sent to.
    #[must_use]
    pub const fn target(self) -> TargetIndex {
        self.target
    }
}

/// Longest known prefix of a prompt in the cache of a target.
#[derive(Clone, Copy, Debug)]
struct HeldPrefix {
    tokens: u64,
    seen_ms: u64,
}

/// Targets with their corrected load, health, drain state and cached prefixes.
///
/// The table belongs to one thread. Choices only read it; reports, cache events and the progress
/// of dispatches update it.
#[derive(Clone, Debug)]
pub struct TargetTable {
    settings: TargetTableSettings,
    own_data_centre: DataCentreName,
    targets: Vec<Option<Box<Target>>>,
    by_name: FastHashMap<TargetName, TargetIndex>,
    pools: TargetPools,
    prefixes: PrefixIndex,
    peer_weight_permille: u32,
    /// Average prefill time per prompt token over all targets.
    fleet_ns_per_token: u64,
    affinity_hit_rate: AffinityHitRate,
    next_dispatch: u64,
}

impl TargetTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(settings: TargetTableSettings, own_data_centre: DataCentreName) -> Self {
        Self {
            prefixes: PrefixIndex::new(settings.max_prefix_blocks, settings.prefix_block_stride),
            settings,
            own_data_centre,
            targets: Vec::new(),
            by_name: FastHashMap::default(),
            pools: TargetPools::default(),
            peer_weight_permille: 0,
            fleet_ns_per_token: 1_000_000_000 / settings.prefill_tokens_per_s.max(1),
            affinity_hit_rate: AffinityHitRate::default(),
            next_dispatch: 0,
        }
    }

    /// Sets the number of other routers that send to the same targets.
    pub fn set_peer_routers(&mut self, peers: u32) {
        self.peer_weight_permille = peers.saturating_mul(self.settings.peer_weight_permille);
    }

    /// Adds a target or updates its description.
    ///
    /// A target whose service or data centre changes is replaced and loses its state.
    pub fn upsert(&mut self, description: TargetDescription) -> TargetIndex {
        if let Some(index) = self.index(&description.name) {
            let Some(target) = self.target_mut(index) else {
                return self.add(description);
            };
            let same = target.description.service == description.service
                && target.description.data_centre == description.data_centre;
            if same {
                if !target.load.has_report() {
                    target.load.batch_limit = description.batch_limit;
                }
                target.description = description;
                return index;
            }
            self.remove(index);
        }
        self.add(description)
    }

    /// Removes a target; its index is never reused.
    ///
    /// Its blocks stay in the prefix index until they are evicted, because a scan of the whole
    /// index would delay the choices for other requests.
    pub fn remove(&mut self, index: TargetIndex) {
        let slot = self.targets.get_mut(index.0 as usize);
        let Some(target) = slot.and_then(Option::take) else {
            return;
        };
        self.by_name.remove(target.name());
        self.pools.remove(index, &target);
    }

    /// Returns the index of a target.
    #[must_use]
    pub fn index(&self, name: &TargetName) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> Option<&Target> {
        self.targets.get(index.0 as usize)?.as_deref()
    }

    /// Iterates over all targets with their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &Target)> {
        (0_u32..)
            .map(TargetIndex)
            .zip(&self.targets)
            .filter_map(|(index, target)| target.as_deref().map(|target| (index, target)))
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the index of cached prompt blocks.
    #[must_use]
    pub const fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Returns the data centre of this node.
    #[must_use]
    pub const fn own_data_centre(&self) -> &DataCentreName {
        &self.own_data_centre
    }

    /// Applies a load report; returns `false` if the target is unknown or the report is older than
    /// the last one applied, which then has no effect.
    pub fn apply_report(&mut self, index: TargetIndex, report: &LoadReport, now_ms: u64) -> bool {
        let Some(target) = self.target_mut(index) else {
            return false;
        };
        if !target.load.apply(report, now_ms) {
            return false;
        }
        target
            .drain
            .observe(DrainSource::Target, report.draining, now_ms);
        if target.models != report.models || target.role != report.role {
            let before = target.clone();
            target.apply_models(report);
            let after = target.clone();
            self.pools.remove(index, &before);
            self.pools.add(index, &after);
        }
        true
    }

    /// Sets whether a source wants the target to drain; returns whether the target starts or stops
    /// draining.
    pub fn set_draining(
        &mut self,
        index: TargetIndex,
        source: DrainSource,
        draining: bool,
        now_ms: u64,
    ) -> bool {
        self.target_mut(index)
            .is_some_and(|target| target.drain.observe(source, draining, now_ms))
    }

    /// Applies a cache event of a target; ignores it if its sequence number is not newer than the
    /// last.
    pub fn apply_cache_event(
        &mut self,
        index: TargetIndex,
        sequence: u64,
        change: &CacheChange<'_>,
        now_ms: u64,
    ) {
        let slot = self.targets.get_mut(index.0 as usize);
        let Some(target) = slot.and_then(|target| target.as_deref_mut()) else {
            return;
        };
        if !target.cache_estimate.observe_sequence(sequence, now_ms) {
            return;
        }
        match *change {
            CacheChange::Stored(blocks) => {
                for block in blocks {
                    self.prefixes.insert(*block, index, now_ms);
                }
            }
            CacheChange::Removed(blocks) => {
                for block in blocks {
                    let seen_ms = self.prefixes.seen_ms(*block, index);
                    if seen_ms
                        .is_some_and(|at| !target.cache_estimate.may_postdate_removal(at, now_ms))
                    {
                        self.prefixes.remove(*block, index);
                    }
                }
            }
            CacheChange::Cleared => target.cache_estimate.clear(now_ms),
        }
    }

    /// Records that the engine restarted with an empty cache and new sequence numbers.
    pub fn record_engine_restart(&mut self, index: TargetIndex, now_ms: u64) {
        if let Some(target) = self.target_mut(index) {
            target.cache_estimate.reset(now_ms);
        }
    }

    /// Returns the sequence number of a target's last cache event, after which the next page
    /// starts.
    #[must_use]
    pub fn last_cache_sequence(&self, index: TargetIndex) -> Option<u64> {
        self.get(index)?.cache_estimate.last_sequence()
    }

    /// Records that a request is sent to a target; returns [`None`] if the target is unknown.
    pub fn record_dispatch(
        &mut self,
        index: TargetIndex,
        request: &ChoiceRequest<'_>,
    ) -> Option<DispatchId> {
        let held = self.held_prefix(index, request);
        let known_blocks = held.map_or(0, |held| {
            held.tokens / u64::from(request.block_tokens.max(1))
        });
        let affinity_tokens = self
            .affinity_targets(request, known_blocks)
            .find(|affinity| affinity.target == index)
            .map_or(0, |affinity| {
                affinity.blocks * u64::from(request.block_tokens)
            });
        let cached_tokens = self.estimated_cached_tokens(index, request);
        let number = self.next_dispatch;
        let now_ms = request.now_ms;
        let target = self.target_mut(index)?;
        target.health.record_probe(now_ms);
        target.load.record_dispatch(InFlightDispatch {
            number,
            sent_ms: now_ms,
            tokens_ahead: 0,
            prefill_tokens: request.prompt_tokens.saturating_sub(cached_tokens),
            has_first_token: false,
            blocks: request.blocks.into(),
            known_tokens: held.map_or(0, |held| held.tokens),
            affinity_tokens,
            known_age_ms: held.map_or(0, |held| now_ms.saturating_sub(held.seen_ms)),
        });
        for block in request.blocks {
            self.prefixes.insert(*block, index, now_ms);
        }
        self.next_dispatch += 1;
        Some(DispatchId {
            target: index,
            number,
        })
    }

    /// Records that the first token of a dispatch arrived, which ends its prefill.
    pub fn record_first_token(&mut self, dispatch: DispatchId, now_ms: u64) {
        let fleet_ns = self.fleet_ns_per_token;
        let Some(target) = self.target_mut(dispatch.target) else {
            return;
        };
        target.health.record_success();
        let Some(in_flight) = target.load.record_first_token(dispatch.number) else {
            return;
        };
        let took_ms = now_ms.saturating_sub(in_flight.sent_ms);
        let sample = target
            .prefill_cost
            .observe(in_flight.tokens_ahead, took_ms, fleet_ns, now_ms);
        if let Some(sample_ns) = sample {
            self.fleet_ns_per_token = ((fleet_ns * 63 + sample_ns) / 64).max(1);
        }
    }

    /// Records the outcome of a dispatch. A repeated call for the same dispatch has no effect.
    pub fn record_end(&mut self, dispatch: DispatchId, outcome: DispatchOutcome, now_ms: u64) {
        let Some(target) = self.target_mut(dispatch.target) else {
            return;
        };
        let Some(in_flight) = target.load.record_end(dispatch.number, now_ms) else {
            return;
        };
        match outcome {
            DispatchOutcome::Completed { cached_tokens } => {
                target.health.record_success();
                if let Some(cached_tokens) = cached_tokens {
                    self.correct_estimates(dispatch.target, &in_flight, cached_tokens, now_ms);
                }
            }
            DispatchOutcome::Failed => {
                target.health.record_failure(now_ms);
                self.remove_unconfirmed_blocks(dispatch.target, &in_flight);
            }
            DispatchOutcome::Cancelled => {}
        }
    }

    /// Returns the estimated number of prompt tokens in the cache of a target, weighted by
    /// confidence.
    #[must_use]
    pub fn estimated_cached_tokens(&self, index: TargetIndex, request: &ChoiceRequest<'_>) -> u64 {
        let Some(target) = self.get(index) else {
            return 0;
        };
        let Some(held) = self.held_prefix(index, request) else {
            return 0;
        };
        target
            .cache_estimate
            .confidence(held.seen_ms, request.now_ms)
            .of(held.tokens)
    }

    /// Returns the corrected load of a target in requests, running and waiting.
    #[must_use]
    pub fn load(&self, target: &Target) -> u32 {
        target.load.corrected(self.peer_weight_permille)
    }

    /// Returns the time in microseconds in which a target prefills `tokens`, by its observed cost.
    pub(crate) fn prefill_us(&self, target: &Target, tokens: u64, now_ms: u64) -> u64 {
        tokens
            * target
                .prefill_cost
                .ns_per_token(self.fleet_ns_per_token, now_ms)
            / 1_000
    }

    /// Returns whether a target has a free batch slot by its corrected load.
    #[must_use]
    pub fn has_free_slot(&self, target: &Target) -> bool {
        let limit = target
            .load
            .batch_limit
            .saturating_add(self.settings.extra_requests);
        self.load(target) < limit
    }

    /// Returns whether any target that can serve the request has a free batch slot.
    #[must_use]
    pub fn has_capacity(&self, request: &ChoiceRequest<'_>) -> bool {
        self.pool(request, true)
            .iter()
            .chain(self.pool(request, false))
            .any(|index| {
                self.eligible(*index, request)
                    .is_some_and(|target| self.has_free_slot(target))
            })
    }

    /// Returns the number of free batch slots of a service in this node's data centre.
    #[must_use]
    pub fn free_slots(&self, service: &ServiceName, now_ms: u64) -> u64 {
        self.iter()
            .map(|(_, target)| target)
            .filter(|target| target.description.service == *service)
            .filter(|target| target.description.data_centre == self.own_data_centre)
            .filter(|target| target.takes_work(now_ms))
            .map(|target| u64::from(target.load.batch_limit.saturating_sub(self.load(target))))
            .sum()
    }

    /// Returns the targets that have the request's model loaded, in this node's data centre or in
    /// all others.
    pub(crate) fn pool(
        &self,
        request: &ChoiceRequest<'_>,
        own_data_centre: bool,
    ) -> &[TargetIndex] {
        self.pools
            .pool(request.service, request.model, own_data_centre)
            .map_or(&[], TargetPool::members)
    }

    /// Iterates over the prompt's affinity targets at depths of more than twice `known_blocks`.
    ///
    /// If cache events show where a large part of a conversation is cached, expecting more of it
    /// elsewhere lowers the hit rate.
    pub(crate) fn affinity_targets(
        &self,
        request: &ChoiceRequest<'_>,
        known_blocks: u64,
    ) -> impl Iterator<Item = AffinityTarget> {
        affinity_depths(request.blocks.len(), self.settings.max_affinity_blocks)
            .filter(move |depth| *depth as u64 > 2 * known_blocks)
            .filter_map(move |depth| {
                let target = self.affinity_target(request, true, request.blocks[depth - 1])?;
                Some(AffinityTarget {
                    target,
                    blocks: depth as u64,
                })
            })
    }

    /// Returns the fraction of the prompt up to its depth that an affinity target is expected to
    /// have cached.
    pub(crate) fn affinity_hit_rate(&self) -> Permille {
        self.affinity_hit_rate.hit_rate()
    }

    /// Returns the first eligible target on the hash ring after a block's hash.
    ///
    /// Nodes that know the same targets agree on it.
    pub(crate) fn affinity_target(
        &self,
        request: &ChoiceRequest<'_>,
        own_data_centre: bool,
        block: u64,
    ) -> Option<TargetIndex> {
        self.pools
            .pool(request.service, request.model, own_data_centre)?
            .starting_at(mix(block))
            .find(|index| self.eligible(*index, request).is_some())
    }

    /// Returns the target if it may serve the request, ignoring service and model.
    pub(crate) fn eligible(
        &self,
        index: TargetIndex,
        request: &ChoiceRequest<'_>,
    ) -> Option<&Target> {
        let target = self.get(index)?;
        let is_excluded = request.exclude.contains(&index);
        let has_role = target.role == request.role || target.role == crate::TargetRole::Both;
        let has_slot = !request.require_free_slot || self.has_free_slot(target);
        (target.takes_work(request.now_ms) && has_role && !is_excluded && has_slot)
            .then_some(target)
    }

    /// Returns whether a target belongs to the request's service and has its model loaded.
    pub(crate) fn serves(&self, target: &Target, request: &ChoiceRequest<'_>) -> bool {
        target.description.service == *request.service
            && request
                .model
                .is_none_or(|model| target.models.contains(model))
    }

    fn add(&mut self, description: TargetDescription) -> TargetIndex {
        let index = TargetIndex(u32::try_from(self.targets.len()).unwrap_or(u32::MAX));
        self.by_name.insert(description.name.clone(), index);
        let target = Target::new(description, self.settings.cache_estimate);
        self.pools.set_own_data_centre(&self.own_data_centre);
        self.pools.add(index, &target);
        self.targets.push(Some(Box::new(target)));
        index
    }

    fn target_mut(&mut self, index: TargetIndex) -> Option<&mut Target> {
        self.targets.get_mut(index.0 as usize)?.as_deref_mut()
    }

    /// Returns the longest known prefix of the prompt in the cache of a target.
    fn held_prefix(&self, index: TargetIndex, request: &ChoiceRequest<'_>) -> Option<HeldPrefix> {
        let levels = PrefixLevels::of(&self.prefixes, request.blocks);
        let (blocks, seen_ms) = levels.held(index)?;
        Some(HeldPrefix {
            tokens: blocks * u64::from(request.block_tokens),
            seen_ms,
        })
    }

    /// Corrects the estimates by the engine's own count of cached tokens.
    fn correct_estimates(
        &mut self,
        index: TargetIndex,
        dispatch: &InFlightDispatch,
        cached_tokens: u64,
        now_ms: u64,
    ) {
        self.affinity_hit_rate.observe(
            dispatch.known_tokens,
            dispatch.affinity_tokens,
            cached_tokens,
        );
        if dispatch.known_tokens > 0
            && let Some(target) = self.target_mut(index)
        {
            if cached_tokens >= dispatch.known_tokens {
                target.cache_estimate.record_hit(dispatch.known_age_ms);
            } else {
                target.cache_estimate.record_miss(dispatch.known_age_ms);
            }
        }
        // The engine used the blocks until now, even if an event reported their removal meanwhile.
        for block in &dispatch.blocks {
            self.prefixes.insert(*block, index, now_ms);
        }
    }

    /// Removes the blocks that only a dispatch without a first token indexed.
    fn remove_unconfirmed_blocks(&mut self, index: TargetIndex, dispatch: &InFlightDispatch) {
        if dispatch.has_first_token {
            return;
        }
        for block in &dispatch.blocks {
            if self.prefixes.seen_ms(*block, index) == Some(dispatch.sent_ms) {
                self.prefixes.remove(*block, index);
            }
        }
    }
}
