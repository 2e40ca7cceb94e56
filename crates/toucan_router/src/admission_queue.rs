//! Bounded queue of requests that wait for a target.

use std::collections::{BTreeMap, BTreeSet};

use toucan_types::{FastHashMap, RequestClass};

use crate::class_queue::ClassQueue;
use crate::{
    EntryId, PoolKey, QueueEntry, QueueRefusal, QueueSettings, RefusedEntry, SchedulingShare,
    ServiceRate,
};

/// Maximum number of aged entries that one [`AdmissionQueue::pop`] examines.
const MAX_AGED_SCAN_ENTRIES: usize = 64;
/// Credit that the dispatch of one aged entry consumes.
const AGED_COST_PERMILLE: u32 = 1_000;

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    entry: QueueEntry,
}

/// Bounded queue of the requests for one service in one data centre.
///
/// The operators configure the scheduling order. Classes with a smaller rank are served first.
/// Classes of the same rank share the capacity by weight. The same rules apply to the organisations
/// within a class. The requests of an organisation are ordered by priority, then by arrival. A
/// small fraction of the dispatches goes to the oldest aged entry, so that low ranks do not starve.
///
/// ```
/// use toucan_router::{AdmissionQueue, QueueEntry, QueueSettings, SchedulingShare};
///
/// let settings = QueueSettings::default()
///     .with_class("interactive", SchedulingShare::ranked(0))
///     .with_class("batch", SchedulingShare::ranked(1));
/// let mut queue = AdmissionQueue::new(settings);
/// let entry = |class: &str| QueueEntry {
///     class: class.into(),
///     deadline_ms: 10_000,
///     ..QueueEntry::default()
/// };
/// queue.push("report", entry("batch"), 0)?;
/// queue.push("question", entry("interactive"), 0)?;
/// assert_eq!(queue.pop(1, |_, _| true).map(|(item, _)| item), Some("question"));
/// # Ok::<(), toucan_router::QueueRefusal>(())
/// ```
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    settings: QueueSettings,
    waiting: FastHashMap<EntryId, Waiting<T>>,
    classes: BTreeMap<RequestClass, ClassQueue>,
    by_age: BTreeSet<(u64, EntryId)>,
    by_latest_start: BTreeSet<(u64, EntryId)>,
    refused: Vec<RefusedEntry<T>>,
    rate: ServiceRate,
    served_virtual_time: u64,
    aged_credit_permille: u32,
    next_id: u64,
}

