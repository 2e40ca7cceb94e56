//! Demand of one group of engines, from the document and the engines' reports.

use toucan_config::{Document, ServiceKind};
use toucan_router::{ModelDemand, ModelKey, OrderGroup, PlannerTarget};

/// Most models that an engine is to have loaded.
///
/// Neither the engines nor the document tell a limit; versions of one model count each, adapters too.
pub(super) const MODELS_PER_TARGET: usize = 4;

/// What a group of engines is to serve.
///
/// The version in force of each model is wanted on as many engines as have room for it, and more than
/// its even share where its requests need it; other versions and adapters of the document are kept
/// ready on one engine each. `places` is the number of requests at all engines of the group, which is
/// split evenly among the versions in force, as the reports do not tell them apart.
pub(super) fn demand(
    document: &Document,
    group: &OrderGroup,
    targets: usize,
    places: u64,
) -> Vec<ModelDemand> {
    let Some(service) = document.service(group.service.as_str()) else {
        return Vec::new();
    };
    let ServiceKind::Models { models } = &service.kind else {
        return Vec::new();
    };
    let mut in_force = Vec::new();
    let mut ready = Vec::new();
    for name in models {
        let Some(model) = document.model(name.as_str()) else {
            continue;
        };
        let key = |version, adapter| ModelKey {
            model: name.clone(),
            version: Some(version),
            adapter,
        };
        in_force.push(key(model.serving_version.clone(), None));
        for version in &model.versions {
            if version.name != model.serving_version {
                ready.push(key(version.name.clone(), None));
            }
        }
        for adapter in &model.adapters {
            let version = model.serving_version.clone();
            ready.push(key(version, Some(adapter.name.clone())));
        }
    }
    let count = in_force.len().max(1);
    let room = targets
        .saturating_mul(MODELS_PER_TARGET)
        .saturating_sub(ready.len());
    let min_targets = (room / count).clamp(1, targets.max(1));
    let places = places.div_ceil(u64::try_from(count).unwrap_or(u64::MAX));
    let wanted = in_force.into_iter().map(|model| ModelDemand {
        model,
        min_targets,
        batch_slots: places,
    });
    let kept = ready.into_iter().map(|model| ModelDemand {
        model,
        min_targets: 1,
        batch_slots: 0,
    });
    wanted.chain(kept).collect()
}

/// Models that a target is to have now on the way from what it has to what the plan says.
///
/// While something is still to be loaded and there is room, nothing is taken away, so that a version
/// goes only after its successor has come.
pub(super) fn next_models(reported: &[ModelKey], planned: &[ModelKey]) -> Vec<ModelKey> {
    let missing = planned
        .iter()
        .filter(|model| !reported.contains(model))
        .count();
    if missing == 0 || reported.len().saturating_add(missing) > MODELS_PER_TARGET {
        return planned.to_vec();
    }
    let mut models = reported.to_vec();
    models.extend(
        planned
            .iter()
            .filter(|model| !reported.contains(model))
            .cloned(),
    );
    models
}

/// A target as the planner takes it: with those of its models that the group serves.
pub(super) fn planned_target(
    name: &toucan_types::TargetName,
    reported: &[ModelKey],
    batch_limit: u32,
    demands: &[ModelDemand],
) -> PlannerTarget {
    let is_served = |model: &&ModelKey| demands.iter().any(|demand| demand.model == **model);
    PlannerTarget {
        name: name.clone(),
        models: reported.iter().filter(is_served).cloned().collect(),
        max_models: MODELS_PER_TARGET,
        batch_limit,
    }
}
