//! Sub-queues of the admission queue: one per class, which contains one per organisation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use toucan_types::OrganisationName;

use crate::{EntryId, PoolKey, QueueEntry, SchedulingShare, ServiceRate};

/// Virtual time by which one token advances a class or organisation of weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1_000;

/// Sort key of an entry within an organisation: priority, then arrival.
pub(crate) type EntryOrder = (Reverse<i32>, EntryId);

/// Waiting entries of one organisation in one class.
#[derive(Debug, Default)]
pub(crate) struct OrganisationQueue {
    pub(crate) share: SchedulingShare,
    pub(crate) virtual_time: u64,
    pub(crate) cost_tokens: u64,
    pub(crate) entries: usize,
    pools: BTreeMap<PoolKey, BTreeSet<EntryOrder>>,
}

impl OrganisationQueue {
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

    /// Returns the first entry whose pool is available, by priority and arrival.
    fn first_available(
        &self,
        is_pool_available: &mut impl FnMut(PoolKey, EntryId) -> bool,
    ) -> Option<EntryOrder> {
        let mut best: Option<EntryOrder> = None;
        for (pool, keys) in &self.pools {
            let Some(key) = keys.first().copied() else {
                continue;
            };
            if best.is_none_or(|best| key < best) && is_pool_available(*pool, key.1) {
                best = Some(key);
            }
        }
        best
    }

    /// Returns the entry that would be served last.
    fn last(&self) -> Option<EntryOrder> {
        self.pools
            .values()
            .filter_map(|keys| keys.last().copied())
            .max()
    }
}

/// Waiting entries of one class.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    pub(crate) share: SchedulingShare,
    pub(crate) virtual_time: u64,
    pub(crate) cost_tokens: u64,
    pub(crate) entries: usize,
    pub(crate) rate: ServiceRate,
    /// Virtual time of the organisation that was served last.
    served_virtual_time: u64,
    organisations: BTreeMap<OrganisationName, OrganisationQueue>,
}

impl ClassQueue {
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
        let queue = self
            .organisations
            .entry(entry.organisation.clone())
            .or_default();
        queue.share = share;
        if queue.entries == 0 {
            // An idle organisation accumulates no credit.
            queue.virtual_time = queue.virtual_time.max(self.served_virtual_time);
        }
        queue.insert(id, entry);
        self.cost_tokens += entry.cost_tokens.0;
        self.entries += 1;
    }

    pub(crate) fn remove(&mut self, id: EntryId, entry: &QueueEntry) {
        let Some(queue) = self.organisations.get_mut(&entry.organisation) else {
            return;
        };
        queue.remove(id, entry);
        self.cost_tokens -= entry.cost_tokens.0;
        self.entries -= 1;
    }

    /// Advances the virtual times after an entry was served.
    pub(crate) fn charge(&mut self, entry: &QueueEntry) {
        self.virtual_time += virtual_cost(entry, self.share);
        if let Some(queue) = self.organisations.get_mut(&entry.organisation) {
            self.served_virtual_time = self.served_virtual_time.max(queue.virtual_time);
            queue.virtual_time += virtual_cost(entry, queue.share);
        }
    }

    /// Returns the first entry whose pool is available, in the order of the organisations.
    pub(crate) fn first_available(
        &self,
        is_pool_available: &mut impl FnMut(PoolKey, EntryId) -> bool,
    ) -> Option<EntryId> {
        let mut best: Option<(u32, u64, EntryId)> = None;
        for queue in self.organisations.values() {
            let order = (queue.share.rank, queue.virtual_time);
            if queue.entries == 0 || best.is_some_and(|best| (best.0, best.1) <= order) {
                continue;
            }
            if let Some((_, id)) = queue.first_available(is_pool_available) {
                best = Some((order.0, order.1, id));
            }
        }
        best.map(|best| best.2)
    }

    /// Returns the entry to displace first, with its organisation and the length of that queue.
    ///
    /// It is the last entry of the longest queue in the lowest-priority rank.
    pub(crate) fn entry_to_displace(&self) -> Option<(OrganisationName, usize, EntryId)> {
        let (name, queue) = self
            .organisations
            .iter()
            .filter(|(_, queue)| queue.entries > 0)
            .max_by_key(|(_, queue)| (queue.share.rank, queue.entries))?;
        let (_, id) = queue.last()?;
        Some((name.clone(), queue.entries, id))
    }

    pub(crate) fn organisation_entries(&self, organisation: &OrganisationName) -> usize {
        self.organisations
            .get(organisation)
            .map_or(0, |queue| queue.entries)
    }

    pub(crate) fn organisation_rank(&self, organisation: &OrganisationName) -> Option<u32> {
        self.organisations
            .get(organisation)
            .map(|queue| queue.share.rank)
    }

    /// Returns the cost of the entries in this class that are served before a new entry of the
    /// organisation.
    pub(crate) fn cost_ahead(
        &self,
        organisation: &OrganisationName,
        share: SchedulingShare,
    ) -> u64 {
        let own = self
            .organisations
            .get(organisation)
            .map_or(0, |queue| queue.cost_tokens);
        let own_weight = u64::from(share.weight.max(1));
        let others = self
            .organisations
            .iter()
            .filter(|(name, queue)| *name != organisation && queue.share.rank <= share.rank);
        let others: u64 = others
            .map(|(_, queue)| {
                if queue.share.rank < share.rank {
                    return queue.cost_tokens;
                }
                let proportional_cost =
                    own.saturating_mul(u64::from(queue.share.weight.max(1))) / own_weight;
                queue.cost_tokens.min(proportional_cost)
            })
            .sum();
        own + others
    }

    /// Applies changed shares of the organisations.
    pub(crate) fn update_shares(
        &mut self,
        share_of: impl Fn(&OrganisationName) -> SchedulingShare,
    ) {
        for (name, queue) in &mut self.organisations {
            queue.share = share_of(name);
        }
    }
}

fn virtual_cost(entry: &QueueEntry, share: SchedulingShare) -> u64 {
    let cost_tokens = entry.cost_tokens.0.max(1);
    cost_tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(share.weight.max(1))
}
