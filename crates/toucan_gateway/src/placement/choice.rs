//! Chooses the target of a call.

use std::hash::{BuildHasher, Hasher};

use toucan_types::{DataCentreName, ServiceName, SoftwareVersion, TargetName};

use crate::{config::EngineSettings, wire_format::PromptPart};

use super::{Room, TargetScope, TargetState, TargetTable};

/// Settings of [`choose_target`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event at an idle engine that has the whole prompt cached.
    pub min_first_event_ms: f64,
    /// Time that each call at an engine adds to one step. The first event takes one step.
    pub step_ms_per_call: f64,
    /// Expected delay that each call at an engine adds to the first event of another call.
    pub delay_ms_per_call: f64,
    /// Expected delay that each call adds to another at a target without an engine, once all slots
    /// are taken.
    pub delay_ms_per_slot: f64,
    /// Expected wait at a full engine for each call beyond its slots, which is the time in which one of the
    /// calls that it runs ends: a call of some seconds at an engine with tens of slots.
    pub wait_ms_per_excess_call: f64,
    /// Penalty for a target that fails all its calls; it is scaled by the failure rate.
    pub failure_penalty_ms: f64,
    /// Penalty for a target where the call does not fit. Such a target rejects the call, lets it wait for
    /// another one to end, or preempts a call and processes its prompt again. It exceeds all other
    /// penalties, so a target without room gets a call only if no other has room.
    pub no_room_penalty_ms: f64,
    /// Penalty for a target in another data centre.
    pub cross_data_centre_penalty_ms: f64,
    /// Penalty for a target in another region: a round trip, which takes 24 to 40 ms.
    pub cross_region_penalty_ms: f64,
    /// Weight of the time to process uncached shared parts. It exceeds 1, because processing them
    /// delays the target's other calls and evicts cached prompts.
    pub cache_miss_weight: f64,
    /// Fraction of the cache miss cost that counts for the affinity target, if this VM has not sent it
    /// the prompt yet. Another VM probably has.
    pub affinity_miss_fraction: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            min_first_event_ms: 30.0,
            step_ms_per_call: 1.0,
            delay_ms_per_call: 8.0,
            delay_ms_per_slot: 40.0,
            wait_ms_per_excess_call: 80.0,
            failure_penalty_ms: 2_000.0,
            no_room_penalty_ms: 10_000.0,
            cross_data_centre_penalty_ms: 2.0,
            cross_region_penalty_ms: 40.0,
            cache_miss_weight: 6.0,
            affinity_miss_fraction: 0.05,
        }
    }
}

/// The chosen target, with what is expected of it.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// Chosen target.
    pub target: &'a TargetState,
    /// Expected time from sending the call to the first event of its answer.
    pub first_event_ms: f64,
    /// The part of that time that is due to earlier calls.
    pub backlog_ms: f64,
}

/// Input of [`choose_target`].
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Engine settings of the service, if it has engines.
    pub engine: Option<EngineSettings>,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Output tokens to expect.
    pub output_tokens: u64,
    /// Data centre of this VM.
    pub data_centre: &'a DataCentreName,
    /// Only software version that may get the call; [`None`] if every version may.
    pub software_version: Option<&'a SoftwareVersion>,
    /// Data centres whose targets may get the call.
    pub scope: TargetScope<'a>,
    /// Targets that the call has already been tried at.
    pub tried: &'a [TargetName],
    /// Targets that have granted no permit for the call.
    pub denied: &'a [TargetName],
    /// Maximum number of calls that this VM may have in flight at one target.
    pub max_in_flight: u32,
    /// Uniformly distributed number that breaks ties.
    pub tie_break_seed: u64,
}

impl ChoiceRequest<'_> {
    /// Returns whether a target is known to be in another region than this VM.
    fn is_in_other_region(&self, target: &TargetState) -> bool {
        self.scope.is_in_other_region(&target.entry.data_centre)
    }
}

