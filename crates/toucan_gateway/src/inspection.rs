//! Metrics and state dump of a gateway.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use serde_json::json;

use crate::{
    Gateway, Platform, limits::CallRate, placement::TargetState, poison::join_fingerprints,
};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the global metrics recorder. Call it once, before a gateway starts.
pub fn install_metrics_recorder() {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() || METRICS.set(handle).is_err() {
        log::warn!(target: "process", "a metrics recorder is already installed");
    }
}

/// Renders the page at a path of the metrics address; [`None`] if the path is unknown.
pub(crate) fn render_page<P: Platform>(gateway: &Gateway<P>, path: &str) -> Option<String> {
    match path {
        "/metrics" => {
            gateway.buffers.record_metrics();
            let metrics = METRICS.get();
            Some(metrics.map_or_else(String::new, PrometheusHandle::render))
        }
        "/state" => Some(state_dump(gateway)),
        _ => None,
    }
}

/// Renders the targets and budgets as this process knows them, as JSON.
fn state_dump<P: Platform>(gateway: &Gateway<P>) -> String {
    let now_ms = gateway.now_ms();
    let mut state = gateway.state.borrow_mut();
    let may_draw = state.may_draw(now_ms);
    let engine_of = |target: &TargetState| {
        let services = &state.config.as_ref()?.services;
        services.get(&target.entry.service)?.engine
    };
    let targets: Vec<_> = state
        .targets
        .iter()
        .map(|target| {
            json!({
                "name": target.entry.name.as_str(),
                "service": target.entry.service.as_str(),
                "data_centre": target.entry.data_centre.as_str(),
                "software_version": target.entry.software_version.as_str(),
                "draining": target.entry.draining,
                "is_leaving": target.is_leaving,
                "is_replaced": target.is_replaced,
                "cold_ms": target.cold_until_ms.saturating_sub(now_ms),
                "limit_per_s": target.limit.rate().map(CallRate::per_s),
                "limited_ms": target.limited_ms(now_ms),
                "permit_share": state.call_limit(&target.entry.name, now_ms).map(|_limit| {
                    let members = &state.members;
                    members.permit_share(&target.entry.name, &gateway.location, now_ms)
                }),
                "limit_stated_ms_ago": target.limit.rate().map(|_rate| target.limit.age_ms(now_ms)),
                "brittle_rejections_per_s": target.brittle.rejections_per_s(),
                "throttled_ms": target.throttled_until_ms.saturating_sub(now_ms),
                "in_flight": target.own.in_flight,
                "load": target.load(now_ms),
                "free_slots": target.room(engine_of(target), now_ms).free_slots,
                "free_kv_tokens": target.room(engine_of(target), now_ms).free_kv_tokens,
                "failed_part": target.failures.failure_rate(),
                "is_paused": target.failures.is_in_backoff(now_ms),
            })
        })
        .collect();
    let budgets: Vec<_> = state
        .wallets
        .iter()
        .map(|(organisation, wallet)| {
            let snapshot = state.budget_snapshots.get(organisation);
            json!({
                "organisation": organisation.as_str(),
                "available_tokens": wallet.available().0,
                "spent_tokens": wallet.spent().0,
                "tokens_per_s": wallet.rate_per_s(now_ms),
                "is_frozen": wallet.is_frozen(),
                "prepaid_tokens": snapshot.map(|snapshot| snapshot.prepaid.0),
                "granted_to_all_tokens": snapshot.map(|snapshot| snapshot.granted.0),
                "read_ms_ago": snapshot.map(|snapshot| now_ms.saturating_sub(snapshot.read_at_ms)),
            })
        })
        .collect();
    let condemned: Vec<_> = state
        .poison
        .condemned()
        .filter_map(|fingerprint| state.poison.verdict(fingerprint, 0))
        .map(|verdict| {
            json!({
                "fingerprint": verdict.fingerprint.to_string(),
                "only_with": join_fingerprints(&verdict.companions),
                "ended_targets": verdict.ended_targets,
                "trials": verdict.trials,
                "refused_calls": state.poison.refused_calls(verdict.fingerprint),
                "return_ms": state.poison.return_ms(verdict.fingerprint, now_ms),
            })
        })
        .collect();
    let evacuated: Vec<_> = state
        .evacuations
        .sorted()
        .into_iter()
        .map(|(data_centre, since_ms)| {
            json!({
                "data_centre": data_centre.as_str(),
                "for_ms": now_ms.saturating_sub(since_ms),
            })
        })
        .collect();
    json!({
        "vm": gateway.settings.vm.as_str(),
        "configuration": state.config.as_ref().map(|config| config.version.0),
        "evacuated": evacuated,
        "is_ready": state.is_ready(),
        "calls_in_progress": state.calls_in_progress,
        "gateways": state.members.process_count(now_ms),
        "may_draw": may_draw,
        "held_bytes": gateway.buffers.budget.accounts().total_bytes(),
        "answers_read_ahead": gateway.buffers.readers().len(),
        "remembered_streams": state.stream_origins.len(),
        "utilisation_permille": state.utilisation_permille(now_ms),
        "moves_callers": state.moves_callers(),
        "calls_admitted_at_once": state.admission.max_calls(),
        "is_link_slow": gateway.pool.is_link_slow(),
        "is_cut_off": gateway.pool.is_cut_off(),
        "open_tunnels": gateway.open_tunnels.get(),
        "target_connections": gateway.pool.total_open(),
        "suspected": state.poison.len(),
        "condemned": condemned,
        "targets": targets,
        "budgets": budgets,
    })
    .to_string()
}
