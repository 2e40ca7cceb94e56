//! Bounded queue of requests that wait for a target.

use std::collections::{BTreeMap, BTreeSet};

use toucan_types::{FastHashMap, RequestClass};

use crate::queue_lanes::ClassLane;
use crate::{
    EntryId, PoolKey, QueueEntry, QueueRefusal, QueueSettings, Refused, SchedulingShare,
    ServiceRate,
};

/// Most aged entries that one [`AdmissionQueue::pop`] looks at.
const AGED_SCAN_ENTRIES: usize = 64;
/// Credit that one dispatch out of order costs.
const AGED_COST_PERMILLE: u32 = 1_000;

#[derive(Debug)]
struct Waiting<T> {
    item: T,
    entry: QueueEntry,
}

/// Bounded queue of requests for one service in one data centre, in the operators' order.
///
/// Classes of a smaller rank are served first, classes of the same rank share by weight; the same
/// holds for the organisations of a class; within an organisation, priority and arrival decide. A
/// small share of the dispatches goes to the oldest aged entry, so that low ranks do not starve.
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
    classes: BTreeMap<RequestClass, ClassLane>,
    by_age: BTreeSet<(u64, EntryId)>,
    by_latest_start: BTreeSet<(u64, EntryId)>,
    refused: Vec<Refused<T>>,
    rate: ServiceRate,
    served_virtual_time: u64,
    aged_credit_permille: u32,
    next_id: u64,
}

impl<T> AdmissionQueue<T> {
    /// An empty queue.
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

    /// Puts changed settings in force; entries that wait keep their places under the new order.
    pub fn set_settings(&mut self, settings: QueueSettings) {
        for (name, class) in &mut self.classes {
            class.share = settings.class_share(name);
            class.reorder(|organisation| settings.organisation_share(organisation));
        }
        self.settings = settings;
    }

    /// Number of waiting entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request, or refuses it at once.
    ///
    /// # Errors
    ///
    /// [`QueueRefusal::TooLate`] if the expected wait breaks the deadline, [`QueueRefusal::Full`] if
    /// there is no place and none that the order would take from another entry. The request was not
    /// run and the caller should be told at once.
    pub fn push(
        &mut self,
        item: T,
        entry: QueueEntry,
        now_ms: u64,
    ) -> Result<EntryId, QueueRefusal> {
        self.offer(item, entry, now_ms)
            .map_err(|refused| refused.refusal)
    }

    /// Adds a request, or gives it back with the reason.
    ///
    /// # Errors
    ///
    /// As of [`Self::push`], with the item and its entry.
    pub fn offer(
        &mut self,
        item: T,
        entry: QueueEntry,
        now_ms: u64,
    ) -> Result<EntryId, Box<Refused<T>>> {
        self.elapse(now_ms);
        match self.refusal_of(&entry, now_ms) {
            Some(refusal) => Err(Box::new(Refused {
                item,
                entry,
                refusal,
            })),
            None => Ok(self.insert(item, entry)),
        }
    }

    fn refusal_of(&mut self, entry: &QueueEntry, now_ms: u64) -> Option<QueueRefusal> {
        let wait_ms = self.estimated_wait_ms(entry).unwrap_or(0);
        let left_ms = entry.latest_start_ms().checked_sub(now_ms);
        let allowed_ms = left_ms.map(|left_ms| self.settings.wait_share.of(left_ms));
        if allowed_ms.is_none_or(|allowed_ms| wait_ms > allowed_ms) {
            let excess_ms = wait_ms - allowed_ms.unwrap_or(0).min(wait_ms);
            return Some(QueueRefusal::TooLate {
                estimated_wait_ms: wait_ms,
                retry_after_ms: self.spread(excess_ms),
            });
        }
        if self.waiting.len() >= self.settings.capacity_entries && !self.displace_for(entry) {
            return Some(QueueRefusal::Full {
                retry_after_ms: self.full_retry_after_ms(),
            });
        }
        None
    }

    /// Takes the next entry whose pool has a free place, in the operators' order.
    ///
    /// `has_place` is asked at most once per pool, with one of the pool's entries.
    pub fn pop(
        &mut self,
        now_ms: u64,
        mut has_place: impl FnMut(&QueueEntry, &T) -> bool,
    ) -> Option<(T, QueueEntry)> {
        self.elapse(now_ms);
        self.expire(now_ms);
        let id = self.next_id(now_ms, &mut has_place)?;
        let waiting = self.take(id)?;
        // Earned by dispatches and not by attempts, of which there are many while no place is free.
        self.aged_credit_permille =
            (self.aged_credit_permille + self.settings.aged_share.0).min(2 * AGED_COST_PERMILLE);
        let cost_tokens = waiting.entry.cost_tokens.0.max(1);
        self.rate.served(cost_tokens);
        if let Some(class) = self.classes.get_mut(&waiting.entry.class) {
            class.rate.served(cost_tokens);
            self.served_virtual_time = self.served_virtual_time.max(class.virtual_time);
            class.charge(&waiting.entry);
        }
        Some((waiting.item, waiting.entry))
    }

    /// Takes an entry out, for example because its caller left.
    pub fn remove(&mut self, id: EntryId) -> Option<T> {
        self.take(id).map(|waiting| waiting.item)
    }

    /// Takes all entries that can no longer meet their deadline or lost their place.
    ///
    /// Call it at each turn of the queue's thread, so that the callers are told at once.
    pub fn take_refused(&mut self, now_ms: u64) -> Vec<Refused<T>> {
        self.elapse(now_ms);
        self.expire(now_ms);
        std::mem::take(&mut self.refused)
    }