/// Returns the best target of a service for a call; [`None`] if no target may get it.
///
/// Calls with the same shared prompt parts go to the same target as long as its cache saves more
/// time than its load costs. All VMs prefer the same affinity target for a prompt, without having
/// to communicate. A frequent prompt spills over to other targets as its affinity target fills up.
pub fn choose_target<'a>(
    request: &ChoiceRequest<'_>,
    service: &'a ServiceName,
    table: &'a TargetTable,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> Option<Choice<'a>> {
    let candidates: Vec<&TargetState> = table
        .of_service(service)
        .filter(|target| target.accepts_calls(now_ms))
        .filter(|target| target.has_version(request.software_version))
        .filter(|target| request.scope.admits(&target.entry.data_centre))
        .filter(|target| !request.tried.contains(&target.entry.name))
        .filter(|target| !request.denied.contains(&target.entry.name))
        .filter(|target| target.own.in_flight < request.max_in_flight)
        .collect();
    let any_healthy = candidates
        .iter()
        .any(|target| !table.is_avoided(target, now_ms));
    let affinity_targets = find_affinity_targets(request, &candidates);
    candidates
        .into_iter()
        .filter(|target| !any_healthy || !table.is_avoided(target, now_ms))
        .map(|target| {
            let is_affinity_target = affinity_targets.contains(&Some(&target.entry.name));
            let delay_ms = expected_delay_ms(request, target, is_affinity_target, settings, now_ms);
            (
                delay_ms,
                target_hash(request.tie_break_seed, &target.entry.name),
                target,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_delay_ms, _tie, target)| estimate(request, target, settings, now_ms))
}

/// Returns the choice of a target with its expected times, which assume an engine.
fn estimate<'a>(
    request: &ChoiceRequest<'_>,
    target: &'a TargetState,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> Choice<'a> {
    let uncached_tokens = target.prompt_cache.uncached_tokens(request.parts, now_ms);
    let prefill_ms = uncached_tokens as f64 / settings.prefill_tokens_per_ms;
    let backlog_ms = f64::from(target.load(now_ms)) * settings.step_ms_per_call
        + target.total_unread_tokens(settings.prefill_tokens_per_ms, now_ms) as f64
            / settings.prefill_tokens_per_ms;
    Choice {
        target,
        first_event_ms: settings.min_first_event_ms + backlog_ms + prefill_ms,
        backlog_ms,
    }
}

/// Returns the expected delay, with penalties, until the target's first event or answer.
fn expected_delay_ms(
    request: &ChoiceRequest<'_>,
    target: &TargetState,
    is_affinity_target: bool,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let failure_ms = target.failures.failure_rate() * settings.failure_penalty_ms;
    let distance_ms = if &target.entry.data_centre == request.data_centre {
        0.0
    } else if request.is_in_other_region(target) {
        settings.cross_region_penalty_ms
    } else {
        settings.cross_data_centre_penalty_ms
    };
    let total = target.total_load(settings.prefill_tokens_per_ms, now_ms);
    let load = f64::from(total.in_flight);
    let max_calls = target.entry.slots.max(1);
    let slots = f64::from(max_calls);
    let room = Room::new(request.engine, max_calls, total.in_flight, total.kv_tokens);
    let prompt_tokens: u64 = request.parts.iter().map(|part| part.tokens).sum();
    let cached_tokens = target.prompt_cache.cached_tokens(request.parts, now_ms);
    let uncached_tokens = prompt_tokens.saturating_sub(cached_tokens);
    let room_ms = if room.fits(uncached_tokens.saturating_add(request.output_tokens)) {
        0.0
    } else {
        settings.no_room_penalty_ms
    };
    let peer_calls = total.in_flight.saturating_sub(target.own.in_flight);
    let unknown_calls = unknown_calls(request, target, peer_calls);
    let excess_calls = (load + 1.0 - slots).max(0.0);
    let processing_ms = if request.engine.is_some() {
        let prefill_backlog_ms = total.unread_tokens as f64 / settings.prefill_tokens_per_ms;
        // Every target has to process the last part.
        let unshared = request.parts.last().map_or(0, |part| part.tokens);
        let miss_ms = cache_miss_ms(
            uncached_tokens.saturating_sub(unshared),
            is_affinity_target && cached_tokens == 0,
            settings,
        );
        (load + unknown_calls) * settings.delay_ms_per_call
            + prefill_backlog_ms
            + miss_ms
            + excess_calls * settings.wait_ms_per_excess_call
    } else {
        (load + unknown_calls) * settings.delay_ms_per_slot / slots
            + excess_calls * settings.delay_ms_per_slot
    };
    failure_ms + distance_ms + room_ms + processing_ms
}

/// Returns a random deviation of the calls at a target from what other VMs reported, as large as the calls that
/// begin and end between two reports make likely.
///
/// All VMs choose from the same reports. Without the draw, all calls until the next reports go to the targets
/// that seemed best in the last ones. Without calls of other VMs the deviation is 0.
fn unknown_calls(request: &ChoiceRequest<'_>, target: &TargetState, peer_calls: u32) -> f64 {
    if peer_calls == 0 {
        return 0.0;
    }
    let draw = target_hash(request.tie_break_seed, &target.entry.name) as f64 / u64::MAX as f64;
    (draw - 0.5) * UNKNOWN_CALLS_WIDTH * f64::from(peer_calls).sqrt()
}

/// Range of the calls at a target that have begun or ended since the last reports, as a multiple of the square
/// root of those reported.
const UNKNOWN_CALLS_WIDTH: f64 = 4.0;

/// Returns the cost of the shared prompt parts that the target does not have cached.
///
/// The last part belongs to the call or its session, so every target has to process it.
fn cache_miss_ms(
    uncached_shared_tokens: u64,
    is_probably_cached: bool,
    settings: &ChoiceSettings,
) -> f64 {
    let miss_ms =
        uncached_shared_tokens as f64 / settings.prefill_tokens_per_ms * settings.cache_miss_weight;
    if is_probably_cached {
        miss_ms * settings.affinity_miss_fraction
    } else {
        miss_ms
    }
}

/// Returns the affinity targets, which all VMs of a region prefer for the prompt's shared parts: the one of this
/// VM's region, and one of another region.
///
/// They are found by rendezvous hashing. Each region has its own, so that a prompt does not cross regions for a
/// cache that a target of its region soon has too, and finds a cache there when its region is full.
fn find_affinity_targets<'a>(
    request: &ChoiceRequest<'_>,
    candidates: &[&'a TargetState],
) -> [Option<&'a TargetName>; 2] {
    let Some(key) = shared_prefix_key(request.parts) else {
        return [None, None];
    };
    [false, true].map(|is_other_region| {
        candidates
            .iter()
            .filter(|target| request.is_in_other_region(target) == is_other_region)
            .map(|target| (target_hash(key, &target.entry.name), &target.entry.name))
            .max()
            .map(|(_hash, name)| name)
    })
}

/// Returns the id of the last part that other calls may share: the last but one, or the only one.
fn shared_prefix_key(parts: &[PromptPart]) -> Option<u64> {
    let shared = match parts {
        [] => return None,
        [only] => only,
        [.., last_shared, _unshared] => last_shared,
    };
    Some(shared.id.0)
}

/// Seed of the hash, which must be the same in every process.
const HASH_SEED: u64 = 0x6761_7465_7761_7931;

fn target_hash(seed: u64, name: &TargetName) -> u64 {
    let mut hasher = foldhash::quality::FixedState::with_seed(HASH_SEED).build_hasher();
    hasher.write_u64(seed);
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}
