//! Reachability of other data centres.

use toucan_types::{DataCentreName, FastHashMap};

use super::member::short_hash;
use crate::DataCentreDigest;

/// Reachability of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentreView {
    /// Name of the data centre.
    pub name: DataCentreName,
    /// Time since it was last seen, in milliseconds; [`None`] if never.
    pub last_seen_age_ms: Option<u64>,
    /// Whether it counts as reachable.
    pub is_reachable: bool,
}

/// When other data centres were last seen.
#[derive(Clone, Debug, Default)]
pub(super) struct DataCentres {
    tracked: FastHashMap<DataCentreName, TrackedDataCentre>,
}

#[derive(Clone, Copy, Debug)]
struct TrackedDataCentre {
    id_hash: u32,
    known_since_ms: u64,
    last_seen_at_ms: Option<u64>,
}

impl DataCentres {
    pub(super) fn track(&mut self, name: &DataCentreName, now_ms: u64) {
        if self.tracked.contains_key(name) {
            return;
        }
        let tracked = TrackedDataCentre {
            id_hash: id_hash(name),
            known_since_ms: now_ms,
            last_seen_at_ms: None,
        };
        self.tracked.insert(name.clone(), tracked);
    }

    pub(super) fn record_seen(&mut self, name: &DataCentreName, last_seen_at_ms: u64) {
        if let Some(tracked) = self.tracked.get_mut(name) {
            tracked.record_seen(last_seen_at_ms);
        }
    }

    pub(super) fn apply_digests(&mut self, digests: &[DataCentreDigest], now_ms: u64) {
        for digest in digests {
            let tracked = self
                .tracked
                .values_mut()
                .find(|tracked| tracked.id_hash == digest.data_centre);
            if let Some(tracked) = tracked
                && let Some(last_seen_at_ms) = seen_at_ms(digest.age_100_ms, now_ms)
            {
                tracked.record_seen(last_seen_at_ms);
            }
        }
    }

    pub(super) fn digests(&self, now_ms: u64) -> Vec<DataCentreDigest> {
        let mut digests: Vec<DataCentreDigest> = self
            .tracked
            .values()
            .filter_map(|tracked| {
                let age_100_ms = age_100_ms(tracked.last_seen_at_ms?, now_ms)?;
                Some(DataCentreDigest {
                    data_centre: tracked.id_hash,
                    age_100_ms,
                })
            })
            .collect();
        digests.sort_unstable_by_key(|digest| digest.data_centre);
        digests
    }

    pub(super) fn names(&self) -> Vec<DataCentreName> {
        let mut names: Vec<DataCentreName> = self.tracked.keys().cloned().collect();
        names.sort_unstable();
        names
    }

    /// Returns the views of all data centres, ordered by name.
    pub(super) fn views(&self, lost_after_ms: u64, now_ms: u64) -> Vec<DataCentreView> {
        let mut views: Vec<DataCentreView> = self
            .tracked
            .iter()
            .map(|(name, tracked)| {
                let last_seen_at_ms = tracked.last_seen_at_ms.unwrap_or(tracked.known_since_ms);
                DataCentreView {
                    name: name.clone(),
                    last_seen_age_ms: tracked
                        .last_seen_at_ms
                        .map(|last_seen_at_ms| now_ms.saturating_sub(last_seen_at_ms)),
                    is_reachable: now_ms.saturating_sub(last_seen_at_ms) <= lost_after_ms,
                }
            })
            .collect();
        views.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        views
    }
}

impl TrackedDataCentre {
    fn record_seen(&mut self, last_seen_at_ms: u64) {
        self.last_seen_at_ms = Some(self.last_seen_at_ms.unwrap_or(0).max(last_seen_at_ms));
    }
}

fn id_hash(name: &DataCentreName) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_str().as_bytes());
    short_hash(&hasher)
}

/// Returns an age in the unit of heartbeats, rounded up; [`None`] if it is out of range.
pub(super) fn age_100_ms(last_seen_at_ms: u64, now_ms: u64) -> Option<u8> {
    let age = now_ms.saturating_sub(last_seen_at_ms).div_ceil(100);
    u8::try_from(age).ok().filter(|age| *age < u8::MAX)
}

/// Returns the time that an age from a heartbeat stands for; [`None`] if it is out of range.
pub(super) fn seen_at_ms(age_100_ms: u8, now_ms: u64) -> Option<u64> {
    if age_100_ms == u8::MAX {
        return None;
    }
    Some(now_ms.saturating_sub(u64::from(age_100_ms) * 100))
}
