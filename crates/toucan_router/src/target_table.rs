//! All targets that this node may send to.

use toucan_types::{DataCentreName, FastHashMap, Permille, ServiceName, TargetName};

use crate::hash_mix::mix;
use crate::prefix_home::{HomeTrust, PrefixHome, home_depths};
use crate::prefix_levels::PrefixLevels;
use crate::target_load::OwnDispatch;
use crate::target_pools::{TargetPool, TargetPools};
use crate::{
    CacheChange, ChoiceRequest, DispatchOutcome, DrainSource, LoadReport, PrefixBeliefSettings,
    PrefixIndex, Target, TargetDescription, TargetIndex,
};

/// Settings of a [`TargetTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetTableSettings {
    /// Most prompt blocks whose holders are remembered, over all targets.
    pub most_prefix_blocks: usize,
    /// One block in so many is remembered.
    pub prefix_block_stride: u32,
    /// Belief in cached prefixes.
    pub belief: PrefixBeliefSettings,
    /// How much this node's dispatches since a report count once more for those of other routers,
    /// in thousandths per other router.
    pub peer_weight_permille: u32,
    /// Requests above the batch limit that a target may be given, so that its batch never runs dry
    /// between two reports.
    pub surplus_requests: u32,
    /// Prompt tokens that a target prefills a second, until first tokens teach better.
    pub prefill_tokens_per_s: u64,
    /// Deepest place of a prompt, in blocks, by which all nodes find the same home for it when no
    /// event tells who holds it.
    pub home_blocks: usize,
}

impl Default for TargetTableSettings {
    fn default() -> Self {
        Self {
            most_prefix_blocks: 450_000,
            prefix_block_stride: 8,
            belief: PrefixBeliefSettings::default(),
            peer_weight_permille: 500,
            surplus_requests: 1,
            prefill_tokens_per_s: 8_000,
            home_blocks: 128,
        }
    }
}

/// Handle of one dispatch, for its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DispatchId {
    target: TargetIndex,
    number: u64,
}

impl DispatchId {
    /// Target that the request was sent to.
    #[must_use]
    pub const fn target(self) -> TargetIndex {
        self.target
    }
}

/// Longest prefix that a target was seen to hold.
#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    seen_ms: u64,
}

/// Targets with their corrected load, health, drain and believed prefixes.
///
/// State belongs to one thread; a choice reads it, and events, reports and ends of requests change
/// it.
#[derive(Clone, Debug)]
pub struct TargetTable {
    settings: TargetTableSettings,
    own_data_centre: DataCentreName,
    targets: Vec<Option<Box<Target>>>,
    by_name: FastHashMap<TargetName, TargetIndex>,
    pools: TargetPools,
    prefixes: PrefixIndex,
    peer_weight_permille: u32,
    /// Average time per prompt token over all targets.
    fleet_ns_per_token: u64,
    home_trust: HomeTrust,
    next_dispatch: u64,
}

impl TargetTable {
    /// No targets yet.
    #[must_use]
    pub fn new(settings: TargetTableSettings, own_data_centre: DataCentreName) -> Self {
        Self {
            prefixes: PrefixIndex::new(settings.most_prefix_blocks, settings.prefix_block_stride),
            settings,
            own_data_centre,
            targets: Vec::new(),
            by_name: FastHashMap::default(),
            pools: TargetPools::default(),
            peer_weight_permille: 0,
            fleet_ns_per_token: 1_000_000_000 / settings.prefill_tokens_per_s.max(1),
            home_trust: HomeTrust::default(),
            next_dispatch: 0,
        }
    }

    /// Tells how many other routers send to the same targets.
    pub fn set_peer_routers(&mut self, peers: u32) {
        self.peer_weight_permille = peers.saturating_mul(self.settings.peer_weight_permille);
    }

    /// Adds a target, or replaces its description; a change of service or data centre starts afresh.
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

