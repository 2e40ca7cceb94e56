//! Model demand of one group of engines, from the document and the engines' reports.

use toucan_config::{Document, ServiceKind};
use toucan_router::{ModelDemand, ModelKey, OrderGroup, PlannerTarget};

/// Maximum number of models to load on one engine.
///
/// Neither the engines nor the document give a limit. Each version of a model and each adapter counts
/// as one model.
pub(super) const MAX_MODELS_PER_TARGET: usize = 4;

/// Returns the models that a group of engines should serve.
///
/// The serving version of each model is requested on as many engines as have room for it, and on more
/// than its even share where its requests need it. Other versions and adapters in the document are
/// kept ready on one engine each. `requests` is the number of requests at all engines of the group. It
/// is split evenly among the serving versions, because the reports do not distinguish them.
pub(super) fn demand(
    document: &Document,
    group: &OrderGroup,
    targets: usize,
    requests: u64,
) -> Vec<ModelDemand> {
    let Some(service) = document.service(group.service.as_str()) else {
        return Vec::new();
    };
    let ServiceKind::Models { models } = &service.kind else {
        return Vec::new();
    };
    let mut serving = Vec::new();
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
        serving.push(key(model.serving_version.clone(), None));
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
    let count = serving.len().max(1);
    let room = targets
        .saturating_mul(MAX_MODELS_PER_TARGET)
        .saturating_sub(ready.len());
    let min_targets = (room / count).clamp(1, targets.max(1));
    let batch_slots = requests.div_ceil(u64::try_from(count).unwrap_or(u64::MAX));
    let serving = serving.into_iter().map(|model| ModelDemand {
        model,
        min_targets,
        batch_slots,
    });
    let ready = ready.into_iter().map(|model| ModelDemand {
        model,
        min_targets: 1,
        batch_slots: 0,
    });
    serving.chain(ready).collect()
}

/// Returns the next set of models of a target on the way from its reported to its planned models.
///
/// While models are still to be loaded and there is room, none is unloaded, so that a version is
/// unloaded only after its successor was loaded.
pub(super) fn next_models(reported: &[ModelKey], planned: &[ModelKey]) -> Vec<ModelKey> {
    let missing = planned
        .iter()
        .filter(|model| !reported.contains(model))
        .count();
    if missing == 0 || reported.len().saturating_add(missing) > MAX_MODELS_PER_TARGET {
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

/// Returns a target for the planner, with only those of its models that the group serves.
pub(super) fn planner_target(
    name: &toucan_types::TargetName,
    reported: &[ModelKey],
    batch_limit: u32,
    demands: &[ModelDemand],
) -> PlannerTarget {
    let is_served = |model: &&ModelKey| demands.iter().any(|demand| demand.model == **model);
    PlannerTarget {
        name: name.clone(),
        models: reported.iter().filter(is_served).cloned().collect(),
        max_models: MAX_MODELS_PER_TARGET,
        batch_limit,
    }
}
