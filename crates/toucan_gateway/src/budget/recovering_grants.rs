//! Grants that outlive a restore of the log from an older copy.

use std::collections::BTreeSet;

use super::{GrantKey, GrantRecord, GrantTable};

/// The grants in one partition, with those that a restored log has lost.
///
/// A restored log lacks its newest records. What this process had read of them stays in the table, and
/// is to be written again.
#[derive(Clone, Debug, Default)]
pub struct RecoveringGrants {
    table: GrantTable,
    lost: BTreeSet<GrantKey>,
}

impl RecoveringGrants {
    /// Returns the newest known record of each owner.
    #[must_use]
    pub const fn table(&self) -> &GrantTable {
        &self.table
    }

    /// Applies a record that was appended; [`None`] if its key was deleted.
    pub fn apply(&mut self, key: GrantKey, record: Option<GrantRecord>) {
        let is_outdated = match &record {
            // A late append can succeed after a restore, if its expected offset is given out again.
            Some(record) => self.table.has_newer(&key, record),
            // The process that deleted the record had read an older one.
            None => self.lost.contains(&key),
        };
        if is_outdated {
            self.lost.insert(key);
            return;
        }
        self.lost.remove(&key);
        self.table.apply(key, record);
    }

    /// Replaces the grants by a snapshot of the log, but for those that are to be written again.
    pub fn load(&mut self, records: impl IntoIterator<Item = (GrantKey, Option<GrantRecord>)>) {
        if self.has_lost_records() {
            self.load_restored(records);
        } else {
            self.replace(records);
        }
    }

    /// Replaces the grants by a snapshot of a log that has come back from an older copy, and keeps
    /// what is known to be newer.
    pub fn load_restored(
        &mut self,
        records: impl IntoIterator<Item = (GrantKey, Option<GrantRecord>)>,
    ) {
        let known = std::mem::take(&mut self.table);
        self.replace(records);
        self.lost.extend(self.table.recover(&known));
    }

    fn replace(&mut self, records: impl IntoIterator<Item = (GrantKey, Option<GrantRecord>)>) {
        *self = Self::default();
        for (key, record) in records {
            self.apply(key, record);
        }
    }

    /// Returns the records that are to be written again.
    pub fn lost_records(&self) -> impl Iterator<Item = (GrantKey, Option<GrantRecord>)> {
        self.lost.iter().map(|key| {
            let record = self.table.record(&key.organisation, &key.owner);
            (key.clone(), record)
        })
    }

    /// Returns whether records are to be written again.
    #[must_use]
    pub fn has_lost_records(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Records that all lost records were written again.
    pub fn record_rewritten(&mut self) {
        self.lost.clear();
    }
}
