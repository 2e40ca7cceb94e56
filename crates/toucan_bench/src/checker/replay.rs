//! Effective bills, computed from the log alone.
//!
//! A record is effective if its sequence number is the next one of its incarnation in its stream and
//! the incarnation was not released before. Of several bills with one identifier, the one with the
//! most tokens is effective.

use std::collections::BTreeMap;

use toucan_types::FastHashMap;

use crate::history::{History, LoggedRecord};

/// Effective bill.
#[derive(Clone, Debug)]
pub(crate) struct EffectiveBill<'a> {
    pub(crate) budget: &'a str,
    pub(crate) tokens: u64,
    /// Number of later bills with the same identifier.
    pub(crate) duplicates: u64,
}

/// Effective bills by identifier, and their sum for each budget.
pub(crate) struct Replay<'a> {
    pub(crate) bills: FastHashMap<&'a str, EffectiveBill<'a>>,
    pub(crate) spent_tokens: BTreeMap<&'a str, u64>,
}

impl<'a> Replay<'a> {
    pub(crate) fn new(history: &'a History) -> Self {
        let mut replay = Self {
            bills: FastHashMap::default(),
            spent_tokens: BTreeMap::new(),
        };
        let releases = history.releases.iter().map(|release| {
            let key = (release.stream.as_str(), release.incarnation);
            (key, release.offset)
        });
        // The first release of an incarnation is the effective one.
        let mut released: FastHashMap<(&str, u64), u64> = FastHashMap::default();
        for (key, offset) in releases {
            let first = released.entry(key).or_insert(offset);
            *first = offset.min(*first);
        }
        let mut next_sequence: FastHashMap<(&str, u64), u64> = FastHashMap::default();
        for record in &history.records {
            let key = (record.stream.as_str(), record.incarnation);
            let expected = next_sequence.entry(key).or_insert(1);
            let is_released = released
                .get(&key)
                .is_some_and(|offset| *offset < record.offset);
            if record.sequence == *expected && !is_released {
                *expected += 1;
                replay.add_bills(record);
            }
        }
        replay
    }

    fn add_bills(&mut self, record: &'a LoggedRecord) {
        for entry in &record.bills {
            if let Some(effective) = self.bills.get_mut(entry.bill.as_str()) {
                effective.duplicates += 1;
                let more_tokens = entry.tokens.saturating_sub(effective.tokens);
                effective.tokens += more_tokens;
                *self.spent_tokens.entry(&entry.budget).or_default() += more_tokens;
                continue;
            }
            let effective = EffectiveBill {
                budget: &entry.budget,
                tokens: entry.tokens,
                duplicates: 0,
            };
            self.bills.insert(&entry.bill, effective);
            *self.spent_tokens.entry(&entry.budget).or_default() += entry.tokens;
        }
    }
}
