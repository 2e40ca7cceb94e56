//! Fingerprints that were near at the end of one target only.

use std::collections::{VecDeque, hash_map::Entry};

use toucan_types::FastHashMap;

use super::{Fingerprint, SuspectCall, TargetEnd, TargetInstance, suspicion::SuspectEnd};

/// Maximum number of fingerprints that are kept.
const MAX_SIGHTS: usize = 24_576;
/// Maximum number of them from the end of one target, so that one end does not drive out the one before.
const MAX_SIGHTS_PER_END: usize = MAX_SIGHTS / 2;

/// Number of an end, in the order in which they became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndNumber(u64);

/// The suspect call in which a fingerprint was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Sight {
    end: EndNumber,
    /// Number of the call among the suspects of the end.
    call: u32,
    /// When the call was sent.
    sent_at_ms: u64,
}

/// The end of a target at which fingerprints were seen for the first time.
#[derive(Clone, Debug)]
struct FirstEnd {
    instance: TargetInstance,
    ended_at_ms: u64,
    /// Number of suspect calls that are known.
    calls: u32,
    /// Fingerprints that were seen first at this end.
    fingerprints: Vec<Fingerprint>,
}

/// Fingerprints that were near at the end of one target only, each with the call in which it was seen.
///
/// A target that ends holds many calls, and nearly all of their fingerprints never come again. They are kept
/// apart from those that were near at several ends, so that they cannot drive those out.
#[derive(Clone, Debug, Default)]
pub(super) struct FirstEnds {
    sights: FastHashMap<Fingerprint, Sight>,
    /// The ends, oldest first.
    ends: VecDeque<FirstEnd>,
    /// Number of the oldest end.
    first_number: u64,
}

impl FirstEnds {
    /// Returns whether no fingerprint is kept.
    pub(super) fn is_empty(&self) -> bool {
        self.sights.is_empty()
    }

    /// Returns the first sights of the fingerprints of a call, if they were at the end of another target.
    pub(super) fn earlier_sights(&self, call: &SuspectCall, end: &TargetEnd) -> Vec<Option<Sight>> {
        let sights = call.fingerprints.iter();
        let sights = sights.map(|fingerprint| self.sights.get(fingerprint).copied());
        sights
            .map(|sight| {
                sight.filter(|sight| {
                    self.get(sight.end)
                        .is_some_and(|known| known.instance != end.instance)
                })
            })
            .collect()
    }

    /// Returns the end at which a fingerprint was seen; [`None`] if it is no longer kept.
    pub(super) fn end_of(&self, sight: Sight) -> Option<SuspectEnd> {
        let end = self.get(sight.end)?;
        Some(SuspectEnd {
            instance: end.instance.clone(),
            sent_at_ms: sight.sent_at_ms,
            ended_at_ms: end.ended_at_ms,
        })
    }

    /// Records the fingerprints of a suspect call that are in `fresh`.
    pub(super) fn record(
        &mut self,
        call: &SuspectCall,
        fresh: impl Iterator<Item = Fingerprint>,
        end: &TargetEnd,
    ) {
        let position = self.position_of(end);
        let number = EndNumber(self.first_number + position as u64);
        let first_end = &mut self.ends[position];
        // Another gateway may have seen the same end sooner.
        first_end.ended_at_ms = first_end.ended_at_ms.min(end.ended_at_ms);
        first_end.calls += 1;
        let sight = Sight {
            end: number,
            call: first_end.calls,
            sent_at_ms: call.sent_at_ms,
        };
        for fingerprint in fresh {
            if first_end.fingerprints.len() >= MAX_SIGHTS_PER_END {
                break;
            }
            if let Entry::Vacant(vacant) = self.sights.entry(fingerprint) {
                vacant.insert(sight);
                first_end.fingerprints.push(fingerprint);
            }
        }
        while self.sights.len() > MAX_SIGHTS {
            self.forget_oldest();
        }
    }

    /// Forgets a fingerprint. Returns whether it was kept.
    pub(super) fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        self.sights.remove(fingerprint).is_some()
    }

    /// Forgets what was seen at an end that was none.
    pub(super) fn refute_end(&mut self, instance: &TargetInstance) {
        let position = self.ends.iter().position(|end| end.instance == *instance);
        if let Some(position) = position {
            self.clear(position);
        }
    }

    /// Forgets the ends before `ended_before_ms`.
    pub(super) fn forget_old(&mut self, ended_before_ms: u64) {
        while self
            .ends
            .front()
            .is_some_and(|end| end.ended_at_ms < ended_before_ms)
        {
            self.forget_oldest();
        }
    }

    fn get(&self, number: EndNumber) -> Option<&FirstEnd> {
        let position = number.0.checked_sub(self.first_number)?;
        self.ends.get(position as usize)
    }

    /// Returns the position of an end, which is added if it is new.
    fn position_of(&mut self, end: &TargetEnd) -> usize {
        // Reports of one end come shortly after each other.
        let mut ends = self.ends.iter();
        if let Some(position) = ends.rposition(|known| known.instance == end.instance) {
            return position;
        }
        self.ends.push_back(FirstEnd {
            instance: end.instance.clone(),
            ended_at_ms: end.ended_at_ms,
            calls: 0,
            fingerprints: Vec::new(),
        });
        self.ends.len() - 1
    }

    fn forget_oldest(&mut self) {
        self.clear(0);
        self.ends.pop_front();
        self.first_number += 1;
    }

    fn clear(&mut self, position: usize) {
        let number = EndNumber(self.first_number + position as u64);
        let Some(end) = self.ends.get_mut(position) else {
            return;
        };
        for fingerprint in std::mem::take(&mut end.fingerprints) {
            // It may have been removed, and seen again at a later end.
            if self
                .sights
                .get(&fingerprint)
                .is_some_and(|sight| sight.end == number)
            {
                self.sights.remove(&fingerprint);
            }
        }
    }
}

impl Sight {
    /// Returns whether two fingerprints were seen in the same call.
    pub(super) fn is_in_same_call(self, other: Self) -> bool {
        self.end == other.end && self.call == other.call
    }
}