    /// Forgets a target; its index is never used again.
    ///
    /// What it held stays in the index of prefixes until it is driven out: a search of the whole
    /// index would hold up the choices of other requests.
    pub fn remove(&mut self, index: TargetIndex) {
        let slot = self.targets.get_mut(index.0 as usize);
        let Some(target) = slot.and_then(Option::take) else {
            return;
        };
        self.by_name.remove(target.name());
        self.pools.remove(index, &target);
    }

    /// Index of a target.
    #[must_use]
    pub fn index(&self, name: &TargetName) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// A target.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> Option<&Target> {
        self.targets.get(index.0 as usize)?.as_deref()
    }

    /// All targets with their indexes.
    pub fn iter(&self) -> impl Iterator<Item = (TargetIndex, &Target)> {
        (0_u32..)
            .map(TargetIndex)
            .zip(&self.targets)
            .filter_map(|(index, target)| target.as_deref().map(|target| (index, target)))
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Believed holders of prefixes.
    #[must_use]
    pub const fn prefixes(&self) -> &PrefixIndex {
        &self.prefixes
    }

    /// Data centre of this node.
    #[must_use]
    pub const fn own_data_centre(&self) -> &DataCentreName {
        &self.own_data_centre
    }

    /// Applies a load report; true if it was newer than the last and the target is known.
    ///
    /// The target's own word about leaving counts even when the report is otherwise old.
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

    /// Takes a word about leaving; true if the target enters or ends draining by it.
    pub fn set_draining(
        &mut self,
        index: TargetIndex,
        source: DrainSource,
        leaving: bool,
        now_ms: u64,
    ) -> bool {
        self.target_mut(index)
            .is_some_and(|target| target.drain.observe(source, leaving, now_ms))
    }

    /// Applies one cache event of a target.
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
        if !target.belief.observe_sequence(sequence, now_ms) {
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
                    if seen_ms.is_some_and(|at| !target.belief.outdates_removal(at, now_ms)) {
                        self.prefixes.remove(*block, index);
                    }
                }
            }
            CacheChange::Cleared => target.belief.clear(now_ms),
        }
    }

    /// Takes note that a target's engine started over with an empty cache and new event numbers.
    pub fn record_engine_restart(&mut self, index: TargetIndex, now_ms: u64) {
        if let Some(target) = self.target_mut(index) {
            target.belief.restart(now_ms);
        }
    }

    /// Number of a target's last cache event, from which the next page is asked.
    #[must_use]
    pub fn last_cache_sequence(&self, index: TargetIndex) -> Option<u64> {
        self.get(index)?.belief.last_sequence()
    }

    /// Notes that a request is being sent to a target; [`None`] if the target is unknown.
    pub fn record_dispatch(
        &mut self,
        index: TargetIndex,
        request: &ChoiceRequest<'_>,
    ) -> Option<DispatchId> {
        let held = self.held(index, request);
        let known_blocks = held.map_or(0, |held| {
            held.tokens / u64::from(request.block_tokens.max(1))
        });
        let hoped_tokens = self
            .homes(request, known_blocks)
            .find(|home| home.target == index)
            .map_or(0, |home| home.blocks * u64::from(request.block_tokens));
        let cached_tokens = self.believed_tokens(index, request);
        let number = self.next_dispatch;
        let now_ms = request.now_ms;
        let target = self.target_mut(index)?;
        target.health.probing(now_ms);
        target.load.sent(OwnDispatch {
            number,
            sent_ms: now_ms,
            tokens_ahead: 0,
            prefill_tokens: request.prompt_tokens.saturating_sub(cached_tokens),
            has_first_token: false,
            blocks: request.blocks.into(),
            believed_tokens: held.map_or(0, |held| held.tokens),
            hoped_tokens,
            belief_age_ms: held.map_or(0, |held| now_ms.saturating_sub(held.seen_ms)),
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

    /// Notes that the first token of a dispatch arrived: its prompt is prefilled.
    pub fn record_first_token(&mut self, dispatch: DispatchId, now_ms: u64) {
        let fleet_ns = self.fleet_ns_per_token;
        let Some(target) = self.target_mut(dispatch.target) else {
            return;
        };
        target.health.succeeded();
        let Some(own) = target.load.record_first_token(dispatch.number) else {
            return;
        };
        let took_ms = now_ms.saturating_sub(own.sent_ms);
        let sample = target
            .pace
            .observe(own.tokens_ahead, took_ms, fleet_ns, now_ms);
        if let Some(sample_ns) = sample {
            self.fleet_ns_per_token = ((fleet_ns * 63 + sample_ns) / 64).max(1);
        }
    }

    /// Notes the end of a dispatch; a second call for the same one does nothing.
    pub fn record_end(&mut self, dispatch: DispatchId, end: DispatchOutcome, now_ms: u64) {
        let Some(target) = self.target_mut(dispatch.target) else {
            return;
        };
        let Some(own) = target.load.record_end(dispatch.number, now_ms) else {
            return;
        };
        match end {
            DispatchOutcome::Completed { cached_tokens } => {
                target.health.succeeded();
                if let Some(cached_tokens) = cached_tokens {
                    self.repair(dispatch.target, &own, cached_tokens, now_ms);
                }
            }
            DispatchOutcome::Failed => {
                target.health.failed(now_ms);
                self.forget_dispatch(dispatch.target, &own);
            }
            DispatchOutcome::Cancelled => {}
        }
    }

    /// Tokens of the prompt that a target is believed to have cached, weighed by trust.
    #[must_use]
    pub fn believed_tokens(&self, index: TargetIndex, request: &ChoiceRequest<'_>) -> u64 {
        let Some(target) = self.get(index) else {
            return 0;
        };
        let Some(held) = self.held(index, request) else {
            return 0;
        };
        target
            .belief
            .trust(held.seen_ms, request.now_ms)
            .of(held.tokens)
    }

    /// Corrected load of a target: requests running and waiting there.
    #[must_use]
    pub fn load(&self, target: &Target) -> u32 {
        target.load.corrected(self.peer_weight_permille)
    }

    /// Time in which a target prefills so many tokens, in microseconds, as its first tokens show.
    pub(crate) fn prefill_us(&self, target: &Target, tokens: u64, now_ms: u64) -> u64 {
        tokens * target.pace.ns_per_token(self.fleet_ns_per_token, now_ms) / 1_000
    }

    /// Whether a target has a free place by its corrected load.
    #[must_use]
    pub fn has_free_place(&self, target: &Target) -> bool {
        let limit = target
            .load
            .batch_limit
            .saturating_add(self.settings.surplus_requests);
        self.load(target) < limit
    }

    /// Whether some target that can serve the request has a free place.
    #[must_use]
    pub fn has_capacity(&self, request: &ChoiceRequest<'_>) -> bool {
        self.pool(request, true)
            .iter()
            .chain(self.pool(request, false))
            .any(|index| {
                self.eligible(*index, request)
                    .is_some_and(|target| self.has_free_place(target))
            })
    }

    /// Free places of all targets of a service in this node's data centre.
    #[must_use]
    pub fn free_places(&self, service: &ServiceName, now_ms: u64) -> u64 {
        self.iter()
            .map(|(_, target)| target)
            .filter(|target| target.description.service == *service)
            .filter(|target| target.description.data_centre == self.own_data_centre)
            .filter(|target| target.takes_work(now_ms))
            .map(|target| u64::from(target.load.batch_limit.saturating_sub(self.load(target))))
            .sum()
    }

    /// Targets with the request's model loaded, in this node's data centre or in others.
    pub(crate) fn pool(
        &self,
        request: &ChoiceRequest<'_>,
        own_data_centre: bool,
    ) -> &[TargetIndex] {
        self.pools
            .pool(request.service, request.model, own_data_centre)
            .map_or(&[], TargetPool::members)
    }

    /// Homes of the prompt at depths more than twice as deep as what is known to be held: where an
    /// event tells of a good part of a conversation, hoping for more elsewhere costs hits.
    pub(crate) fn homes(
        &self,
        request: &ChoiceRequest<'_>,
        known_blocks: u64,
    ) -> impl Iterator<Item = PrefixHome> {
        home_depths(request.blocks.len(), self.settings.home_blocks)
            .filter(move |depth| *depth as u64 > 2 * known_blocks)
            .filter_map(move |depth| {
                let target = self.home(request, true, request.blocks[depth - 1])?;
                Some(PrefixHome {
                    target,
                    blocks: depth as u64,
                })
            })
    }

    /// Share of its depth that a home is hoped to hold.
    pub(crate) fn home_trust(&self) -> Permille {
        self.home_trust.trust()
    }

    /// First target that may serve the request on the ring from a block's hash on: the same one on
    /// every node that knows the same targets.
    pub(crate) fn home(
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

    /// The target if it may serve the request.
    pub(crate) fn eligible(
        &self,
        index: TargetIndex,
        request: &ChoiceRequest<'_>,
    ) -> Option<&Target> {
        let target = self.get(index)?;
        let excluded = request.exclude.contains(&index);
        let role = target.role == request.role || target.role == crate::TargetRole::Both;
        let place = !request.require_free_slot || self.has_free_place(target);
        (target.takes_work(request.now_ms) && role && !excluded && place).then_some(target)
    }

    pub(crate) fn serves(&self, target: &Target, request: &ChoiceRequest<'_>) -> bool {
        target.description.service == *request.service
            && request
                .model
                .is_none_or(|model| target.models.contains(model))
    }

    fn add(&mut self, description: TargetDescription) -> TargetIndex {
        let index = TargetIndex(u32::try_from(self.targets.len()).unwrap_or(u32::MAX));
        self.by_name.insert(description.name.clone(), index);
        let target = Target::new(description, self.settings.belief);
        self.pools.set_own_data_centre(&self.own_data_centre);
        self.pools.add(index, &target);
        self.targets.push(Some(Box::new(target)));
        index
    }

    fn target_mut(&mut self, index: TargetIndex) -> Option<&mut Target> {
        self.targets.get_mut(index.0 as usize)?.as_deref_mut()
    }

    /// Longest prefix of the prompt that a target was seen to hold.
    fn held(&self, index: TargetIndex, request: &ChoiceRequest<'_>) -> Option<Held> {
        let levels = PrefixLevels::of(&self.prefixes, request.blocks);
        let (blocks, seen_ms) = levels.held(index)?;
        Some(Held {
            tokens: blocks * u64::from(request.block_tokens),
            seen_ms,
        })
    }

    /// Corrects the belief by the engine's own count of cached tokens.
    fn repair(&mut self, index: TargetIndex, own: &OwnDispatch, cached_tokens: u64, now_ms: u64) {
        self.home_trust
            .observe(own.believed_tokens, own.hoped_tokens, cached_tokens);
        if own.believed_tokens > 0
            && let Some(target) = self.target_mut(index)
        {
            if cached_tokens >= own.believed_tokens {
                target.belief.confirm(own.belief_age_ms);
            } else {
                target.belief.refute(own.belief_age_ms);
            }
        }
        // The prompt was in use until now, whatever events said meanwhile.
        for block in &own.blocks {
            self.prefixes.insert(*block, index, now_ms);
        }
    }

    fn forget_dispatch(&mut self, index: TargetIndex, own: &OwnDispatch) {
        if own.has_first_token {
            return;
        }
        for block in &own.blocks {
            if self.prefixes.seen_ms(*block, index) == Some(own.sent_ms) {
                self.prefixes.remove(*block, index);
            }
        }
    }
}
