//! Lanes of the admission queue: one per class, in it one per organisation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use toucan_types::OrganisationName;

use crate::{EntryId, PoolKey, QueueEntry, SchedulingShare, ServiceRate};

/// Virtual time that one token costs a member of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

/// Order within an organisation: priority, then arrival.
pub(crate) type LaneKey = (Reverse<i32>, EntryId);

/// Waiting entries of one organisation in one class.
#[derive(Debug, Default)]
pub(crate) struct OrganisationLane {
    pub(crate) share: SchedulingShare,
    pub(crate) virtual_time: u64,
    pub(crate) cost_tokens: u64,
    pub(crate) entries: usize,
    pools: BTreeMap<PoolKey, BTreeSet<LaneKey>>,
}

impl OrganisationLane {
    fn insert(&mut self, id: EntryId, entry: &QueueEntry) {
        self.pools
            .entry(entry.pool)
            .or_default()
            .insert((Reverse(entry.priority), id));
        self.cost_tokens += entry.cost_tokens.0;
        self.entries += 1;
    }

    fn remove(&mut self, id: EntryId, entry: &QueueEntry) {
        let Some(pool) = self.pools.get_mut(&entry.pool) else {
            return;
        };
        if !pool.remove(&(Reverse(entry.priority), id)) {
            return;
        }
        if pool.is_empty() {
            self.pools.remove(&entry.pool);
        }
        self.cost_tokens -= entry.cost_tokens.0;
        self.entries -= 1;
    }

    /// First entry of a pool that `admits`, by priority and arrival.
    fn head(&self, admits: &mut impl FnMut(PoolKey, EntryId) -> bool) -> Option<LaneKey> {
        let mut best: Option<LaneKey> = None;
        for (pool, keys) in &self.pools {
            let Some(key) = keys.first().copied() else {
                continue;
            };
            if best.is_none_or(|best| key < best) && admits(*pool, key.1) {
                best = Some(key);
            }
        }
        best
    }

    /// Entry that would be served last.
    fn tail(&self) -> Option<LaneKey> {
        self.pools
            .values()
            .filter_map(|keys| keys.last().copied())
            .max()
    }
}

/// Waiting entries of one class.
#[derive(Debug)]
pub(crate) struct ClassLane {
    pub(crate) share: SchedulingShare,
    pub(crate) virtual_time: u64,
    pub(crate) cost_tokens: u64,
    pub(crate) entries: usize,
    pub(crate) rate: ServiceRate,
    /// Virtual time of the organisation that was served last.
    served_virtual_time: u64,
    organisations: BTreeMap<OrganisationName, OrganisationLane>,
}

impl ClassLane {
    pub(crate) fn new(share: SchedulingShare, rate_window_ms: u64) -> Self {
        Self {
            share,
            virtual_time: 0,
            cost_tokens: 0,
            entries: 0,
            rate: ServiceRate::new(rate_window_ms),
            served_virtual_time: 0,
            organisations: BTreeMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, id: EntryId, entry: &QueueEntry, share: SchedulingShare) {
        let lane = self
            .organisations
            .entry(entry.organisation.clone())
            .or_default();
        lane.share = share;
        if lane.entries == 0 {
            // Idle time earns no credit.
            lane.virtual_time = lane.virtual_time.max(self.served_virtual_time);
        }
        lane.insert(id, entry);
        self.cost_tokens += entry.cost_tokens.0;
        self.entries += 1;
    }

    pub(crate) fn remove(&mut self, id: EntryId, entry: &QueueEntry) {
        let Some(lane) = self.organisations.get_mut(&entry.organisation) else {
            return;
        };
        lane.remove(id, entry);
        self.cost_tokens -= entry.cost_tokens.0;
        self.entries -= 1;
    }

    /// Advances the virtual times after an entry was served.
    pub(crate) fn charge(&mut self, entry: &QueueEntry) {
        self.virtual_time += virtual_cost(entry, self.share);
        if let Some(lane) = self.organisations.get_mut(&entry.organisation) {
            self.served_virtual_time = self.served_virtual_time.max(lane.virtual_time);
            lane.virtual_time += virtual_cost(entry, lane.share);
        }
    }

    /// First entry in the order of organisations whose pool `admits`.
    pub(crate) fn head(
        &self,
        admits: &mut impl FnMut(PoolKey, EntryId) -> bool,
    ) -> Option<EntryId> {
        let mut best: Option<(u32, u64, EntryId)> = None;
        for lane in self.organisations.values() {
            let order = (lane.share.rank, lane.virtual_time);
            if lane.entries == 0 || best.is_some_and(|best| (best.0, best.1) <= order) {
                continue;
            }
            if let Some((_, id)) = lane.head(admits) {
                best = Some((order.0, order.1, id));
            }
        }
        best.map(|best| best.2)
    }

    /// Entry to give up first: the last one of the last rank's longest lane.
    pub(crate) fn displaceable(&self) -> Option<(OrganisationName, usize, EntryId)> {
        let (name, lane) = self
            .organisations
            .iter()
            .filter(|(_, lane)| lane.entries > 0)
            .max_by_key(|(_, lane)| (lane.share.rank, lane.entries))?;
        let (_, id) = lane.tail()?;
        Some((name.clone(), lane.entries, id))
    }

    pub(crate) fn organisation_entries(&self, organisation: &OrganisationName) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |lane| lane.entries)
    }

    pub(crate) fn organisation_lane_rank(&self, organisation: &OrganisationName) -> Option<u32> {
        self.organisations
            .get(organisation)
            .map(|lane| lane.share.rank)
    }

    /// Cost that is served before a new entry of this organisation, of this class alone.
    pub(crate) fn cost_ahead(
        &self,
        organisation: &OrganisationName,
        share: SchedulingShare,
    ) -> u64 {
        let own = self
            .organisations
            .get(organisation)
            .map_or(0, |lane| lane.cost_tokens);
        let own_weight = u64::from(share.weight.max(1));
        let others = self
            .organisations
            .iter()
            .filter(|(name, lane)| *name != organisation && lane.share.rank <= share.rank);
        let others: u64 = others
            .map(|(_, lane)| {
                if lane.share.rank < share.rank {
                    return lane.cost_tokens;
                }
                let turn = own.saturating_mul(u64::from(lane.share.weight.max(1))) / own_weight;
                lane.cost_tokens.min(turn)
            })
            .sum();
        own + others
    }

    /// Applies a changed order of organisations.
    pub(crate) fn reorder(&mut self, share_of: impl Fn(&OrganisationName) -> SchedulingShare) {
        for (name, lane) in &mut self.organisations {
            lane.share = share_of(name);
        }
    }
}

fn virtual_cost(entry: &QueueEntry, share: SchedulingShare) -> u64 {
    let cost_tokens = entry.cost_tokens.0.max(1);
    cost_tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(share.weight.max(1))
}
