//! Verdicts that are to be written to the store.

use toucan_types::FastHashMap;

use super::Fingerprint;

/// Shortest and longest time after which a gateway writes a verdict that another one should have
/// written.
const BACKUP_DELAY_MS: (u64, u64) = (1_000, 5_000);

/// Fingerprints whose verdicts, or the lack of one, this gateway writes to the store unless another gateway
/// does so first.
#[derive(Clone, Debug, Default)]
pub struct VerdictOutbox {
    due_ms: FastHashMap<Fingerprint, u64>,
}

impl VerdictOutbox {
    /// Schedules the write of a fingerprint that this gateway has decided on itself.
    pub fn push(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.due_ms.insert(fingerprint, now_ms);
    }

    /// Schedules the write of a fingerprint that another gateway has decided on, in case that gateway ends
    /// before it has written it. `seed` is random for this process.
    pub fn push_backup(&mut self, fingerprint: Fingerprint, seed: u64, now_ms: u64) {
        let (shortest_ms, longest_ms) = BACKUP_DELAY_MS;
        let delay_ms = shortest_ms + seed % (longest_ms - shortest_ms);
        self.due_ms.entry(fingerprint).or_insert(now_ms + delay_ms);
    }

    /// Records that the store has what is known of a fingerprint.
    pub fn remove(&mut self, fingerprint: Fingerprint) {
        self.due_ms.remove(&fingerprint);
    }

    /// Returns whether a write of a fingerprint is scheduled.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.due_ms.contains_key(&fingerprint)
    }

    /// Returns the fingerprints whose writes are due.
    #[must_use]
    pub fn due(&self, now_ms: u64) -> Vec<Fingerprint> {
        let due = self
            .due_ms
            .iter()
            .filter(|(_fingerprint, due_ms)| **due_ms <= now_ms);
        due.map(|(fingerprint, _due_ms)| *fingerprint).collect()
    }

    /// Returns when the next write is due; [`None`] if none is scheduled.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        self.due_ms.values().copied().min()
    }
}
