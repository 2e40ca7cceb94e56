//! Replay of the stream of one shard, from the beginning or from a snapshot.

use toucan_ledger::{ApplyError, Ledger, LedgerEvent, LedgerSettings, RecordBatch, SnapshotLoader};
use toucan_platform::LogEntry;
use toucan_types::Offset;

/// Effect of one stream record on the replayed ledger.
pub(super) struct AppliedEntry {
    /// The batch, if it could be decoded.
    pub(super) batch: Option<RecordBatch>,
    /// Events of the ledger.
    pub(super) events: Vec<LedgerEvent>,
}

/// Reading state of one stream.
pub(super) enum ShardReader {
    /// The ledger is complete up to its next offset.
    Following(Box<Ledger>),
    /// Older records have expired; a snapshot is being loaded.
    Loading(SnapshotLoader),
}

impl ShardReader {
    /// Returns a reader that starts at the first record of the stream.
    pub(super) fn new(settings: LedgerSettings) -> Self {
        Self::Following(Box::new(Ledger::new(settings)))
    }

    /// Restarts by searching for a snapshot.
    pub(super) fn search_snapshot(&mut self, settings: LedgerSettings) {
        *self = Self::Loading(SnapshotLoader::new(settings));
    }

    /// Returns the ledger, unless it is being loaded.
    pub(super) fn ledger(&self) -> Option<&Ledger> {
        match self {
            Self::Following(ledger) => Some(ledger),
            Self::Loading(_) => None,
        }
    }

    /// Applies one record; returns the offset to continue from if it is not the next one.
    pub(super) fn read(
        &mut self,
        entry: &LogEntry,
    ) -> Result<(AppliedEntry, Option<Offset>), ApplyError> {
        let batch = RecordBatch::decode(&entry.data);
        match self {
            Self::Following(ledger) => {
                let events = ledger.apply_decoded(
                    entry.offset,
                    entry.appended_at_ms,
                    entry.data.len(),
                    &batch,
                )?;
                Ok((
                    AppliedEntry {
                        batch: batch.ok(),
                        events,
                    },
                    None,
                ))
            }
            Self::Loading(loader) => {
                let nothing = AppliedEntry {
                    batch: None,
                    events: Vec::new(),
                };
                let Some(ledger) = batch.ok().and_then(|batch| loader.push(&batch)) else {
                    return Ok((nothing, None));
                };
                let from = ledger.next_offset();
                *self = Self::Following(Box::new(ledger));
                Ok((nothing, Some(from)))
            }
        }
    }
}
