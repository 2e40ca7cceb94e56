//! Departures of targets that a gateway knows of, in the order of the store's log.

use std::collections::VecDeque;

use toucan_types::TargetName;

use super::{Departure, RecordPlace};

/// Time for which a departure is kept. A gateway that lags behind for longer has to read the store itself.
const KEPT_MS: u64 = 60_000;
/// Maximum number of departures in one answer, which bounds the size of the datagram.
const MAX_ANSWERED: usize = 128;

/// Question of a gateway that has not read the store lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DepartureQuery {
    /// When the gateway asks, by its own clock. The answer repeats it.
    pub asked_at_ms: u64,
    /// Place up to which it knows all departures.
    pub after: RecordPlace,
}

/// Answer to a [`DepartureQuery`]: all departures after one place and up to another one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct DepartureAnswer {
    /// When the gateway asked that is answered, by its clock.
    pub asked_at_ms: u64,
    /// Place after which the departures are listed without a gap.
    pub after: RecordPlace,
    /// Place up to which they are.
    pub up_to: RecordPlace,
    /// Time since the sender knew that there were no later ones; [`None`] if there are, and the answer is cut short.
    pub age_ms: Option<u64>,
    /// Departures, ordered by place.
    pub departures: Vec<Departure>,
}

/// Departures that this gateway knows of, with the part of the log for which they are complete.
///
/// A gateway that reads the store late asks others for what it is missing. What they have read is a fact with a place in
/// the log, so that answers need no agreement, may be repeated, and may be passed on.
#[derive(Clone, Debug, Default)]
pub struct DepartureHistory {
    /// Departures by place, with the time at which they were recorded.
    known: VecDeque<(u64, Departure)>,
    /// Ends of registrations that may be due to an outage of the store.
    uncertain: Vec<Departure>,
    complete: Option<CompletePart>,
}

/// The part of the log of which all departures are known.
#[derive(Clone, Copy, Debug)]
struct CompletePart {
    after: RecordPlace,
    up_to: RecordPlace,
}

impl DepartureHistory {
    /// Returns the place up to which all departures are known; [`None`] before the first read of the store.
    #[must_use]
    pub fn known_to(&self) -> Option<RecordPlace> {
        self.complete.map(|part| part.up_to)
    }

    /// Adds a departure that was read or told at `now_ms`, and forgets old ones.
    pub fn record(&mut self, departure: Departure, now_ms: u64) {
        self.uncertain.retain(|other| !is_same(other, &departure));
        if self
            .known
            .iter()
            .any(|(_at_ms, other)| is_same(other, &departure) && other.place >= departure.place)
        {
            return;
        }
        self.known
            .retain(|(_at_ms, other)| !is_same(other, &departure));
        let at = self
            .known
            .partition_point(|(_at_ms, other)| other.place <= departure.place);
        self.known.insert(at, (now_ms, departure));
        self.forget_old(now_ms);
    }

    /// Adds the end of a registration that may be due to an outage of the store: the target may still live.
    pub fn record_uncertain(&mut self, departure: Departure) {
        if !self
            .uncertain
            .iter()
            .any(|other| is_same(other, &departure))
        {
            self.uncertain.push(departure);
        }
    }

    /// Returns the end of a registration that was uncertain, once the target has not registered again in time.
    pub fn take_uncertain(&mut self, target: &TargetName) -> Option<Departure> {
        let at = self
            .uncertain
            .iter()
            .position(|departure| departure.target == *target)?;
        Some(self.uncertain.swap_remove(at))
    }

    /// Takes back what was recorded of a target's leaving before the record at `place`, which registers it.
    pub fn record_registration(
        &mut self,
        target: &TargetName,
        started_at_unix_ms: u64,
        place: RecordPlace,
    ) {
        let is_outdated = |departure: &Departure| {
            departure.target == *target
                && departure.started_at_unix_ms == started_at_unix_ms
                && departure.place < place
        };
        self.known
            .retain(|(_at_ms, departure)| !is_outdated(departure));
        self.uncertain
            .retain(|departure| departure.target != *target);
    }

    /// Records that this gateway has read the store up to `place`. Returns whether all departures up to there are known:
    /// none is left that may be due to an outage.
    pub fn record_read(&mut self, place: RecordPlace) -> bool {
        if !self.uncertain.is_empty() {
            return false;
        }
        let after = self.complete.map_or(place, |part| part.after);
        let up_to = self
            .known_to()
            .map_or(place, |known_to| known_to.max(place));
        self.complete = Some(CompletePart { after, up_to });
        true
    }

    /// Answers another gateway; [`None`] if this one has not read the store yet. `age_ms` is the time since it knew that
    /// there are no later departures than those it lists.
    #[must_use]
    pub fn answer(&self, query: DepartureQuery, age_ms: u64) -> Option<DepartureAnswer> {
        let part = self.complete?;
        let after = query.after.max(part.after);
        let listed: Vec<&Departure> = self
            .known
            .iter()
            .map(|(_at_ms, departure)| departure)
            .filter(|departure| after < departure.place && departure.place <= part.up_to)
            .collect();
        let cut = listed.get(MAX_ANSWERED).map(|departure| departure.place);
        let departures = listed
            .into_iter()
            .take(MAX_ANSWERED)
            .filter(|departure| cut.is_none_or(|cut| departure.place < cut));
        let departures: Vec<Departure> = departures.cloned().collect();
        let up_to = match cut {
            // The next answer continues after the last place that was listed whole.
            Some(_place) => departures.last().map_or(after, |last| last.place),
            None => part.up_to,
        };
        Some(DepartureAnswer {
            asked_at_ms: query.asked_at_ms,
            after,
            up_to: up_to.max(after),
            age_ms: cut.is_none().then_some(age_ms),
            departures,
        })
    }

    /// Adds the departures of an answer that came at `now_ms`. Returns whether this gateway now knows all up to where the
    /// answer ends: nothing is missing between what it knew and what is listed.
    pub fn accept(&mut self, answer: &DepartureAnswer, now_ms: u64) -> bool {
        for departure in &answer.departures {
            self.record(departure.clone(), now_ms);
        }
        let Some(part) = &mut self.complete else {
            return false;
        };
        let continues = answer.after <= part.up_to;
        if continues {
            part.up_to = part.up_to.max(answer.up_to);
        }
        continues
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some((at_ms, departure)) = self.known.front()
            && now_ms.saturating_sub(*at_ms) > KEPT_MS
        {
            if let Some(part) = &mut self.complete {
                part.after = part.after.max(departure.place);
            }
            self.known.pop_front();
        }
    }
}

fn is_same(one: &Departure, other: &Departure) -> bool {
    one.target == other.target && one.started_at_unix_ms == other.started_at_unix_ms
}
