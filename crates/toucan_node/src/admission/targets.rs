//! Updates of the target table from the target list, load reports and cache events.

use toucan_platform::formats::{CacheEvent, CacheEventPage, EngineLoad, EngineRole};
use toucan_router::{CacheChange, DrainSource, LoadReport, ModelKey, TargetIndex, TargetRole};
use toucan_types::{FastHashSet, TargetName};

use super::{AdmissionDuty, KnownTarget};

impl AdmissionDuty {
    /// Applies the list of known targets; those no longer listed receive no new requests.
    pub(super) fn apply_targets(&mut self, targets: Vec<KnownTarget>, now_ms: u64) {
        let mut known = FastHashSet::default();
        for target in targets {
            let index = self.table.upsert(target.description);
            known.insert(index);
            self.addresses.insert(index, target.address);
            let platform = target.leaving_by_platform;
            self.table
                .set_draining(index, DrainSource::Platform, platform, now_ms);
            let operator = target.drained_by_operator;
            self.table
                .set_draining(index, DrainSource::Operator, operator, now_ms);
        }
        self.remove_unlisted(&known, now_ms);
        self.dispatch_queued(now_ms);
    }

    fn remove_unlisted(&mut self, known: &FastHashSet<TargetIndex>, now_ms: u64) {
        let gone: Vec<(TargetIndex, u32)> = self
            .table
            .iter()
            .filter(|(index, _)| !known.contains(index))
            .map(|(index, target)| (index, target.in_flight()))
            .collect();
        for (index, in_flight) in gone {
            // A target with requests in flight drains before it is removed.
            if in_flight > 0 {
                self.table
                    .set_draining(index, DrainSource::Platform, true, now_ms);
                continue;
            }
            self.table.remove(index);
            self.addresses.remove(&index);
        }
    }

    /// Applies a load report of a target.
    pub(super) fn apply_load(&mut self, target: &TargetName, load: &EngineLoad, now_ms: u64) {
        let Some(index) = self.table.index(target) else {
            return;
        };
        self.table.apply_report(index, &load_report(load), now_ms);
        self.dispatch_queued(now_ms);
    }

    /// Applies cache events of a target.
    pub(super) fn apply_cache_events(
        &mut self,
        target: &TargetName,
        page: &CacheEventPage,
        now_ms: u64,
    ) {
        let Some(index) = self.table.index(target) else {
            return;
        };
        if self
            .table
            .last_cache_sequence(index)
            .is_some_and(|last| page.last_sequence < last)
        {
            self.table.record_engine_restart(index, now_ms);
        }
        for event in &page.events {
            let (sequence, change) = match event {
                CacheEvent::Stored { sequence, blocks } => (*sequence, CacheChange::Stored(blocks)),
                CacheEvent::Removed { sequence, blocks } => {
                    (*sequence, CacheChange::Removed(blocks))
                }
                CacheEvent::Cleared { sequence } => (*sequence, CacheChange::Cleared),
            };
            self.table
                .apply_cache_event(index, sequence, &change, now_ms);
        }
    }
}

fn load_report(load: &EngineLoad) -> LoadReport {
    LoadReport {
        as_of_ms: load.as_of_ms,
        running: load.running,
        waiting: load.waiting,
        batch_limit: load.batch_limit,
        kv_used_permille: load.kv_used_permille,
        tokens_per_s: load.tokens_per_s,
        models: load
            .models
            .iter()
            .map(|model| ModelKey::parse(model))
            .collect(),
        role: target_role(load.role),
        draining: load.leaving,
    }
}

/// Converts the role in a load report.
pub(crate) fn target_role(role: EngineRole) -> TargetRole {
    match role {
        EngineRole::Both => TargetRole::Both,
        EngineRole::Prefill => TargetRole::Prefill,
        EngineRole::Decode => TargetRole::Decode,
    }
}
