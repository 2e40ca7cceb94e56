//! Loading of a snapshot from a stream whose older records have expired.

use toucan_types::{FastHashMap, IncarnationId, Offset};

use crate::snapshot::{SnapshotItem, item_digest};
use crate::{Ledger, LedgerRecord, LedgerSettings, RecordBatch, SnapshotPart};

/// Number of incomplete snapshots that are kept at once.
const MAX_INCOMPLETE: usize = 4;
/// Maximum size of one item. A length that the writer claims is not believed beyond it.
const MAX_ITEM_BYTES: usize = 1 << 20;

/// Maximum number of parts of one snapshot.
const MAX_PARTS: u32 = 1 << 16;

/// Loads the state from a complete snapshot in a stream whose older records have expired.
///
/// Push every batch that can still be read, starting at the first offset. Reading may start in the
/// middle of a snapshot; such a snapshot never becomes complete. Continue the returned ledger from
/// its [`Ledger::next_offset`]; if that offset has expired, continue pushing until a later
/// snapshot.
#[derive(Debug)]
pub struct SnapshotLoader {
    settings: LedgerSettings,
    incomplete: FastHashMap<(IncarnationId, Offset), Vec<Option<Vec<u8>>>>,
    damaged: u64,
}

impl SnapshotLoader {
    /// Creates a loader that has read nothing.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        Self {
            settings,
            incomplete: FastHashMap::default(),
            damaged: 0,
        }
    }

    /// Returns the number of snapshots that could not be decoded, did not match their digest or had
    /// too many parts.
    #[must_use]
    pub const fn damaged(&self) -> u64 {
        self.damaged
    }

    /// Processes the snapshot parts of one batch; returns the state once a snapshot is complete.
    pub fn push(&mut self, batch: &RecordBatch) -> Option<Ledger> {
        let mut loaded = None;
        for record in &batch.records {
            if let LedgerRecord::Snapshot(part) = record {
                loaded = self.push_part(part).or(loaded);
            }
        }
        loaded
    }

    fn push_part(&mut self, part: &SnapshotPart) -> Option<Ledger> {
        let key = (part.writer, part.up_to);
        if part.parts > MAX_PARTS {
            self.damaged += 1;
            return None;
        }
        let parts = part.parts as usize;
        if !self.incomplete.contains_key(&key) && self.incomplete.len() >= MAX_INCOMPLETE {
            let oldest = self
                .incomplete
                .keys()
                .min_by_key(|(_, up_to)| *up_to)
                .copied();
            self.incomplete.remove(&oldest?);
        }
        let bodies = self
            .incomplete
            .entry(key)
            .or_insert_with(|| vec![None; parts]);
        *bodies.get_mut(part.part as usize)? = Some(part.body.clone());
        if bodies.iter().any(Option::is_none) {
            return None;
        }
        let bodies = self.incomplete.remove(&key)?;
        let ledger = self.load(part, bodies.into_iter().flatten());
        if ledger.is_none() {
            self.damaged += 1;
        }
        ledger
    }

    fn load(&self, part: &SnapshotPart, bodies: impl Iterator<Item = Vec<u8>>) -> Option<Ledger> {
        let mut items: Vec<SnapshotItem> = Vec::new();
        let mut digest = 0_u128;
        for body in bodies {
            let mut rest = body.as_slice();
            while !rest.is_empty() {
                let settings = bincode::config::standard().with_limit::<MAX_ITEM_BYTES>();
                let (item, read) = bincode::serde::decode_from_slice(rest, settings).ok()?;
                digest = digest.wrapping_add(item_digest(&rest[..read]));
                items.push(item);
                rest = &rest[read..];
            }
        }
        (digest == part.digest)
            .then(|| Ledger::from_items(self.settings.clone(), part.up_to, items))
    }
}
