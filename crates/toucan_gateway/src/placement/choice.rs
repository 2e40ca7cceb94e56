//! Which target gets a call.

use std::hash::{BuildHasher, Hasher};

use toucan_types::{DataCentreName, ServiceName, TargetName};

use crate::{config::EngineSettings, wire_format::PromptPart};

use super::{TargetState, TargetTable};

/// Settings of [`choose_target`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChoiceSettings {
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_read_per_ms: f64,
    /// Time to the first event at an idle engine that holds the whole prompt.
    pub least_first_event_ms: f64,
    /// Time by which each call at an engine lengthens one step, of which the first event needs one.
    pub step_per_call_ms: f64,
    /// Time by which each call at an engine delays the first event of another.
    pub delay_per_call_ms: f64,
    /// Time by which a call at a plain service delays another, once all slots are taken.
    pub delay_per_slot_ms: f64,
    /// Delay that a target which fails all its calls is taken to add.
    pub failure_delay_ms: f64,
    /// Delay that a target in another data centre is taken to add.
    pub other_data_centre_ms: f64,
    /// Weight of the time to read shared parts again. Reading them delays the other calls at the
    /// target and evicts what it holds, so it costs more than the call's own time.
    pub read_again_weight: f64,
    /// Part of that time which counts for the target that all VMs prefer for the prompt, if this VM
    /// has not sent it there yet; another one probably has.
    pub home_part: f64,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            tokens_read_per_ms: 50.0,
            least_first_event_ms: 30.0,
            step_per_call_ms: 1.0,
            delay_per_call_ms: 8.0,
            delay_per_slot_ms: 40.0,
            failure_delay_ms: 2_000.0,
            other_data_centre_ms: 2.0,
            read_again_weight: 6.0,
            home_part: 0.05,
        }
    }
}

/// A target that was chosen.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The target.
    pub target: &'a TargetState,
    /// Expected time from the sending of the call to the first event of its answer.
    pub first_event_ms: f64,
    /// Part of that time for calls that came before.
    pub backlog_ms: f64,
}

/// What a choice is made for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Engine of the service, if it has one.
    pub engine: Option<EngineSettings>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Data centre of this VM.
    pub data_centre: &'a DataCentreName,
    /// Targets that were tried before.
    pub tried: &'a [TargetName],
    /// Most calls of this VM at one target.
    pub max_in_flight: u32,
    /// Breaks ties evenly.
    pub tie_break_seed: u64,
}

/// The best target of a service for a call; [`None`] if none may get it.
///
/// Calls with the same shared parts go to the same target as long as the time that its cache saves
/// exceeds what its load costs. All VMs prefer the same target for a prompt, so that they need not
/// agree; a hot prompt spills over to the next ones as its first target fills up.
pub fn choose_target<'a>(
    request: &ChoiceRequest<'_>,
    service: &'a ServiceName,
    table: &'a TargetTable,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> Option<Choice<'a>> {
    let candidates: Vec<&TargetState> = table
        .of_service(service)
        .filter(|target| target.takes_calls(now_ms))
        .filter(|target| !request.tried.contains(&target.entry.name))
        .filter(|target| target.in_flight < request.max_in_flight)
        .collect();
    let is_any_sound = candidates
        .iter()
        .any(|target| !table.is_avoided(target, now_ms));
    let home = home_of(request, &candidates);
    candidates
        .into_iter()
        .filter(|target| !is_any_sound || !table.is_avoided(target, now_ms))
        .map(|target| {
            let is_home = home == Some(&target.entry.name);
            let delay_ms = expected_delay_ms(request, target, is_home, settings, now_ms);
            (
                delay_ms,
                tie_break(request.tie_break_seed, &target.entry.name),
                target,
            )
        })
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
        .map(|(_delay_ms, _tie, target)| expect(request, target, settings, now_ms))
}

/// What is expected of a call at an engine.
fn expect<'a>(
    request: &ChoiceRequest<'_>,
    target: &'a TargetState,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> Choice<'a> {
    let own_tokens = target.prompt_cache.uncached_tokens(request.parts, now_ms);
    let own_ms = own_tokens as f64 / settings.tokens_read_per_ms;
    let backlog_ms = f64::from(target.load(now_ms)) * settings.step_per_call_ms
        + target.unread(now_ms) as f64 / settings.tokens_read_per_ms;
    Choice {
        target,
        first_event_ms: settings.least_first_event_ms + backlog_ms + own_ms,
        backlog_ms,
    }
}

/// Time that the target is expected to add before the first event or the answer.
fn expected_delay_ms(
    request: &ChoiceRequest<'_>,
    target: &TargetState,
    is_home: bool,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let failures_ms = target.failures.failure_rate() * settings.failure_delay_ms;
    let distance_ms = if &target.entry.data_centre == request.data_centre {
        0.0
    } else {
        settings.other_data_centre_ms
    };
    let load = f64::from(target.load(now_ms));
    let slots = f64::from(target.entry.slots.max(1));
    let over = (load + 1.0 - slots).max(0.0);
    let work_ms = if request.engine.is_some() {
        let reading_ms = target.unread(now_ms) as f64 / settings.tokens_read_per_ms;
        load * settings.delay_per_call_ms
            + reading_ms
            + prompt_ms(request, target, is_home, settings, now_ms)
            + over * 10.0 * settings.delay_per_call_ms
    } else {
        load * settings.delay_per_slot_ms / slots + over * settings.delay_per_slot_ms
    };
    failures_ms + distance_ms + work_ms
}

/// What it costs that the target does not hold the shared parts of the prompt.
///
/// The last part belongs to the call or its session; all targets have to read it.
fn prompt_ms(
    request: &ChoiceRequest<'_>,
    target: &TargetState,
    is_home: bool,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let all: u64 = request.parts.iter().map(|part| part.tokens).sum();
    let own = request.parts.last().map_or(0, |part| part.tokens);
    let cached = target.prompt_cache.cached_tokens(request.parts, now_ms);
    let lacking_shared = all.saturating_sub(own).saturating_sub(cached) as f64;
    let again_ms = lacking_shared / settings.tokens_read_per_ms * settings.read_again_weight;
    if is_home && cached == 0 {
        again_ms * settings.home_part
    } else {
        again_ms
    }
}

/// The target that all VMs prefer for the prompt's shared parts.
fn home_of<'a>(
    request: &ChoiceRequest<'_>,
    candidates: &[&'a TargetState],
) -> Option<&'a TargetName> {
    let key = shared_key(request.parts)?;
    candidates
        .iter()
        .map(|target| (tie_break(key, &target.entry.name), &target.entry.name))
        .max()
        .map(|(_weight, name)| name)
}

/// Hash of the parts that other calls may share: all but the last, or the only one.
fn shared_key(parts: &[PromptPart]) -> Option<u64> {
    let shared = match parts {
        [] => return None,
        [only] => only,
        [.., last_shared, _own] => last_shared,
    };
    Some(shared.id)
}

/// Seed of the hash, the same in every process.
const HASH_SEED: u64 = 0x6761_7465_7761_7931;

fn tie_break(draw: u64, name: &TargetName) -> u64 {
    let mut hasher = foldhash::quality::FixedState::with_seed(HASH_SEED).build_hasher();
    hasher.write_u64(draw);
    hasher.write(name.as_str().as_bytes());
    hasher.finish()
}
