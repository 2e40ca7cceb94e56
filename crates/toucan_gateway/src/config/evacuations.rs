//! Data centres whose targets get no calls until the operators withdraw the order.

use toucan_types::{DataCentreName, FastHashMap, FastHashSet, Offset};

/// Evacuated data centres, each with the time at which this process learned of it.
///
/// The records of the store decide, unless the store has come back from an older copy: that it lost the
/// record of an evacuation does not mean that the evacuation is over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    by_data_centre: FastHashMap<DataCentreName, Evacuation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evacuation {
    since_ms: u64,
    /// If the store has lost the record in a restore: the offset from which on its records were written
    /// after the restore.
    lost_before: Option<Offset>,
}

impl Evacuations {
    /// Applies the record of an evacuation. Returns whether it was not known.
    pub fn begin(&mut self, data_centre: DataCentreName, now_ms: u64) -> bool {
        let mut is_new = false;
        let evacuation = self.by_data_centre.entry(data_centre).or_insert_with(|| {
            is_new = true;
            Evacuation {
                since_ms: now_ms,
                lost_before: None,
            }
        });
        evacuation.lost_before = None;
        is_new
    }

    /// Applies the deletion of an evacuation's key at an offset. Returns the start time of the evacuation if
    /// this ends it.
    ///
    /// A deletion that a restored store has kept from before an evacuation does not end it.
    pub fn end(&mut self, data_centre: &DataCentreName, offset: Offset) -> Option<u64> {
        let known = self.by_data_centre.get(data_centre)?;
        let is_outdated = known.lost_before.is_some_and(|restored| offset < restored);
        if is_outdated {
            return None;
        }
        let ended = self.by_data_centre.remove(data_centre)?;
        Some(ended.since_ms)
    }

    /// Removes what a snapshot of the store does not list, apart from what the store has lost in a restore.
    /// Returns the ended evacuations with their start times.
    pub fn retain_listed(
        &mut self,
        listed: &FastHashSet<DataCentreName>,
    ) -> Vec<(DataCentreName, u64)> {
        let mut ended = Vec::new();
        self.by_data_centre.retain(|name, evacuation| {
            let is_kept = evacuation.lost_before.is_some() || listed.contains(name);
            if !is_kept {
                ended.push((name.clone(), evacuation.since_ms));
            }
            is_kept
        });
        ended
    }

    /// Marks what a snapshot of a restored store does not list as lost by the store. The snapshot ends at
    /// `end`.
    pub fn keep_unlisted(&mut self, listed: &FastHashSet<DataCentreName>, end: Offset) {
        for (name, evacuation) in &mut self.by_data_centre {
            if !listed.contains(name) {
                evacuation.lost_before = Some(end);
            }
        }
    }

    /// Returns whether the targets of a data centre get no calls.
    #[must_use]
    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// Returns whether no data centre is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_data_centre.is_empty()
    }

    /// Returns the evacuated data centres with the start time of each, ordered by name.
    #[must_use]
    pub fn sorted(&self) -> Vec<(&DataCentreName, u64)> {
        let entries = self.by_data_centre.iter();
        let mut entries: Vec<_> = entries.map(|(name, e)| (name, e.since_ms)).collect();
        entries.sort_unstable();
        entries
    }
}
