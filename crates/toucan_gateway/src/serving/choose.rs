//! Chooses the target of a call, or the refusal if there is none.

use std::rc::Rc;

use crate::{
    Gateway, Platform, Refusal,
    config::TargetEntry,
    overload::{are_targets_behind, overload_retry_after_ms},
    placement::{
        Choice, ChoiceRequest, ChoiceSettings, Exclusion, Pause, TargetScope, TargetTable,
        choose_target,
    },
    retries::{CallProgress, connection_share},
    state::GatewayState,
};

use super::{call::Call, read_call::hash_id, send::Refused};

/// Maximum number of connections to a target, from all VMs, if the configuration sets none.
const DEFAULT_MAX_CONNECTIONS: u32 = 256;

/// Chooses the target that a call is sent to next; [`None`] if no target may get it.
pub(crate) fn choose_for_call<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    call: &Call,
    now_ms: u64,
) -> Option<ChosenTarget> {
    let state = gateway.state.borrow();
    let max_connections = max_connections(call, state.members.process_count(now_ms));
    let request = ChoiceRequest {
        engine: call.service_settings().and_then(|service| service.engine),
        parts: &call.head.prompt_parts,
        output_tokens: call.head.expected_output(),
        data_centre: &gateway.settings.data_centre,
        software_version: call.origin.as_ref().map(|origin| &origin.software_version),
        scope: target_scope(gateway, &state, call),
        tried: &call.tried,
        denied: &call.denied,
        max_in_flight: max_connections,
        tie_break_seed: hash_id(&call.id),
    };
    let settings = ChoiceSettings::default();
    let chosen = choose_target(&request, &call.service, &state.targets, &settings, now_ms)?;
    let backlog_ms = backlog_before_ms(&chosen, call, &settings, now_ms);
    Some(ChosenTarget {
        entry: Rc::clone(&chosen.target.entry),
        max_connections,
        expected_ms: chosen.first_event_ms as u64,
        is_behind: request.engine.is_some()
            && are_targets_behind(backlog_ms, call.route.latency_objective_ms),
        own_work_ms: chosen.first_event_ms - chosen.backlog_ms,
        overload_ms: request.engine.and_then(|_engine| {
            overload_retry_after_ms(
                backlog_ms,
                call.route.latency_objective_ms,
                call.left_ms(now_ms),
            )
        }),
    })
}

/// Returns the data centres whose targets may get a call.
fn target_scope<'a, P: Platform>(
    gateway: &'a Gateway<P>,
    state: &'a GatewayState,
    call: &'a Call,
) -> TargetScope<'a> {
    let organisation = call.organisation.as_deref();
    TargetScope {
        evacuations: Some(&state.evacuations),
        regions: Some(&gateway.settings.regions),
        in_other_regions: &gateway.in_other_regions,
        route_regions: Some(&call.route.allowed_regions),
        organisation_regions: organisation.map(|organisation| &organisation.allowed_regions),
    }
}

/// Returns whether a chosen target may still get a call that has waited since.
pub(crate) fn is_still_eligible<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    target: &TargetEntry,
) -> bool {
    let state = gateway.state.borrow();
    let scope = target_scope(gateway, &state, call);
    state
        .targets
        .is_still_eligible(target, &scope, gateway.now_ms())
}

/// Returns the part of the backlog that an engine processes before the call.
///
/// It processes the most urgent calls first.
fn backlog_before_ms(
    chosen: &Choice<'_>,
    call: &Call,
    settings: &ChoiceSettings,
    now_ms: u64,
) -> f64 {
    let prefill_tokens_per_ms = settings.prefill_tokens_per_ms;
    let later_tokens =
        chosen
            .target
            .less_urgent_tokens(call.priority(), prefill_tokens_per_ms, now_ms);
    chosen.backlog_ms - later_tokens as f64 / prefill_tokens_per_ms
}

/// Counts a call that is sent for the first time towards the work of its organisation; returns whether it
/// exceeds the organisation's share while targets are behind.
pub(crate) fn exceeds_fair_share<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    chosen: &ChosenTarget,
    now_ms: u64,
) -> bool {
    let (Some(organisation), Some(counts)) = (&call.organisation, call.head.tokens) else {
        return false;
    };
    let tokens = counts.max_total().0;
    let shares = &mut gateway.state.borrow_mut().fair_shares;
    shares.record_offered(&organisation.name, tokens, now_ms);
    let exceeds = chosen.is_behind && shares.exceeds_share(&organisation.name, now_ms);
    if !exceeds && chosen.overload_ms.is_none() {
        shares.record_admitted(&organisation.name, tokens, now_ms);
    }
    exceeds
}

