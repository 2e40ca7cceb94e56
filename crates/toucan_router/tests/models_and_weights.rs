//! Tests of the model planner, the weight download limiter and KV cache transfers.

use std::collections::BTreeMap;

use test_case::test_case;
use toucan_router::{
    KvTransferCandidate, KvTransferDecision, KvTransferSettings, ModelDemand, ModelKey,
    ModelPlanner, PlannerSettings, PlannerTarget, WeightDownloadLimiter, WeightDownloadSettings,
};
use toucan_types::{Permille, TargetName};

fn targets(count: usize, loaded: &[&str]) -> Vec<PlannerTarget> {
    (0..count)
        .map(|number| PlannerTarget {
            name: format!("engine-{number:02}").into(),
            models: loaded.iter().map(|name| ModelKey::parse(name)).collect(),
            max_models: 2,
            batch_limit: 10,
        })
        .collect()
}

fn demand(model: &str, min_targets: usize, batch_slots: u64) -> ModelDemand {
    ModelDemand {
        model: ModelKey::parse(model),
        min_targets,
        batch_slots,
    }
}

fn holders(plan: &BTreeMap<TargetName, Vec<ModelKey>>, model: &str) -> usize {
    let model = ModelKey::parse(model);
    plan.values()
        .filter(|models| models.contains(&model))
        .count()
}

#[test]
fn targets_of_a_model_grow_with_demand_and_do_not_shrink_at_once() {
    let mut planner = ModelPlanner::new(PlannerSettings::default());
    let fleet = targets(8, &["a@1", "b@1"]);
    let plan = planner.plan(
        &[
            demand("c@1", 1, 20),
            demand("a@1", 1, 10),
            demand("b@1", 1, 10),
        ],
        &fleet,
        0,
    );
    assert_eq!(holders(&plan, "c@1"), 3);
    assert!(plan.values().all(|models| models.len() <= 2));
    assert!(holders(&plan, "a@1") >= 2 && holders(&plan, "b@1") >= 2);
    let low_demand = [demand("c@1", 1, 0), demand("d@1", 8, 0)];
    let next = planner.plan(&low_demand, &fleet, 1_000);
    assert!(holders(&next, "c@1") >= 3);
    assert_eq!(holders(&next, "d@1"), 8);
}

#[test]
fn a_fulfilled_plan_does_not_change() {
    let mut planner = ModelPlanner::new(PlannerSettings::default());
    let demands = [
        demand("a@1", 2, 30),
        demand("b@1", 1, 5),
        demand("c@1", 1, 0),
    ];
    let mut fleet = targets(6, &["old@1"]);
    let plan = planner.plan(&demands, &fleet, 0);
    for target in &mut fleet {
        target.models.clone_from(&plan[&target.name]);
    }
    assert_eq!(planner.plan(&demands, &fleet, 10_000), plan);
}

/// Nodes share the store's 60 downloads per minute without communicating. Some nodes are idle, one
/// becomes active late.
#[test]
fn limiters_share_the_rate_of_the_store_without_a_coordinator() {
    let settings = WeightDownloadSettings {
        downloads_per_minute: 60,
    };
    let mut limiters: Vec<_> = (0..6)
        .map(|_| WeightDownloadLimiter::new(settings, 6, 0))
        .collect();
    let mut downloads = [0_u32; 6];
    let mut refusals = 0_u32;
    let mut store_credit = 1.0_f64;
    for now_ms in (0..1_800_000).step_by(50) {
        store_credit = (store_credit + 0.05).min(5.0);
        for (node, limiter) in limiters.iter_mut().enumerate() {
            let active = node < 2 || node == 2 && now_ms >= 600_000;
            if !active || !limiter.try_acquire(now_ms) {
                continue;
            }
            if store_credit >= 1.0 {
                store_credit -= 1.0;
                limiter.record_allowed();
                downloads[node] += u32::from(now_ms >= 900_000);
            } else {
                limiter.record_refused(1_000, now_ms);
                refusals += u32::from(now_ms >= 900_000);
            }
        }
    }
    let total: u32 = downloads.iter().sum();
    assert!(
        total >= 900 * 8 / 10,
        "most of the store's rate is used: {downloads:?}"
    );
    assert!(refusals * 4 <= total, "{refusals} refusals for {total}");
    let min = downloads[..3].iter().min().copied().unwrap_or(0);
    let max = downloads[..3].iter().max().copied().unwrap_or(0);
    assert!(
        min * 2 >= max,
        "the node that joins late gets its share: {downloads:?}"
    );
}

#[test_case(8_000, 1_000, true, 8_000, true; "long prefix and busy prefill")]
#[test_case(8_000, 1_000, true, 0, false; "long prefix, idle prefill and slow network")]
#[test_case(100, 1_000, true, 0, false; "short prefix")]
#[test_case(8_000, 1_000, false, 8_000, false; "long prefix to another data centre")]
#[test_case(8_000, 100, true, 8_000, false; "prefix probably evicted at the source")]
fn a_transfer_must_be_faster_than_recomputing(
    tokens: u64,
    confidence: u32,
    same_data_centre: bool,
    pending_prefill_tokens: u64,
    expected: bool,
) {
    let candidate = KvTransferCandidate {
        tokens,
        confidence: Permille(confidence),
        bytes: None,
        active_transfers: 0,
        same_data_centre,
        pending_prefill_tokens,
    };
    let decision = KvTransferDecision::decide(&KvTransferSettings::default(), &candidate);
    assert_eq!(decision.should_transfer, expected, "{decision:?}");
    let shared = KvTransferCandidate {
        active_transfers: 9,
        ..candidate
    };
    assert!(!KvTransferDecision::decide(&KvTransferSettings::default(), &shared).should_transfer);
}