    /// Time at which the next entry expires, for the wake-up of the queue's thread.
    #[must_use]
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let (latest_start_ms, _) = self.by_latest_start.first()?;
        Some(latest_start_ms.saturating_add(1))
    }

    /// Expected wait of a new entry, or [`None`] while the rate of service is unknown.
    #[must_use]
    pub fn estimated_wait_ms(&self, entry: &QueueEntry) -> Option<u64> {
        let share = self.settings.class_share(&entry.class);
        let organisation = self.settings.organisation_share(&entry.organisation);
        let own = self.classes.get(&entry.class);
        let own_ahead = own.map_or(0, |class| {
            class.cost_ahead(&entry.organisation, organisation)
        });
        // The rate of the own class already contains what better classes take away.
        let own_time_ms = own
            .filter(|class| class.entries > 0)
            .and_then(|class| class.rate.time_ms(own_ahead));
        own_time_ms.or_else(|| {
            let better: u64 = self
                .classes
                .values()
                .filter(|class| class.share.rank < share.rank)
                .map(|class| class.cost_tokens)
                .sum();
            self.rate.time_ms(better + own_ahead)
        })
    }

    /// Waiting entries per class, for the state dump and the metrics.
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
            .or_insert_with(|| ClassLane::new(class_share, rate_window_ms));
        if class.entries == 0 {
            class.virtual_time = class.virtual_time.max(self.served_virtual_time);
        }
        class.insert(id, &entry, share);
        self.by_age.insert((entry.enqueued_at_ms, id));
        self.by_latest_start.insert((entry.latest_start_ms(), id));
        self.waiting.insert(id, Waiting { item, entry });
        id
    }

    fn take(&mut self, id: EntryId) -> Option<Waiting<T>> {
        let waiting = self.waiting.remove(&id)?;
        let entry = &waiting.entry;
        self.by_age.remove(&(entry.enqueued_at_ms, id));
        self.by_latest_start.remove(&(entry.latest_start_ms(), id));
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.remove(id, entry);
        }
        Some(waiting)
    }

    fn next_id(
        &mut self,
        now_ms: u64,
        has_place: &mut impl FnMut(&QueueEntry, &T) -> bool,
    ) -> Option<EntryId> {
        let waiting = &self.waiting;
        let mut answers: FastHashMap<PoolKey, bool> = FastHashMap::default();
        let mut admits = |pool: PoolKey, id: EntryId| {
            *answers.entry(pool).or_insert_with(|| {
                waiting
                    .get(&id)
                    .is_some_and(|waiting| has_place(&waiting.entry, &waiting.item))
            })
        };
        if self.aged_credit_permille >= AGED_COST_PERMILLE {
            let aged = self
                .by_age
                .iter()
                .take_while(|(at_ms, _)| now_ms.saturating_sub(*at_ms) >= self.settings.ageing_ms)
                .take(AGED_SCAN_ENTRIES)
                .map(|(_, id)| *id)
                .find(|id| {
                    let pool = waiting.get(id).map(|waiting| waiting.entry.pool);
                    pool.is_some_and(|pool| admits(pool, *id))
                });
            if aged.is_some() {
                self.aged_credit_permille -= AGED_COST_PERMILLE;
                return aged;
            }
        }
        let mut order: Vec<&ClassLane> = self
            .classes
            .values()
            .filter(|class| class.entries > 0)
            .collect();
        order.sort_by_key(|class| (class.share.rank, class.virtual_time));
        order.into_iter().find_map(|class| class.head(&mut admits))
    }

    /// Makes place for `entry` if the order puts it before one that waits.
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
        let Some((organisation, entries, id)) = worst.displaceable() else {
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
                retry_after_ms: self.full_retry_after_ms(),
            };
            self.refuse(id, refusal);
        }
        displaces
    }

    fn displaces_in_class(
        &self,
        worst: &ClassLane,
        entry: &QueueEntry,
        longest: &toucan_types::OrganisationName,
        longest_entries: usize,
    ) -> bool {
        let own: SchedulingShare = self.settings.organisation_share(&entry.organisation);
        let longest_rank = worst.organisation_lane_rank(longest).unwrap_or(u32::MAX);
        // One more than its own would only swap the two organisations' roles for ever.
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
                retry_after_ms: self.full_retry_after_ms(),
            };
            self.refuse(id, refusal);
        }
    }

    fn refuse(&mut self, id: EntryId, refusal: QueueRefusal) {
        if let Some(Waiting { item, entry }) = self.take(id) {
            self.refused.push(Refused {
                item,
                entry,
                refusal,
            });
        }
    }

    fn elapse(&mut self, now_ms: u64) {
        self.rate.elapse(now_ms, !self.waiting.is_empty());
        for class in self.classes.values_mut() {
            class.rate.elapse(now_ms, class.entries > 0);
        }
    }

    /// Time to serve a tenth of what waits.
    fn full_retry_after_ms(&self) -> u64 {
        let cost_tokens: u64 = self.classes.values().map(|class| class.cost_tokens).sum();
        self.spread(self.rate.time_ms(cost_tokens / 10).unwrap_or(0))
    }

    /// Bounds a time to wait and adds up to a quarter, so that refused callers do not return at once.
    fn spread(&self, time_ms: u64) -> u64 {
        let least_ms = self.settings.least_retry_after_ms;
        let bounded_ms = time_ms.clamp(least_ms, self.settings.most_retry_after_ms.max(least_ms));
        let turn = (self.next_id + self.refused.len() as u64) % 16;
        bounded_ms + bounded_ms * turn / 64
    }
}
