//! Software versions that the targets of each service have recently run.

use toucan_types::{FastHashMap, ServiceName, SoftwareVersion};

use crate::config::TargetEntry;

use super::MAX_STREAM_AGE_MS;

/// Time for which a version is remembered after its last registration. A target may send the first event
/// of a stream some time after its registration has ended, and the stream may be resumed later still.
const REMEMBERED_MS: u64 = 2 * MAX_STREAM_AGE_MS;
/// Longest time between the begins of two reads of the registrations in which no version can come and go unseen.
const MAX_READ_GAP_MS: u64 = 2_000;

/// Software versions of each service, with the times at which they were last registered.
///
/// They show which version began a stream if there was only one.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    last_seen_ms: FastHashMap<ServiceName, FastHashMap<SoftwareVersion, u64>>,
    /// Begins of the first and the last read of a series without gaps; [`None`] before the first read.
    watched: Option<(u64, u64)>,
}

impl VersionHistory {
    /// Records the targets that are known after a read of the registrations which began at `began_ms`.
    ///
    /// What was registered later may be missing, however late the answer arrives.
    pub fn record_read<'a>(
        &mut self,
        targets: impl IntoIterator<Item = &'a TargetEntry>,
        began_ms: u64,
    ) {
        let since_ms = match self.watched {
            Some((since_ms, last_ms)) if began_ms <= last_ms + MAX_READ_GAP_MS => since_ms,
            _ => began_ms,
        };
        self.watched = Some((since_ms, began_ms));
        for target in targets {
            self.record_version(&target.service, &target.software_version, began_ms);
        }
        for versions in self.last_seen_ms.values_mut() {
            versions.retain(|_version, seen_ms| began_ms <= *seen_ms + REMEMBERED_MS);
        }
    }

    /// Returns the version that began every stream of a service that was resumed at `resumed_ms`: the only one that was
    /// registered while the registrations were read without a gap, up to a read that began after the stream had broken
    /// off. A target that another gateway has read of may be new since the last read before that.
    ///
    /// [`None`] if there were several or none, or if one may have been missed.
    #[must_use]
    pub fn sole_version(&self, service: &ServiceName, resumed_ms: u64) -> Option<&SoftwareVersion> {
        if !self.is_gapless(resumed_ms) {
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

    /// Returns whether the registrations have been read without a gap from as long before `resumed_ms` as a stream may
    /// last until after it, so that no version was missed.
    fn is_gapless(&self, resumed_ms: u64) -> bool {
        self.watched.is_some_and(|(since_ms, last_ms)| {
            resumed_ms >= since_ms + REMEMBERED_MS && resumed_ms <= last_ms
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