/// Returns the time in milliseconds after which the caller of a refused call may return. `overload_ms` is the
/// time in which the target gets rid of what is before the call.
pub(crate) fn schedule_return<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
    chosen: &ChosenTarget,
    overload_ms: u64,
    now_ms: u64,
) -> u64 {
    let state = &mut *gateway.state.borrow_mut();
    let gateways = f64::from(state.members.process_count(now_ms));
    let in_service = state.targets.of_service(&call.service);
    let targets = in_service.filter(|target| target.is_in_service(now_ms));
    let work_ms = chosen.own_work_ms * gateways / targets.count().max(1) as f64;
    state
        .return_schedules
        .entry(call.service.clone())
        .or_default()
        .assign(overload_ms, work_ms, call.left_ms(now_ms), now_ms)
}

/// A target chosen for a call.
pub(crate) struct ChosenTarget {
    /// Registration of the target.
    pub(crate) entry: Rc<TargetEntry>,
    /// Maximum number of open connections from this VM to the target.
    pub(crate) max_connections: u32,
    /// Expected time to the first event.
    pub(crate) expected_ms: u64,
    /// Part of `expected_ms` that the call itself takes, without the backlog before it.
    pub(crate) own_work_ms: f64,
    /// Whether the target is far enough behind that organisations get no more than their shares.
    pub(crate) is_behind: bool,
    /// Time in which the target processes its backlog, if that is too long.
    pub(crate) overload_ms: Option<u64>,
}

/// Returns the maximum number of connections from one of `processes` gateways to one target of the
/// call's service.
fn max_connections(call: &Call, processes: u32) -> u32 {
    let limit = call
        .service_settings()
        .and_then(|service| service.max_connections)
        .unwrap_or(DEFAULT_MAX_CONNECTIONS);
    connection_share(limit, processes)
}

/// Returns the refusal of a call that no target may get.
pub(crate) fn refusal_without_target<P: Platform>(gateway: &Gateway<P>, call: &Call) -> Refusal {
    if call.progress.may_have_run {
        return Refusal::TargetFailed;
    }
    let now_ms = gateway.now_ms();
    let state = gateway.state.borrow();
    let software_version = call.origin.as_ref().map(|origin| &origin.software_version);
    let scope = target_scope(gateway, &state, call);
    let targets = &state.targets;
    let exclusion = targets.exclusion(&call.service, software_version, &scope, now_ms);
    if let Some(exclusion) = exclusion {
        return refusal_of_exclusion(exclusion);
    }
    let denied = &call.denied;
    let pause = targets.shortest_pause(&call.service, software_version, &scope, denied, now_ms);
    if let Some(pause) = pause {
        return refusal_of_pause(pause);
    }
    match call.progress {
        CallProgress { sends: 0, .. } if is_version_gone(targets, call, now_ms) => {
            Refusal::NoTargetOfVersion
        }
        CallProgress { sends: 0, .. } => Refusal::NoTarget,
        CallProgress { .. } => Refusal::TargetFull,
    }
}

/// Refuses a call at once if each target that could take it is excluded, throttles this VM or has reached
/// its limit.
pub(crate) fn refuse_without_target<P: Platform>(
    gateway: &Gateway<P>,
    call: &Call,
) -> Result<(), Refused> {
    let now_ms = gateway.now_ms();
    let state = gateway.state.borrow();
    let software_version = call.origin.as_ref().map(|origin| &origin.software_version);
    let scope = target_scope(gateway, &state, call);
    let targets = &state.targets;
    let exclusion = targets.exclusion(&call.service, software_version, &scope, now_ms);
    if let Some(exclusion) = exclusion {
        return Err((
            refusal_of_exclusion(exclusion),
            "no target may get the call",
        ));
    }
    match targets.shortest_pause(&call.service, software_version, &scope, &[], now_ms) {
        Some(pause) => Err((refusal_of_pause(pause), "no target takes calls now")),
        None => Ok(()),
    }
}

const fn refusal_of_exclusion(exclusion: Exclusion) -> Refusal {
    match exclusion {
        Exclusion::OutsideRegions => Refusal::NoTargetInRegions,
        Exclusion::Evacuated => Refusal::DataCentresEvacuated,
    }
}

const fn refusal_of_pause(pause: Pause) -> Refusal {
    let Pause {
        return_ms,
        is_limit,
    } = pause;
    if is_limit {
        Refusal::TargetsLimited { return_ms }
    } else {
        Refusal::TargetsThrottling { return_ms }
    }
}

/// Returns whether the call resumes a stream and no target runs the version that began it.
fn is_version_gone(targets: &TargetTable, call: &Call, now_ms: u64) -> bool {
    let Some(origin) = &call.origin else {
        return false;
    };
    let mut targets = targets.of_service(&origin.service);
    !targets.any(|target| {
        target.is_in_service(now_ms) && target.has_version(Some(&origin.software_version))
    })
}
