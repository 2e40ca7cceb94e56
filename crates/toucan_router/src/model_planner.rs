//! Placement of models on the targets of a group.

use std::collections::BTreeMap;

use toucan_types::{FastHashMap, Permille, TargetName};

use crate::ModelKey;

/// Demand for one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// Model with its version and optional adapter.
    pub model: ModelKey,
    /// Minimum number of targets that have it loaded.
    pub min_targets: usize,
    /// Batch slots that its requests need, including queued requests.
    pub batch_slots: u64,
}

/// Target as input of a [`ModelPlanner`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerTarget {
    /// Name.
    pub name: TargetName,
    /// Loaded models.
    pub models: Vec<ModelKey>,
    /// Maximum number of loaded models.
    pub max_models: usize,
    /// Maximum batch size.
    pub batch_limit: u32,
}

/// Settings of a [`ModelPlanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerSettings {
    /// Fraction of the batch slots that demand should occupy.
    pub slot_utilisation: Permille,
    /// Time for which demand must stay lower before a model is placed on fewer targets.
    pub scale_down_delay_ms: u64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            slot_utilisation: Permille(700),
            scale_down_delay_ms: 300_000,
        }
    }
}

/// Plans the models of one group's targets by demand, with as few changes as possible.
///
/// The number of targets of a model grows with demand at once and shrinks after a delay. Each plan
/// starts from the loaded models, so that consecutive plans do not contradict each other.
#[derive(Clone, Debug)]
pub struct ModelPlanner {
    settings: PlannerSettings,
    desired: FastHashMap<ModelKey, DesiredTargets>,
}

#[derive(Clone, Copy, Debug)]
struct DesiredTargets {
    targets: usize,
    needed_at_ms: u64,
}

impl ModelPlanner {
    /// Creates a planner without any known demand.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            desired: FastHashMap::default(),
        }
    }

    /// Returns the models that each target should have loaded.
    ///
    /// A loaded model without demand is replaced only if another model needs its place: keeping it
    /// is free, loading it again costs a download.
    pub fn plan(
        &mut self,
        demands: &[ModelDemand],
        targets: &[PlannerTarget],
        now_ms: u64,
    ) -> BTreeMap<TargetName, Vec<ModelKey>> {
        let mut plan: BTreeMap<TargetName, Vec<ModelKey>> = targets
            .iter()
            .map(|target| (target.name.clone(), target.models.clone()))
            .collect();
        let mut desired: Vec<(&ModelKey, usize)> = demands
            .iter()
            .map(|demand| (&demand.model, self.desired_targets(demand, targets, now_ms)))
            .collect();
        // Models with the most desired targets come last, so that rare models are placed first.
        desired.sort_by(|left, right| (left.1, left.0).cmp(&(right.1, right.0)));
        for (model, count) in &desired {
            place(model, *count, &desired, targets, &mut plan);
        }
        plan
    }

    fn desired_targets(
        &mut self,
        demand: &ModelDemand,
        targets: &[PlannerTarget],
        now_ms: u64,
    ) -> usize {
        let total_slots: u64 = targets
            .iter()
            .map(|target| u64::from(target.batch_limit))
            .sum();
        let slots_per_target = (total_slots / (targets.len().max(1) as u64)).max(1);
        let usable_slots = self.settings.slot_utilisation.of(slots_per_target).max(1);
        let by_demand =
            usize::try_from(demand.batch_slots.div_ceil(usable_slots)).unwrap_or(usize::MAX);
        let needed = by_demand.max(demand.min_targets).min(targets.len());
        let desired = self
            .desired
            .entry(demand.model.clone())
            .or_insert(DesiredTargets {
                targets: needed,
                needed_at_ms: now_ms,
            });
        let idle_ms = now_ms.saturating_sub(desired.needed_at_ms);
        if needed >= desired.targets || idle_ms >= self.settings.scale_down_delay_ms {
            desired.targets = needed;
            desired.needed_at_ms = now_ms;
        }
        desired.targets.min(targets.len())
    }
}

/// Adds a model to targets until `count` targets have it or no target has room.
fn place(
    model: &ModelKey,
    count: usize,
    desired: &[(&ModelKey, usize)],
    targets: &[PlannerTarget],
    plan: &mut BTreeMap<TargetName, Vec<ModelKey>>,
) {
    while holders(model, plan) < count {
        let free = targets.iter().find(|target| {
            let models = plan.get(&target.name);
            models.is_some_and(|models| models.len() < target.max_models && !models.contains(model))
        });
        if let Some(target) = free {
            if let Some(models) = plan.get_mut(&target.name) {
                models.push(model.clone());
            }
            continue;
        }
        let Some((target, surplus)) = find_surplus(model, desired, targets, plan) else {
            return;
        };
        if let Some(models) = plan.get_mut(&target) {
            models.retain(|loaded| *loaded != surplus);
            models.push(model.clone());
        }
    }
}

/// Returns a target and one of its models that is on more targets than desired.
fn find_surplus(
    model: &ModelKey,
    desired: &[(&ModelKey, usize)],
    targets: &[PlannerTarget],
    plan: &BTreeMap<TargetName, Vec<ModelKey>>,
) -> Option<(TargetName, ModelKey)> {
    let surplus_of = |loaded: &ModelKey| {
        let count = desired.iter().find(|(name, _)| *name == loaded);
        holders(loaded, plan).saturating_sub(count.map_or(0, |(_, count)| *count))
    };
    targets
        .iter()
        .filter(|target| target.max_models > 0)
        .filter_map(|target| Some((&target.name, plan.get(&target.name)?)))
        .filter(|(_, models)| !models.contains(model))
        .flat_map(|(name, models)| models.iter().map(move |loaded| (name, loaded)))
        .map(|(name, loaded)| (surplus_of(loaded), name, loaded))
        .filter(|(surplus, _, _)| *surplus > 0)
        .max_by_key(|(surplus, _, _)| *surplus)
        .map(|(_, name, loaded)| (name.clone(), loaded.clone()))
}

fn holders(model: &ModelKey, plan: &BTreeMap<TargetName, Vec<ModelKey>>) -> usize {
    plan.values()
        .filter(|models| models.contains(model))
        .count()
}
