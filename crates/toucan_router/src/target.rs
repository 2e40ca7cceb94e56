//! State of one target as this node knows it.

use toucan_types::{DataCentreName, ServiceName, TargetName};

use crate::prefill_cost::PrefillCost;
use crate::target_load::TargetLoad;
use crate::{
    DrainState, LoadReport, ModelKey, PrefixCacheEstimate, PrefixCacheEstimateSettings,
    TargetHealth, block_hashes,
};

/// Index of a target in a [`TargetTable`](crate::TargetTable); never reused for another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(pub(crate) u32);

/// Inference phases that a target serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetRole {
    /// Prefills prompts and decodes.
    #[default]
    Both,
    /// Prefills prompts and exports the KV cache.
    Prefill,
    /// Imports the KV cache and decodes.
    Decode,
}

/// Static properties of a target, from the VM list and the configuration document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetDescription {
    /// Name.
    pub name: TargetName,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Maximum batch size until the first load report; for targets of plain services, always.
    pub batch_limit: u32,
}

/// A target: its description, its last report and this node's own dispatches to it.
#[derive(Clone, Debug)]
pub struct Target {
    pub(crate) description: TargetDescription,
    pub(crate) models: Vec<ModelKey>,
    pub(crate) role: TargetRole,
    pub(crate) load: TargetLoad,
    pub(crate) drain: DrainState,
    pub(crate) health: TargetHealth,
    pub(crate) cache_estimate: PrefixCacheEstimate,
    pub(crate) prefill_cost: PrefillCost,
    /// Hash of the name, the same on every node.
    pub(crate) name_hash: u64,
}

impl Target {
    pub(crate) fn new(
        description: TargetDescription,
        estimate_settings: PrefixCacheEstimateSettings,
    ) -> Self {
        let load = TargetLoad::new(description.batch_limit);
        Self {
            name_hash: block_hashes(description.name.as_str(), 1)
                .last()
                .copied()
                .unwrap_or(0),
            description,
            models: Vec::new(),
            role: TargetRole::default(),
            load,
            drain: DrainState::default(),
            health: TargetHealth::default(),
            cache_estimate: PrefixCacheEstimate::new(estimate_settings),
            prefill_cost: PrefillCost::default(),
        }
    }

    /// Returns the description.
    #[must_use]
    pub const fn description(&self) -> &TargetDescription {
        &self.description
    }

    /// Returns the name.
    #[must_use]
    pub const fn name(&self) -> &TargetName {
        &self.description.name
    }

    /// Returns the models that the last report lists as loaded.
    #[must_use]
    pub fn models(&self) -> &[ModelKey] {
        &self.models
    }

    /// Returns the role in the last report.
    #[must_use]
    pub const fn role(&self) -> TargetRole {
        self.role
    }

    /// Returns the drain state.
    #[must_use]
    pub const fn drain(&self) -> DrainState {
        self.drain
    }

    /// Returns the health as observed by this node's own attempts.
    #[must_use]
    pub const fn health(&self) -> TargetHealth {
        self.health
    }

    /// Returns the estimate of the prefix cache.
    #[must_use]
    pub const fn cache_estimate(&self) -> &PrefixCacheEstimate {
        &self.cache_estimate
    }

    /// Returns the number of this node's requests in flight at the target.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.load.in_flight()
    }

    /// Returns the number of requests, running and waiting, in the last report.
    #[must_use]
    pub const fn reported_load(&self) -> u32 {
        self.load.reported
    }

    /// Returns the maximum batch size.
    #[must_use]
    pub const fn batch_limit(&self) -> u32 {
        self.load.batch_limit
    }

    /// Returns the fraction of the KV memory in use in the last report, in permille.
    #[must_use]
    pub const fn kv_used_permille(&self) -> u32 {
        self.load.kv_used_permille
    }

    /// Returns whether the target may get new requests: it is neither draining nor in backoff.
    #[must_use]
    pub const fn takes_work(&self, now_ms: u64) -> bool {
        !self.drain.is_draining() && self.health.is_available(now_ms)
    }

    /// Applies the models and the role of a report and returns whether they changed.
    pub(crate) fn apply_models(&mut self, report: &LoadReport) -> bool {
        let changed = self.models != report.models || self.role != report.role;
        if changed {
            self.models.clone_from(&report.models);
            self.role = report.role;
        }
        changed
    }
}
