//! One engine: continuous batch, serial prefill, prefix cache in least-recently-used order.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

/// Constants of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineSettings {
    pub(crate) batch_limit: u32,
    pub(crate) prefill_tokens_per_s: u64,
    /// Time between two tokens of a request alone in the batch.
    pub(crate) step_us: u64,
    /// Time that each further request in the batch adds to a step.
    pub(crate) step_per_request_us: u64,
    pub(crate) cache_blocks: usize,
    pub(crate) block_tokens: u64,
    /// Factor on all times in thousandths; 1,000 is a healthy engine.
    pub(crate) slowness_permille: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            batch_limit: 48,
            prefill_tokens_per_s: 12_000,
            step_us: 12_000,
            step_per_request_us: 250,
            cache_blocks: 16_000,
            block_tokens: 16,
            slowness_permille: 1_000,
        }
    }
}

/// One request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: usize,
    pub(crate) blocks: Arc<[u64]>,
    /// Blocks that the answer adds, which the engine caches too.
    pub(crate) answer_blocks: Arc<[u64]>,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) priority: i32,
}

/// What an engine does next.
#[derive(Clone, Debug)]
pub(crate) enum EngineStep {
    /// The prefill of this request ends at the given time, with so many tokens from the cache.
    Prefilling {
        job: Job,
        cached_tokens: u64,
        at_us: u64,
    },
    /// The last token of this request comes at the given time.
    Decoding { job: Job, at_us: u64 },
}

/// Change of the cache for the events.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheDiff {
    pub(crate) stored: Vec<u64>,
    pub(crate) removed: Vec<u64>,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) running: u32,
    waiting: VecDeque<Job>,
    prefill_queue: VecDeque<Job>,
    prefilling: bool,
    cache: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_use: u64,
    /// Integral of the running requests over time, for the spread of load.
    pub(crate) busy_request_us: u64,
    busy_since_us: u64,
}

impl Engine {
    pub(crate) fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            running: 0,
            waiting: VecDeque::new(),
            prefill_queue: VecDeque::new(),
            prefilling: false,
            cache: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
            busy_request_us: 0,
            busy_since_us: 0,
        }
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Adds up the running requests until now.
    pub(crate) fn accumulate_busy_time(&mut self, now_us: u64) {
        self.busy_request_us += u64::from(self.running) * (now_us - self.busy_since_us);
        self.busy_since_us = now_us;
    }

    pub(crate) fn arrive(&mut self, job: Job, now_us: u64) -> Option<EngineStep> {
        self.accumulate_busy_time(now_us);
        if self.running >= self.settings.batch_limit {
            self.waiting.push_back(job);
            return None;
        }
        self.running += 1;
        self.prefill_queue.push_back(job);
        self.next_prefill(now_us)
    }

    /// Starts the next prefill if none runs.
    fn next_prefill(&mut self, now_us: u64) -> Option<EngineStep> {
        if self.prefilling {
            return None;
        }
        let job = self.prefill_queue.pop_front()?;
        self.prefilling = true;
        let cached = job
            .blocks
            .iter()
            .take_while(|block| self.cache.contains_key(block))
            .count();
        let cached_tokens = cached as u64 * self.settings.block_tokens;
        let fresh_tokens = job.prompt_tokens.saturating_sub(cached_tokens).max(1);
        let prefill_us = fresh_tokens * 1_000_000 / self.settings.prefill_tokens_per_s;
        let prefill_us = prefill_us * self.settings.slowness_permille / 1_000;
        Some(EngineStep::Prefilling {
            job,
            cached_tokens,
            at_us: now_us + prefill_us + self.step_us(),
        })
    }

    /// Ends a prefill: the first token goes out, the decode starts, the next prefill starts.
    pub(crate) fn finish_prefill(
        &mut self,
        job: Job,
        now_us: u64,
    ) -> (EngineStep, Option<EngineStep>, CacheDiff) {
        self.prefilling = false;
        let mut diff = CacheDiff::default();
        self.store(&job.blocks.clone(), &mut diff);
        let decode_us = job.output_tokens.saturating_sub(1) * self.step_us();
        let decode = EngineStep::Decoding {
            at_us: now_us + decode_us,
            job,
        };
        (decode, self.next_prefill(now_us), diff)
    }

    /// Ends a request: its place goes to one that waits.
    pub(crate) fn finish_request(
        &mut self,
        job: &Job,
        now_us: u64,
    ) -> (Option<EngineStep>, CacheDiff) {
        let mut diff = CacheDiff::default();
        self.store(&job.answer_blocks.clone(), &mut diff);
        (self.release_slot(now_us), diff)
    }

    /// Takes a request out; one whose prefill runs leaves when that ends.
    ///
    /// The caller drops the request's later events.
    pub(crate) fn cancel(
        &mut self,
        id: usize,
        is_decoding: bool,
        now_us: u64,
    ) -> Option<EngineStep> {
        self.accumulate_busy_time(now_us);
        self.waiting.retain(|job| job.id != id);
        let queued = self.prefill_queue.len();
        self.prefill_queue.retain(|job| job.id != id);
        if self.prefill_queue.len() == queued && !is_decoding {
            return None;
        }
        self.release_slot(now_us)
    }

    /// Frees a place in the batch for a request that waits.
    pub(crate) fn release_slot(&mut self, now_us: u64) -> Option<EngineStep> {
        self.accumulate_busy_time(now_us);
        self.running -= 1;
        let next = self.waiting.pop_front()?;
        self.running += 1;
        self.prefill_queue.push_back(next);
        self.next_prefill(now_us)
    }

    fn step_us(&self) -> u64 {
        let settings = &self.settings;
        let step_us = settings.step_us + u64::from(self.running) * settings.step_per_request_us;
        step_us * settings.slowness_permille / 1_000
    }

    fn store(&mut self, blocks: &[u64], diff: &mut CacheDiff) {
        // Later blocks first, so that a prefix outlives what hangs on it.
        for block in blocks.iter().rev() {
            self.next_use += 1;
            match self.cache.insert(*block, self.next_use) {
                Some(last_use) => {
                    self.by_use.remove(&last_use);
                }
                None => diff.stored.push(*block),
            }
            self.by_use.insert(self.next_use, *block);
        }
        while self.cache.len() > self.settings.cache_blocks {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.cache.remove(&block);
            diff.removed.push(block);
        }
    }
}
