//! Admission of calls by the room that the VM has for them.

use crate::settings::VmResources;

/// Fraction of the link that bodies of calls may use. Answers and messages between gateways need the rest.
const LINK_FRACTION: f64 = 0.9;
/// Longest time for which the bodies that were admitted may occupy the link. Calls that come at random at
/// half of the capacity stay below it.
const MAX_LINK_BACKLOG_MS: f64 = 800.0;
/// Announced size of a body above which the rest counts once it was read. A caller who announces a large body
/// and does not send it must not keep others out.
const MAX_ANNOUNCED_BYTES: u64 = 256 * 1024;
/// Fraction of the memory that calls in progress may take.
const MEMORY_FRACTION: f64 = 0.4;
/// Memory that a call in progress takes: its body, and the buffers of two connections.
const BYTES_PER_CALL: f64 = 128.0 * 1024.0;
/// Fraction of the file descriptors that calls in progress may take.
const OPEN_FILES_FRACTION: f64 = 0.8;
/// File descriptors of a call in progress: the connections to its caller and to its target.
const FILES_PER_CALL: f64 = 2.0;
/// Time over which the utilisation of the link is averaged.
const UTILISATION_MS: f64 = 2_000.0;
/// Number of calls in progress that are always admitted.
const MIN_CALLS: u32 = 16;
/// Range of the time after which a refused caller may return. Its next attempt probably reaches another VM.
const RETURN_MS: std::ops::RangeInclusive<f64> = 50.0..=500.0;

/// This VM has no room for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom {
    /// Time until there may be room, in milliseconds.
    pub return_ms: u64,
}

/// Decides which calls this VM takes.
///
/// The body of a call crosses the link in both directions, once from the caller and once to the target.
/// Without a limit, each of them slows down all others, answers included, until callers give up.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallAdmission {
    resources: VmResources,
    /// When the link has sent the bodies that were admitted.
    link_free_at_ms: f64,
    /// Time for which the offered bodies occupy the link, with older ones counting less.
    offered_ms: f64,
    offered_at_ms: u64,
}

impl CallAdmission {
    /// Creates the admission for a VM with these resources, on which no calls are in progress.
    #[must_use]
    pub const fn new(resources: VmResources) -> Self {
        Self {
            resources,
            link_free_at_ms: 0.0,
            offered_ms: 0.0,
            offered_at_ms: 0,
        }
    }

    /// Admits a call that announces a body of `body_bytes`, while `calls_in_progress` others are in progress.
    ///
    /// Returns the bytes that were counted. [`Self::record_body`] counts the rest.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if the VM cannot carry another call now.
    pub fn admit(
        &mut self,
        calls_in_progress: u32,
        body_bytes: u64,
        now_ms: u64,
    ) -> Result<u64, NoRoom> {
        self.record_offered(body_bytes.min(MAX_ANNOUNCED_BYTES), now_ms);
        let backlog_ms = (self.link_free_at_ms - now_ms as f64).max(0.0);
        if backlog_ms > MAX_LINK_BACKLOG_MS || calls_in_progress >= self.max_calls() {
            let return_ms = backlog_ms.clamp(*RETURN_MS.start(), *RETURN_MS.end());
            return Err(NoRoom {
                return_ms: return_ms as u64,
            });
        }
        let counted = body_bytes.min(MAX_ANNOUNCED_BYTES);
        self.record_body(counted, now_ms);
        Ok(counted)
    }

    /// Counts bytes of a body.
    pub fn record_body(&mut self, bytes: u64, now_ms: u64) {
        let began_ms = self.link_free_at_ms.max(now_ms as f64);
        self.link_free_at_ms = began_ms + self.link_ms(bytes);
    }

    /// Returns the part of the link or of the places for calls that is in use, whichever is larger. It exceeds
    /// 1,000 if more is offered than the link can carry.
    #[must_use]
    pub fn utilisation_permille(&self, calls_in_progress: u32, now_ms: u64) -> u32 {
        let by_calls = f64::from(calls_in_progress) / f64::from(self.max_calls());
        let by_link = self.recent_offered_ms(now_ms) / UTILISATION_MS;
        (by_calls.max(by_link) * 1_000.0) as u32
    }

    fn record_offered(&mut self, bytes: u64, now_ms: u64) {
        self.offered_ms = self.recent_offered_ms(now_ms) + self.link_ms(bytes);
        self.offered_at_ms = now_ms;
    }

    fn recent_offered_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.offered_at_ms) as f64;
        self.offered_ms * (-age_ms / UTILISATION_MS).exp()
    }

    /// Returns the time for which a body occupies the link.
    fn link_ms(&self, bytes: u64) -> f64 {
        self.resources.link_bits_per_s.map_or(0.0, |bits_per_s| {
            let bytes_per_ms = bits_per_s * LINK_FRACTION / 8_000.0;
            bytes as f64 / bytes_per_ms
        })
    }

    /// Returns the number of calls that may be in progress.
    #[must_use]
    pub fn max_calls(&self) -> u32 {
        let memory = self.resources.memory_bytes;
        let by_memory = memory.map(|bytes| bytes as f64 * MEMORY_FRACTION / BYTES_PER_CALL);
        let open_files = self.resources.max_open_files;
        let by_files = open_files.map(|n| f64::from(n) * OPEN_FILES_FRACTION / FILES_PER_CALL);
        let limits = [by_memory, by_files].into_iter().flatten();
        (limits.fold(f64::INFINITY, f64::min) as u32).max(MIN_CALLS)
    }
}