impl<T> AdmissionQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            rate: ServiceRate::new(settings.rate_window_ms),
            settings,
            waiting: FastHashMap::default(),
            classes: BTreeMap::new(),
            by_age: BTreeSet::new(),
            by_latest_start: BTreeSet::new(),
            refused: Vec::new(),
            served_virtual_time: 0,
            aged_credit_permille: 0,
            next_id: 0,
        }
    }

    /// Applies new settings. Waiting entries stay in the queue and follow the new scheduling order.
    pub fn set_settings(&mut self, settings: QueueSettings) {
        for (name, class) in &mut self.classes {
            class.share = settings.class_share(name);
            class.update_shares(|organisation| settings.organisation_share(organisation));
        }
        self.settings = settings;
    }

    /// Returns the number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no entry waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request, or refuses it immediately.
    ///
    /// # Errors
    ///
    /// [`QueueRefusal::TooLate`] if the deadline cannot be met after the estimated wait.
    /// [`QueueRefusal::Full`] if the queue is full and the request takes precedence over no waiting
    /// entry. The request was not run and the caller should be informed immediately.
    pub fn push(
        &mut self,
        item: T,
        entry: QueueEntry,
        now_ms: u64,
    ) -> Result<EntryId, QueueRefusal> {
        self.offer(item, entry, now_ms)
            .map_err(|refused| refused.refusal)
    }

    /// Adds a request, or returns it with the reason for its refusal.
    ///
    /// # Errors
    ///
    /// The refusals of [`Self::push`], together with the item and its entry.
    pub fn offer(
        &mut self,
        item: T,
        entry: QueueEntry,
        now_ms: u64,
    ) -> Result<EntryId, Box<RefusedEntry<T>>> {
        self.advance_clock(now_ms);
        match self.check_admission(&entry, now_ms) {
            Some(refusal) => Err(Box::new(RefusedEntry {
                item,
                entry,
                refusal,
            })),
            None => Ok(self.insert(item, entry)),
        }
    }

    fn check_admission(&mut self, entry: &QueueEntry, now_ms: u64) -> Option<QueueRefusal> {
        let wait_ms = self.estimated_wait_ms(entry).unwrap_or(0);
        let left_ms = entry.latest_start_ms().checked_sub(now_ms);
        let allowed_ms = left_ms.map(|left_ms| self.settings.max_wait_fraction.of(left_ms));
        if allowed_ms.is_none_or(|allowed_ms| wait_ms > allowed_ms) {
            let excess_ms = wait_ms - allowed_ms.unwrap_or(0).min(wait_ms);
            return Some(QueueRefusal::TooLate {
                estimated_wait_ms: wait_ms,
                retry_after_ms: self.with_jitter(excess_ms),
            });
        }
        if self.waiting.len() >= self.settings.capacity_entries && !self.displace_for(entry) {
            return Some(QueueRefusal::Full {
                retry_after_ms: self.backlog_retry_after_ms(),
            });
        }
        None
    }

    /// Removes and returns the next entry, in scheduling order, whose pool has capacity.
    ///
    /// `has_capacity` is called at most once per pool, with one of the pool's entries.
    pub fn pop(
        &mut self,
        now_ms: u64,
        mut has_capacity: impl FnMut(&QueueEntry, &T) -> bool,
    ) -> Option<(T, QueueEntry)> {
        self.advance_clock(now_ms);
        self.expire(now_ms);
        let id = self.select_next(now_ms, &mut has_capacity)?;
        let waiting = self.remove_entry(id)?;
        // Dispatches earn credit, calls that find no capacity do not: those are frequent.
        self.aged_credit_permille =
            (self.aged_credit_permille + self.settings.aged_fraction.0).min(2 * AGED_COST_PERMILLE);
        let cost_tokens = waiting.entry.cost_tokens.0.max(1);
        self.rate.record_served(cost_tokens);
        if let Some(class) = self.classes.get_mut(&waiting.entry.class) {
            class.rate.record_served(cost_tokens);
            self.served_virtual_time = self.served_virtual_time.max(class.virtual_time);
            class.charge(&waiting.entry);
        }
        Some((waiting.item, waiting.entry))
    }

    /// Removes an entry, for example because its caller disconnected.
    pub fn remove(&mut self, id: EntryId) -> Option<T> {
        self.remove_entry(id).map(|waiting| waiting.item)
    }

    /// Removes and returns all entries that can no longer meet their deadline or were displaced.
    ///
    /// Call it in each iteration of the queue's event loop, so that the callers are informed
    /// immediately.
    pub fn take_refused(&mut self, now_ms: u64) -> Vec<RefusedEntry<T>> {
        self.advance_clock(now_ms);
        self.expire(now_ms);
        std::mem::take(&mut self.refused)
    }

    /// Returns the time at which the next entry expires, for the wake-up of the event loop.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let (latest_start_ms, _) = self.by_latest_start.first()?;
        Some(latest_start_ms.saturating_add(1))
    }

    /// Returns the estimated wait of a new entry, or [`None`] while the service rate is unknown.
    #[must_use]
    pub fn estimated_wait_ms(&self, entry: &QueueEntry) -> Option<u64> {
        let share = self.settings.class_share(&entry.class);
        let organisation = self.settings.organisation_share(&entry.organisation);
        let own = self.classes.get(&entry.class);
        let own_ahead = own.map_or(0, |class| {
            class.cost_ahead(&entry.organisation, organisation)
        });
        // The class's own service rate already accounts for the capacity that higher classes use.
        let own_time_ms = own
            .filter(|class| class.entries > 0)
            .and_then(|class| class.rate.time_ms(own_ahead));
        own_time_ms.or_else(|| {
            let higher_classes: u64 = self
                .classes
                .values()
                .filter(|class| class.share.rank < share.rank)
                .map(|class| class.cost_tokens)
                .sum();
            self.rate.time_ms(higher_classes + own_ahead)
        })
    }

    /// Returns the number of waiting entries per class, for the state dump and the metrics.
    pub fn class_entries(&self) -> impl Iterator<Item = (&RequestClass, usize)> {
        self.classes
            .iter()
            .map(|(name, class)| (name, class.entries))
    }

    fn insert(&mut self, item: T, entry: QueueEntry) -> EntryId {
        let id = EntryId(self.next_id);
        self.next_id += 1;
        let class_share = self.settings.class_share(&entry.class);
        let share = self.settings.organisation_share(&entry.organisation);
        let rate_window_ms = self.settings.rate_window_ms;
        let class = self
            .classes
            .entry(entry.class.clone())
            .or_insert_with(|| ClassQueue::new(class_share, rate_window_ms));
        if class.entries == 0 {
            class.virtual_time = class.virtual_time.max(self.served_virtual_time);
        }
        class.insert(id, &entry, share);
        self.by_age.insert((entry.enqueued_at_ms, id));
        self.by_latest_start.insert((entry.latest_start_ms(), id));
        self.waiting.insert(id, Waiting { item, entry });
        id
    }

    fn remove_entry(&mut self, id: EntryId) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&id)?;
        let entry = &waiting.entry;
        self.by_age.remove(&(entry.enqueued_at_ms, id));
        self.by_latest_start.remove(&(entry.latest_start_ms(), id));
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.remove(id, entry);
        }
        Some(waiting)
    }

    fn select_next(
        &mut self,
        now_ms: u64,
        has_capacity: &mut impl FnMut(&QueueEntry, &T) -> bool,
    ) -> Option<EntryId> {
        let waiting = &self.waiting;
        let mut pool_availability: FastHashMap<PoolKey, bool> = FastHashMap::default();
        let mut is_pool_available = |pool: PoolKey, id: EntryId| {
            *pool_availability.entry(pool).or_insert_with(|| {
                waiting
                    .get(&id)
                    .is_some_and(|waiting| has_capacity(&waiting.entry, &waiting.item))
            })
        };
        if self.aged_credit_permille >= AGED_COST_PERMILLE {
            let aged = self
                .by_age
                .iter()
                .take_while(|(at_ms, _)| now_ms.saturating_sub(*at_ms) >= self.settings.ageing_ms)
                .take(MAX_AGED_SCAN_ENTRIES)
                .map(|(_, id)| *id)
                .find(|id| {
                    let pool = waiting.get(id).map(|waiting| waiting.entry.pool);
                    pool.is_some_and(|pool| is_pool_available(pool, *id))
                });
            if aged.is_some() {
                self.aged_credit_permille -= AGED_COST_PERMILLE;
                return aged;
            }
        }
        let mut order: Vec<&ClassQueue> = self
            .classes
            .values()
            .filter(|class| class.entries > 0)
            .collect();
        order.sort_by_key(|class| (class.share.rank, class.virtual_time));
        order
            .into_iter()
            .find_map(|class| class.first_available(&mut is_pool_available))
    }

    /// Refuses a waiting entry over which `entry` takes precedence. Returns whether there was one.
    fn displace_for(&mut self, entry: &QueueEntry) -> bool {
        let share = self.settings.class_share(&entry.class);
        let worst = self
            .classes
            .values()
            .filter(|class| class.entries > 0)
            .max_by_key(|class| (class.share.rank, class.entries));
        let Some(worst) = worst else {
            return false;
        };
        let Some((organisation, entries, id)) = worst.entry_to_displace() else {
            return false;
        };
        let displaces = match share.rank.cmp(&worst.share.rank) {
            std::cmp::Ordering::Less => true,
            std::cmp::Ordering::Equal => {
                self.displaces_in_class(worst, entry, &organisation, entries)
            }
            std::cmp::Ordering::Greater => false,
        };
        if displaces {
            let refusal = QueueRefusal::Displaced {
                retry_after_ms: self.backlog_retry_after_ms(),
            };
            self.refuse(id, refusal);
        }
        displaces
    }

    fn displaces_in_class(
        &self,
        worst: &ClassQueue,
        entry: &QueueEntry,
        longest: &toucan_types::OrganisationName,
        longest_entries: usize,
    ) -> bool {
        let own: SchedulingShare = self.settings.organisation_share(&entry.organisation);
        let longest_rank = worst.organisation_rank(longest).unwrap_or(u32::MAX);
        // A difference of one entry is not enough: the two organisations would displace each
        // other's entries in turn, forever.
        own.rank < longest_rank
            || own.rank == longest_rank
                && worst.organisation_entries(&entry.organisation) + 1 < longest_entries
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((latest_start_ms, id)) = self.by_latest_start.first().copied() {
            if latest_start_ms >= now_ms {
                return;
            }
            let refusal = QueueRefusal::Expired {
                retry_after_ms: self.backlog_retry_after_ms(),
            };
            self.refuse(id, refusal);
        }
    }

    fn refuse(&mut self, id: EntryId, refusal: QueueRefusal) {
        if let Some(Waiting { item, entry }) = self.remove_entry(id) {
            self.refused.push(RefusedEntry {
                item,
                entry,
                refusal,
            });
        }
    }

    fn advance_clock(&mut self, now_ms: u64) {
        self.rate.advance(now_ms, !self.waiting.is_empty());
        for class in self.classes.values_mut() {
            class.rate.advance(now_ms, class.entries > 0);
        }
    }

    /// Returns a retry delay: the time to serve a tenth of the backlog, with jitter.
    fn backlog_retry_after_ms(&self) -> u64 {
        let cost_tokens: u64 = self.classes.values().map(|class| class.cost_tokens).sum();
        self.with_jitter(self.rate.time_ms(cost_tokens / 10).unwrap_or(0))
    }

    /// Clamps a retry delay and adds jitter of up to a quarter, so that refused callers do not all
    /// retry at the same time.
    fn with_jitter(&self, time_ms: u64) -> u64 {
        let min_ms = self.settings.min_retry_after_ms;
        let bounded_ms = time_ms.clamp(min_ms, self.settings.max_retry_after_ms.max(min_ms));
        let jitter_step = (self.next_id + self.refused.len() as u64) % 16;
        bounded_ms + bounded_ms * jitter_step / 64
    }
}
