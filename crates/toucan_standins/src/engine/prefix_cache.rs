//! Prefix cache with limited memory, whose events are delayed and may be lost.

use std::collections::{BTreeMap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use toucan_platform::formats::{CacheEvent, CacheEventPage};
use toucan_types::FastHashMap;

use super::EngineSettings;

/// Maximum number of events that are retained for readers.
const MAX_RETAINED_EVENTS: usize = 20_000;
/// Maximum number of events per page.
const MAX_PAGE_EVENTS: usize = 1_000;

struct Entry {
    /// Value of the cache's `use_count` at the last use.
    last_use: u64,
    parent: Option<u64>,
}

struct PublishedEvent {
    sequence: u64,
    visible_at_ms: u64,
    /// `None` if the event was lost.
    event: Option<CacheEvent>,
}

/// Cache of blocks with least-recently-used eviction.
pub(crate) struct PrefixCache {
    entries: FastHashMap<u64, Entry>,
    by_last_use: BTreeMap<u64, u64>,
    use_count: u64,
    max_blocks: usize,
    block_tokens: u32,
    lag_ms: u64,
    loss_permille: u64,
    events: VecDeque<PublishedEvent>,
    last_sequence: u64,
    random: StdRng,
}

impl PrefixCache {
    pub(crate) fn new(settings: &EngineSettings) -> Self {
        Self {
            entries: FastHashMap::default(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            max_blocks: settings.cache_blocks,
            block_tokens: settings.block_tokens,
            lag_ms: settings.event_lag_ms,
            loss_permille: settings.event_loss_permille,
            events: VecDeque::new(),
            last_sequence: 0,
            random: StdRng::seed_from_u64(settings.seed),
        }
    }

    /// Returns the fraction of the memory in use, in thousandths.
    pub(crate) fn used_permille(&self) -> u32 {
        let used = self.entries.len() * 1_000 / self.max_blocks.max(1);
        u32::try_from(used).unwrap_or(u32::MAX)
    }

    /// Stores the blocks of a prompt and returns the number of its tokens that were cached already.
    pub(crate) fn store(&mut self, blocks: &[u64], now_ms: u64) -> u64 {
        let cached = blocks
            .iter()
            .take_while(|block| self.entries.contains_key(block));
        let cached = cached.count();
        let mut parent = None;
        for &block in blocks {
            self.touch(block, parent);
            parent = Some(block);
        }
        if cached < blocks.len() {
            let stored = blocks[cached..].to_vec();
            self.publish(now_ms, |sequence| CacheEvent::Stored {
                sequence,
                blocks: stored,
            });
        }
        self.evict(now_ms);
        cached as u64 * u64::from(self.block_tokens)
    }

    /// Removes all blocks.
    pub(crate) fn clear(&mut self, now_ms: u64) {
        self.entries.clear();
        self.by_last_use.clear();
        self.publish(now_ms, |sequence| CacheEvent::Cleared { sequence });
    }

    /// Returns all blocks of the prefix that ends with this block, or `None` if one is not cached.
    pub(crate) fn prefix(&self, last: u64) -> Option<Vec<u64>> {
        let mut blocks = vec![last];
        let mut entry = self.entries.get(&last)?;
        while let Some(parent) = entry.parent {
            blocks.push(parent);
            entry = self.entries.get(&parent)?;
        }
        blocks.reverse();
        Some(blocks)
    }

    /// Returns the events after a sequence number that are visible by now.
    pub(crate) fn page(&self, after: u64, now_ms: u64) -> CacheEventPage {
        let visible = |event: &&PublishedEvent| event.visible_at_ms <= now_ms;
        let last = self.events.iter().rev().find(visible);
        let new_events = self.events.iter().take_while(visible);
        let new_events = new_events.filter(|event| event.sequence > after);
        CacheEventPage {
            events: new_events
                .filter_map(|event| event.event.clone())
                .take(MAX_PAGE_EVENTS)
                .collect(),
            last_sequence: last.map_or(0, |event| event.sequence),
            block_tokens: self.block_tokens,
        }
    }

    fn touch(&mut self, block: u64, parent: Option<u64>) {
        self.use_count += 1;
        let last_use = self.use_count;
        if let Some(earlier) = self.entries.insert(block, Entry { last_use, parent }) {
            self.by_last_use.remove(&earlier.last_use);
        }
        self.by_last_use.insert(last_use, block);
    }

    fn evict(&mut self, now_ms: u64) {
        let mut removed = Vec::new();
        while self.entries.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else {
                break;
            };
            self.entries.remove(&block);
            removed.push(block);
        }
        if !removed.is_empty() {
            self.publish(now_ms, |sequence| CacheEvent::Removed {
                sequence,
                blocks: removed,
            });
        }
    }

    fn publish(&mut self, now_ms: u64, event: impl FnOnce(u64) -> CacheEvent) {
        self.last_sequence += 1;
        let lost = self.random.random_range(0..1_000) < self.loss_permille;
        self.events.push_back(PublishedEvent {
            sequence: self.last_sequence,
            visible_at_ms: now_ms + self.lag_ms,
            event: (!lost).then(|| event(self.last_sequence)),
        });
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}
