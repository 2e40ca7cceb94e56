//! Plans of models, the share of the weight store, moves of KV cache.

use std::collections::BTreeMap;

use test_case::test_case;
use toucan_router::{
    KvMoveDecision, KvMoveQuestion, KvMoveSettings, ModelDemand, ModelKey, ModelPlanner,
    PlannerSettings, PlannerTarget, WeightDownloadLimiter, WeightDownloadSettings,
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
fn targets_follow_demand_up_at_once_and_down_after_a_while() {
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
    let quiet = [demand("c@1", 1, 0), demand("d@1", 8, 0)];
    let soon = planner.plan(&quiet, &fleet, 1_000);
    assert!(holders(&soon, "c@1") >= 3);
    assert_eq!(holders(&soon, "d@1"), 8);
}

#[test]
fn a_plan_that_is_met_stays_as_it_is() {
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

/// Nodes that do not talk share the store's 60 downloads a minute; some are idle, one joins late.
#[test]
fn the_stores_rate_is_shared_without_a_coordinator() {
    let settings = WeightDownloadSettings {
        downloads_per_minute: 60,
    };
    let mut shares: Vec<_> = (0..6)
        .map(|_| WeightDownloadLimiter::new(settings, 6, 0))
        .collect();
    let mut downloads = [0_u32; 6];
    let mut refusals = 0_u32;
    let mut store_saved = 1.0_f64;
    for now_ms in (0..1_800_000).step_by(50) {
        store_saved = (store_saved + 0.05).min(5.0);
        for (node, share) in shares.iter_mut().enumerate() {
            let active = node < 2 || node == 2 && now_ms >= 600_000;
            if !active || !share.try_acquire(now_ms) {
                continue;
            }
            if store_saved >= 1.0 {
                store_saved -= 1.0;
                share.record_allowed();
                downloads[node] += u32::from(now_ms >= 900_000);
            } else {
                share.record_refused(1_000, now_ms);
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
    let least = downloads[..3].iter().min().copied().unwrap_or(0);
    let most = downloads[..3].iter().max().copied().unwrap_or(0);
    assert!(
        least * 2 >= most,
        "the late one gets its share: {downloads:?}"
    );
}

#[test_case(8_000, 1_000, true, 8_000, true; "a long prefix before a busy prefill")]
#[test_case(8_000, 1_000, true, 0, false; "a long prefix, but prefill is idle and the network slow")]
#[test_case(100, 1_000, true, 0, false; "a short prefix")]
#[test_case(8_000, 1_000, false, 8_000, false; "a long prefix over the long way")]
#[test_case(8_000, 100, true, 8_000, false; "a prefix that the source has likely dropped")]
fn a_move_has_to_beat_computing_again(
    tokens: u64,
    trust: u32,
    near: bool,
    pending_prefill_tokens: u64,
    expected: bool,
) {
    let question = KvMoveQuestion {
        tokens,
        trust: Permille(trust),
        bytes: None,
        moves_under_way: 0,
        same_data_centre: near,
        pending_prefill_tokens,
    };
    let decision = KvMoveDecision::decide(&KvMoveSettings::default(), &question);
    assert_eq!(decision.moves, expected, "{decision:?}");
    let shared = KvMoveQuestion {
        moves_under_way: 9,
        ..question
    };
    assert!(!KvMoveDecision::decide(&KvMoveSettings::default(), &shared).moves);
}
