//! Software versions that the targets of each service have recently run.

use toucan_types::{FastHashMap, ServiceName, SoftwareVersion};

use crate::config::TargetEntry;

use super::MAX_STREAM_AGE_MS;

/// Time for which a version is remembered after its last registration. A target may send the first event
/// of a stream some time after its registration has ended, and the stream may be resumed later still.
const REMEMBERED_MS: u64 = 2 * MAX_STREAM_AGE_MS;
/// Longest time between two reads of the registrations in which no version can come and go unseen.
const MAX_READ_GAP_MS: u64 = 2_000;

/// Software versions of each service, with the times at which they were last registered.
///
/// They show which version began a stream if there was only one.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    last_seen_ms: FastHashMap<ServiceName, FastHashMap<SoftwareVersion, u64>>,
    /// First and last read of a series without gaps; [`None`] before the first read.
    watched: Option<(u64, u64)>,
}

impl VersionHistory {
    /// Records the targets that are known after a read of the registrations.
    pub fn record_read<'a>(
        &mut self,
        targets: impl IntoIterator<Item = &'a TargetEntry>,
        now_ms: u64,
    ) {
        let since_ms = match self.watched {
            Some((since_ms, last_ms)) if now_ms <= last_ms + MAX_READ_GAP_MS => since_ms,
            _ => now_ms,
        };
        self.watched = Some((since_ms, now_ms));
        for target in targets {
            self.record_version(&target.service, &target.software_version, now_ms);
        }
        for versions in self.last_seen_ms.values_mut() {
            versions.retain(|_version, seen_ms| now_ms <= *seen_ms + REMEMBERED_MS);
        }
    }

    /// Returns the version that began every stream of a service that may still be resumed: the only one
    /// that was registered while the registrations were read without a gap.
    ///
    /// [`None`] if there were several or none, or if one may have been missed.
    #[must_use]
    pub fn sole_version(&self, service: &ServiceName, now_ms: u64) -> Option<&SoftwareVersion> {
        if !self.is_gapless(now_ms) {
            return None;
        }
        let mut versions = self.last_seen_ms.get(service)?.keys();
        let only = versions.next()?;
        versions.next().is_none().then_some(only)
    }

    /// Returns whether several versions of a service were registered while a stream may last.
    #[must_use]
    pub fn has_several_versions(&self) -> bool {
        let mut services = self.last_seen_ms.values();
        services.any(|versions| versions.len() > 1)
    }

    /// Returns whether the registrations have been read without a gap for as long as a stream may
    /// last, so that no version was missed.
    fn is_gapless(&self, now_ms: u64) -> bool {
        self.watched.is_some_and(|(since_ms, last_ms)| {
            now_ms >= since_ms + REMEMBERED_MS && now_ms <= last_ms + MAX_READ_GAP_MS
        })
    }

    fn record_version(&mut self, service: &ServiceName, version: &SoftwareVersion, now_ms: u64) {
        let versions = self.last_seen_ms.get_mut(service);
        if let Some(seen_ms) = versions.and_then(|versions| versions.get_mut(version)) {
            *seen_ms = now_ms;
            return;
        }
        let versions = self.last_seen_ms.entry(service.clone()).or_default();
        versions.insert(version.clone(), now_ms);
    }
}
