//! Which models each target of a group should have loaded.

use std::collections::BTreeMap;

use toucan_types::{FastHashMap, Permille, TargetName};

use crate::ModelKey;

/// Demand for one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelDemand {
    /// Model with its version, and adapter if any.
    pub model: ModelKey,
    /// Fewest targets that have it loaded.
    pub min_targets: usize,
    /// Places in batches that its requests take at once, queued ones included.
    pub batch_slots: u64,
}

/// One target with what it has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerTarget {
    /// Name.
    pub name: TargetName,
    /// Models loaded.
    pub models: Vec<ModelKey>,
    /// Most models it can have loaded.
    pub max_models: usize,
    /// Requests that it takes at once.
    pub batch_limit: u32,
}

/// Settings of a [`ModelPlanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerSettings {
    /// Share of the places that demand should fill.
    pub fill: Permille,
    /// Time for which demand must be lower before a model leaves a target.
    pub shrink_after_ms: u64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            fill: Permille(700),
            shrink_after_ms: 300_000,
        }
    }
}

/// Plans the models of one group's targets from demand, changing as little as possible.
///
/// The number of targets of a model follows its demand up at once and down only after a while, and a
/// plan starts from what is loaded, so that two plans made after one another do not contradict.
#[derive(Clone, Debug)]
pub struct ModelPlanner {
    settings: PlannerSettings,
    wanted: FastHashMap<ModelKey, Wanted>,
}

#[derive(Clone, Copy, Debug)]
struct Wanted {
    targets: usize,
    needed_at_ms: u64,
}

impl ModelPlanner {
    /// Knows no demand yet.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            wanted: FastHashMap::default(),
        }
    }

    /// Models that each target should have loaded.
    ///
    /// A model that no demand names is dropped where its place is needed and kept elsewhere: to have
    /// it costs nothing and to load it again costs a download.
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
        let mut wanted: Vec<(&ModelKey, usize)> = demands
            .iter()
            .map(|demand| (&demand.model, self.wanted_targets(demand, targets, now_ms)))
            .collect();
        // Models that are wanted on most targets last: they yield to the rare ones.
        wanted.sort_by(|left, right| (left.1, left.0).cmp(&(right.1, right.0)));
        for (model, count) in &wanted {
            place(model, *count, &wanted, targets, &mut plan);
        }
        plan
    }

    fn wanted_targets(
        &mut self,
        demand: &ModelDemand,
        targets: &[PlannerTarget],
        now_ms: u64,
    ) -> usize {
        let limits: u64 = targets
            .iter()
            .map(|target| u64::from(target.batch_limit))
            .sum();
        let per_target = (limits / (targets.len().max(1) as u64)).max(1);
        let filled = self.settings.fill.of(per_target).max(1);
        let by_demand = usize::try_from(demand.batch_slots.div_ceil(filled)).unwrap_or(usize::MAX);
        let needed = by_demand.max(demand.min_targets).min(targets.len());
        let wanted = self.wanted.entry(demand.model.clone()).or_insert(Wanted {
            targets: needed,
            needed_at_ms: now_ms,
        });
        let idle_ms = now_ms.saturating_sub(wanted.needed_at_ms);
        if needed >= wanted.targets || idle_ms >= self.settings.shrink_after_ms {
            wanted.targets = needed;
            wanted.needed_at_ms = now_ms;
        }
        wanted.targets.min(targets.len())
    }
}

/// Adds a model to targets until `count` have it.
fn place(
    model: &ModelKey,
    count: usize,
    wanted: &[(&ModelKey, usize)],
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
        let Some((target, surplus)) = surplus(model, wanted, targets, plan) else {
            return;
        };
        if let Some(models) = plan.get_mut(&target) {
            models.retain(|loaded| *loaded != surplus);
            models.push(model.clone());
        }
    }
}

/// A target and one of its models that more targets have than want it.
fn surplus(
    model: &ModelKey,
    wanted: &[(&ModelKey, usize)],
    targets: &[PlannerTarget],
    plan: &BTreeMap<TargetName, Vec<ModelKey>>,
) -> Option<(TargetName, ModelKey)> {
    let surplus_of = |loaded: &ModelKey| {
        let count = wanted.iter().find(|(name, _)| *name == loaded);
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
