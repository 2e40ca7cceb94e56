//! Departures of targets as evidence of how their processes end.

use toucan_types::FastHashMap;

use crate::poison::TargetInstance;

use super::RecordPlace;

/// Time for which a departure is kept after the last record or message that names it. An answer that is still under way
/// may need it long after the target has left the table.
const KEPT_MS: u64 = 60_000;
/// Number of departures from which on old ones are removed.
const SWEEP_LEN: usize = 256;
/// Heartbeats without a registration after which the store deletes it.
const EXPIRY_HEARTBEATS: u64 = 3;

/// A record about a target, as this gateway has read it.
#[derive(Clone, Copy, Debug)]
pub struct RegistrationRead {
    /// Place of the record.
    pub place: RecordPlace,
    /// When the last complete read began that did not show the record, so that the record was accepted later.
    pub accepted_after_ms: u64,
    /// Current time.
    pub now_ms: u64,
}

/// Targets that leave as planned, or may, by their starts.
///
/// A process that exits and one that is killed close their connections alike. A planned exit comes only after the target
/// has told the store, and not before the drain limit has passed since.
#[derive(Clone, Debug, Default)]
pub struct PlannedDepartures {
    by_instance: FastHashMap<TargetInstance, PlannedDeparture>,
}

#[derive(Clone, Copy, Debug)]
struct PlannedDeparture {
    /// Earliest time at which the store can have accepted the first record of the departure.
    since_ms: u64,
    /// Place of the last record.
    place: RecordPlace,
    /// When the target can have written its last registration at the earliest; [`None`] if this gateway has not read that
    /// the target drains.
    last_written_after_ms: Option<u64>,
    /// Whether the registration was deleted while the target still wrote it.
    has_exited: bool,
    /// When the departure was last read or told.
    known_at_ms: u64,
}

impl PlannedDepartures {
    /// Records a registration that says that the target drains.
    pub fn record_draining(&mut self, instance: &TargetInstance, read: RegistrationRead) {
        let departure = self.entry(instance, read);
        let is_first = departure.last_written_after_ms.is_none();
        if is_first || departure.place < read.place {
            departure.last_written_after_ms = Some(read.accepted_after_ms);
        }
        departure.place = departure.place.max(read.place);
    }

    /// Records that a registration was deleted.
    ///
    /// A target that is killed writes nothing more, and the store deletes its registration only after three heartbeats. One
    /// that drains and whose registration is deleted sooner has exited as planned.
    pub fn record_deleted(
        &mut self,
        instance: &TargetInstance,
        heartbeat_ms: u64,
        read: RegistrationRead,
    ) {
        let departure = self.entry(instance, read);
        let expiry_ms = heartbeat_ms.saturating_mul(EXPIRY_HEARTBEATS);
        let is_before_expiry = departure
            .last_written_after_ms
            .is_some_and(|written_ms| read.now_ms < written_ms.saturating_add(expiry_ms));
        departure.has_exited |= is_before_expiry;
        departure.place = departure.place.max(read.place);
    }

    /// Records a departure that another gateway has told of.
    pub fn record_told(&mut self, instance: &TargetInstance, read: RegistrationRead) {
        let departure = self.entry(instance, read);
        departure.place = departure.place.max(read.place);
    }

    /// Records a registration that doesn't say that the target drains. If it is later than a deletion, the registration had
    /// expired while the store was away. A target that drains does not come back in the same start.
    pub fn record_in_service(&mut self, instance: &TargetInstance, place: RecordPlace) {
        let is_back = self
            .by_instance
            .get(instance)
            .is_some_and(|known| known.last_written_after_ms.is_none() && known.place < place);
        if is_back {
            self.by_instance.remove(instance);
        }
    }

    /// Returns whether the process of a target that has ended by `now_ms` may have exited as planned: it has been leaving for
    /// `drain_ms`, before which no planned exit comes.
    #[must_use]
    pub fn may_have_exited(&self, instance: &TargetInstance, drain_ms: u64, now_ms: u64) -> bool {
        self.leaving_ms(instance, now_ms)
            .is_some_and(|leaving_ms| leaving_ms >= drain_ms)
    }

    /// Returns the longest time for which a target can have been leaving; [`None`] if no departure is known.
    #[must_use]
    pub fn leaving_ms(&self, instance: &TargetInstance, now_ms: u64) -> Option<u64> {
        let departure = self.by_instance.get(instance)?;
        Some(now_ms.saturating_sub(departure.since_ms))
    }

    /// Returns whether a target has told the store that it drains.
    #[must_use]
    pub fn has_reported(&self, instance: &TargetInstance) -> bool {
        let departure = self.by_instance.get(instance);
        departure.is_some_and(|known| known.last_written_after_ms.is_some())
    }

    /// Returns whether a target is shown to have exited as planned.
    #[must_use]
    pub fn has_exited(&self, instance: &TargetInstance) -> bool {
        let departure = self.by_instance.get(instance);
        departure.is_some_and(|known| known.has_exited)
    }

    fn entry(
        &mut self,
        instance: &TargetInstance,
        read: RegistrationRead,
    ) -> &mut PlannedDeparture {
        if self.by_instance.len() >= SWEEP_LEN {
            self.by_instance.retain(|_instance, known| {
                read.now_ms.saturating_sub(known.known_at_ms) <= KEPT_MS
            });
        }
        let entry = self.by_instance.entry(instance.clone());
        let departure = entry.or_insert(PlannedDeparture {
            since_ms: read.accepted_after_ms,
            place: read.place,
            last_written_after_ms: None,
            has_exited: false,
            known_at_ms: read.now_ms,
        });
        departure.known_at_ms = read.now_ms;
        departure
    }
}
