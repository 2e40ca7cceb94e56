//! Pools of targets that can serve the same requests.

use toucan_types::{DataCentreName, FastHashMap, ServiceName};

use crate::hash_mix::mix;
use crate::{ModelKey, Target, TargetIndex};

/// Number of points per target on a hash ring.
const RING_POINTS: u64 = 8;

/// Targets that can serve the same requests, as a sorted list and as a hash ring.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetPool {
    members: Vec<TargetIndex>,
    /// Ring of consistent hashing: points derived from the hashes of the names, sorted.
    ring: Vec<(u64, TargetIndex)>,
}

impl TargetPool {
    pub(crate) fn members(&self) -> &[TargetIndex] {
        &self.members
    }

    /// Iterates over the members in ring order, starting at `hash`.
    pub(crate) fn starting_at(&self, hash: u64) -> impl Iterator<Item = TargetIndex> {
        let start = self.ring.partition_point(|(at, _)| *at < hash);
        let (before, after) = self.ring.split_at(start);
        after.iter().chain(before).map(|(_, index)| *index)
    }

    fn insert(&mut self, index: TargetIndex, points: impl Iterator<Item = u64>) {
        let Err(at) = self.members.binary_search(&index) else {
            return;
        };
        self.members.insert(at, index);
        self.ring.extend(points.map(|point| (point, index)));
        self.ring.sort_unstable();
    }

    fn remove(&mut self, index: TargetIndex) {
        self.members.retain(|member| *member != index);
        self.ring.retain(|(_, member)| *member != index);
    }
}

/// Targets in this node's data centre and targets in all others.
#[derive(Clone, Debug, Default)]
struct DataCentrePools {
    own_data_centre: TargetPool,
    others: TargetPool,
}

impl DataCentrePools {
    fn pool_mut(&mut self, own_data_centre: bool) -> &mut TargetPool {
        if own_data_centre {
            &mut self.own_data_centre
        } else {
            &mut self.others
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ServicePools {
    all: DataCentrePools,
    by_model: FastHashMap<ModelKey, DataCentrePools>,
}

/// Targets of each service, all of them and by loaded model, in insertion order.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetPools {
    own_data_centre: DataCentreName,
    services: FastHashMap<ServiceName, ServicePools>,
}

impl TargetPools {
    pub(crate) fn set_own_data_centre(&mut self, name: &DataCentreName) {
        self.own_data_centre.clone_from(name);
    }

    pub(crate) fn add(&mut self, index: TargetIndex, target: &Target) {
        let own = target.description.data_centre == self.own_data_centre;
        let service = self
            .services
            .entry(target.description.service.clone())
            .or_default();
        service.all.pool_mut(own).insert(index, ring_points(target));
        for model in &target.models {
            let pool = service.by_model.entry(model.clone()).or_default();
            pool.pool_mut(own).insert(index, ring_points(target));
        }
    }

    pub(crate) fn remove(&mut self, index: TargetIndex, target: &Target) {
        let own = target.description.data_centre == self.own_data_centre;
        let Some(service) = self.services.get_mut(&target.description.service) else {
            return;
        };
        service.all.pool_mut(own).remove(index);
        for model in &target.models {
            if let Some(pool) = service.by_model.get_mut(model) {
                pool.pool_mut(own).remove(index);
            }
        }
    }

    pub(crate) fn pool(
        &self,
        service: &ServiceName,
        model: Option<&ModelKey>,
        own_data_centre: bool,
    ) -> Option<&TargetPool> {
        let service = self.services.get(service)?;
        let pool = match model {
            Some(model) => service.by_model.get(model)?,
            None => &service.all,
        };
        Some(if own_data_centre {
            &pool.own_data_centre
        } else {
            &pool.others
        })
    }
}

/// Returns the ring points of a target. Several points per target even out the arcs between
/// targets.
fn ring_points(target: &Target) -> impl Iterator<Item = u64> {
    let name_hash = target.name_hash;
    (0..RING_POINTS).map(move |point| mix(name_hash.wrapping_add(point)))
}
