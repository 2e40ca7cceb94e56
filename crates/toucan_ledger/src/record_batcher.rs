//! Batching of the records of many nodes for one stream.

use std::collections::VecDeque;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use toucan_types::{BillId, FastHashMap, FastHashSet, IncarnationId, Offset, Sequence};

use crate::record_batch::encode_record;
use crate::{
    BatchError, IncarnationStatus, JournalAnswer, Ledger, LedgerRecord, OpenReservation,
    RecordBatch,
};

/// Settings of a [`RecordBatcher`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecordBatcherSettings {
    /// Minimum time between two appends, in milliseconds.
    pub append_interval_ms: u64,
    /// Time to wait for reading back a batch whose append has an unknown outcome before its records
    /// are appended again, in milliseconds.
    pub unknown_wait_ms: u64,
    /// Time after a successful append until records that were not read back are appended again, in
    /// milliseconds.
    pub reappend_after_ms: u64,
    /// Minimum time between a refused append and the next one, in milliseconds.
    pub refused_wait_ms: u64,
    /// Maximum bytes of records in one batch; a larger record is sent alone.
    pub max_batch_bytes: usize,
    /// Maximum bytes of waiting records.
    pub max_waiting_bytes: usize,
    /// Maximum number of stored open reservations.
    pub max_open_reservations: usize,
}

impl Default for RecordBatcherSettings {
    fn default() -> Self {
        Self {
            append_interval_ms: 100,
            unknown_wait_ms: 500,
            reappend_after_ms: 3_000,
            refused_wait_ms: 200,
            max_batch_bytes: 256 << 10,
            max_waiting_bytes: 32 << 20,
            max_open_reservations: 200_000,
        }
    }
}

/// Outcome of one append as its writer saw it; only reading the log shows what took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log returned an offset.
    Appended,
    /// The log reported that it did not append.
    Refused,
    /// No response: the batch may or may not be in the log.
    Unknown,
}

/// Why a [`RecordBatcher`] rejected records.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BatcherError {
    /// the batcher's memory is full
    Full,
    /// records of incarnation {incarnation} start at {found}, number {expected} comes next
    Gap {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Sequence number that comes next.
        expected: Sequence,
        /// Sequence number of the first record.
        found: Sequence,
    },
    /// a record carries no number of incarnation {0}
    Foreign(IncarnationId),
    /// a record cannot be encoded: {0}
    Encoding(BatchError),
}

impl std::error::Error for BatcherError {}

#[derive(Clone, Debug)]
struct WaitingRecord {
    record: LedgerRecord,
    bytes: usize,
    /// Numbers of the batches that contained it.
    sent_in: Vec<u64>,
    /// Whether the next batch has to contain it.
    due: bool,
}

/// Batches the records of many nodes for one stream, to be appended at a bounded rate.
///
/// The node that keeps a copy of an incarnation's records is called its holder. A record stays
/// until it is read back from the log, whatever the outcome of the append. The records of one
/// incarnation keep their order: a batch with an unknown outcome is read back or appended again
/// before any later record is sent.
#[derive(Clone, Debug)]
pub struct RecordBatcher {
    settings: RecordBatcherSettings,
    writer: IncarnationId,
    next_number: u64,
    queue: VecDeque<WaitingRecord>,
    waiting_bytes: usize,
    /// Last number held without a gap.
    collected: FastHashMap<IncarnationId, Sequence>,
    /// Offset of the last [`Self::confirm`].
    confirmed: FastHashMap<IncarnationId, Offset>,
    /// Incarnations whose last records were rejected, so this holder may lack some of them.
    incomplete: FastHashSet<IncarnationId>,
    open_reservations: FastHashMap<IncarnationId, FastHashMap<BillId, OpenReservation>>,
    open_reservation_count: usize,
    /// Number of the batch whose append has not returned.
    in_flight: Option<u64>,
    /// Number of a batch with an unknown outcome and the time at which it is appended again.
    unknown_outcome: Option<(u64, u64)>,
    next_append_at_ms: u64,
    reappend_at_ms: Option<u64>,
}

impl RecordBatcher {
    /// Creates an empty batcher; `writer` is the incarnation that appends.
    #[must_use]
    pub fn new(settings: RecordBatcherSettings, writer: IncarnationId) -> Self {
        Self {
            settings,
            writer,
            next_number: 0,
            queue: VecDeque::new(),
            waiting_bytes: 0,
            collected: FastHashMap::default(),
            confirmed: FastHashMap::default(),
            incomplete: FastHashSet::default(),
            open_reservations: FastHashMap::default(),
            open_reservation_count: 0,
            in_flight: None,
            unknown_outcome: None,
            next_append_at_ms: 0,
            reappend_at_ms: None,
        }
    }

    /// Sets the minimum time between two appends, in milliseconds.
    pub const fn set_append_interval_ms(&mut self, append_interval_ms: u64) {
        self.settings.append_interval_ms = append_interval_ms;
    }

    /// Accepts numbered records of one incarnation, or those of a crashed one from another holder.
    ///
    /// `read_back` is the last number that the sender has read back from the log, [`Sequence`] 0 if
    /// none. The sender does not send records up to it, and this holder may have missed some of
    /// them. Returns the last number held without a gap; the sender's records up to it are durable.
    ///
    /// # Errors
    /// [`BatcherError`]; the records before the rejected one were accepted.
    pub fn collect(
        &mut self,
        incarnation: IncarnationId,
        read_back: Sequence,
        records: Vec<LedgerRecord>,
    ) -> Result<Sequence, BatcherError> {
        let collected = self.accept_records(incarnation, read_back, records);
        if collected.is_err() {
            self.incomplete.insert(incarnation);
        } else {
            self.incomplete.remove(&incarnation);
        }
        collected
    }

    fn accept_records(
        &mut self,
        incarnation: IncarnationId,
        read_back: Sequence,
        records: Vec<LedgerRecord>,
    ) -> Result<Sequence, BatcherError> {
        let start = self.collected.entry(incarnation).or_default();
        *start = read_back.max(*start);
        for record in records {
            let number = record.number().filter(|(owner, _)| *owner == incarnation);
            let Some((_, sequence)) = number else {
                return Err(BatcherError::Foreign(incarnation));
            };
            let last = self.collected(incarnation);
            if sequence <= last {
                continue;
            }
            let expected = last.next();
            if sequence > expected {
                return Err(BatcherError::Gap {
                    incarnation,
                    expected,
                    found: sequence,
                });
            }
            self.remove_billed_reservations(incarnation, &record);
            self.push(record)?;
            self.collected.insert(incarnation, sequence);
        }
        Ok(self.collected(incarnation))
    }

    /// Accepts a record without a number, such as a fund, a fence or a release.
    ///
    /// # Errors
    /// [`BatcherError::Full`] or [`BatcherError::Encoding`].
    pub fn submit(&mut self, record: LedgerRecord) -> Result<(), BatcherError> {
        self.push(record)
    }

    fn push(&mut self, record: LedgerRecord) -> Result<(), BatcherError> {
        let bytes = encode_record(&record)
            .map_err(BatcherError::Encoding)?
            .len();
        if self.waiting_bytes + bytes > self.settings.max_waiting_bytes {
            return Err(BatcherError::Full);
        }
        self.waiting_bytes += bytes;
        self.queue.push_back(WaitingRecord {
            record,
            bytes,
            sent_in: Vec::new(),
            due: true,
        });
        Ok(())
    }

    /// Records that a node has handed over all its records that were not read back and all its open
    /// reservations, and that it uses no holder that was fenced at or before `up_to`.
    ///
    /// Call it after [`Self::collect`] of the same message and after adding its open reservations.
    /// It has no effect if those records were rejected, since records that an earlier, crashed
    /// holder acknowledged might be missing here.
    pub fn confirm(&mut self, incarnation: IncarnationId, up_to: Offset) {
        if self.incomplete.contains(&incarnation) {
            return;
        }
        let confirmed = self.confirmed.entry(incarnation).or_insert(up_to);
        *confirmed = up_to.max(*confirmed);
    }

    /// Returns this holder's journal of an incarnation.
    #[must_use]
    pub fn journal_of(&self, incarnation: IncarnationId) -> JournalAnswer {
        JournalAnswer {
            holder: self.writer,
            confirmed: self.confirmed.get(&incarnation).copied(),
            collected: self.collected(incarnation),
            open_reservations: self.open_reservations_of(incarnation),
        }
    }

    /// Drops the open reservations of a node that has switched to another holder.
    pub fn forget_open_reservations(&mut self, incarnation: IncarnationId) {
        let reservations = self
            .open_reservations
            .remove(&incarnation)
            .unwrap_or_default();
        self.open_reservation_count -= reservations.len();
    }

    /// Stores the reservation of a request that is about to be dispatched.
    ///
    /// # Errors
    /// [`BatcherError::Full`].
    pub fn add_open_reservation(
        &mut self,
        incarnation: IncarnationId,
        reservation: OpenReservation,
    ) -> Result<(), BatcherError> {
        if self.open_reservation_count >= self.settings.max_open_reservations {
            return Err(BatcherError::Full);
        }
        let reservations = self.open_reservations.entry(incarnation).or_default();
        if reservations.insert(reservation.bill, reservation).is_none() {
            self.open_reservation_count += 1;
        }
        Ok(())
    }

    /// Drops the reservation of a request that was not run.
    pub fn remove_open_reservation(&mut self, incarnation: IncarnationId, bill: BillId) {
        let Some(reservations) = self.open_reservations.get_mut(&incarnation) else {
            return;
        };
        if reservations.remove(&bill).is_some() {
            self.open_reservation_count -= 1;
        }
    }

    fn remove_billed_reservations(&mut self, incarnation: IncarnationId, record: &LedgerRecord) {
        if let LedgerRecord::Settle { entries, .. } = record {
            for bill in entries.iter().flat_map(|entry| &entry.bills) {
                self.remove_open_reservation(incarnation, bill.id);
            }
        }
    }

    /// Returns the open reservations of an incarnation, for its release after a crash.
    #[must_use]
    pub fn open_reservations_of(&self, incarnation: IncarnationId) -> Vec<OpenReservation> {
        let reservations = self.open_reservations.get(&incarnation);
        reservations.map_or_else(Vec::new, |reservations| {
            reservations.values().cloned().collect()
        })
    }

    /// Returns the last sequence number of an incarnation that is or was held here.
    #[must_use]
    pub fn collected(&self, incarnation: IncarnationId) -> Sequence {
        let collected = self.collected.get(&incarnation);
        collected.copied().unwrap_or_default()
    }

    /// Returns the records of an incarnation that were not read back, for another holder to adopt.
    #[must_use]
    pub fn records_of(&self, incarnation: IncarnationId) -> Vec<LedgerRecord> {
        let own = |item: &&WaitingRecord| {
            item.record
                .number()
                .is_some_and(|(owner, _)| owner == incarnation)
        };
        self.queue
            .iter()
            .filter(own)
            .map(|item| item.record.clone())
            .collect()
    }

    /// Returns the batch to append now, if any; report its outcome to [`Self::appended`].
    pub fn next_batch(&mut self, now_ms: u64) -> Option<RecordBatch> {
        if self.in_flight.is_some() || now_ms < self.next_append_at_ms {
            return None;
        }
        match self.unknown_outcome {
            Some((_, again_at_ms)) if now_ms < again_at_ms => return None,
            Some(_) => self.make_all_due(),
            None => {}
        }
        if self.reappend_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.make_all_due();
        }
        let number = self.next_number;
        let mut records = Vec::new();
        let mut bytes = 0;
        for item in self.queue.iter_mut().filter(|item| item.due) {
            if !records.is_empty() && bytes + item.bytes > self.settings.max_batch_bytes {
                break;
            }
            bytes += item.bytes;
            item.due = false;
            item.sent_in.push(number);
            records.push(item.record.clone());
        }
        if records.is_empty() {
            return None;
        }
        self.next_number += 1;
        self.in_flight = Some(number);
        self.next_append_at_ms = now_ms + self.settings.append_interval_ms;
        Some(RecordBatch {
            writer: self.writer,
            number,
            records,
        })
    }

    fn make_all_due(&mut self) {
        self.unknown_outcome = None;
        self.reappend_at_ms = None;
        for item in &mut self.queue {
            item.due = true;
        }
    }

    /// Records the outcome of an append.
    pub fn appended(&mut self, number: u64, outcome: AppendOutcome, now_ms: u64) {
        if self.in_flight != Some(number) {
            return;
        }
        self.in_flight = None;
        match outcome {
            AppendOutcome::Appended => {
                let at_ms = now_ms + self.settings.reappend_after_ms;
                self.reappend_at_ms.get_or_insert(at_ms);
            }
            AppendOutcome::Refused => {
                for item in &mut self.queue {
                    item.due |= item.sent_in.last() == Some(&number);
                }
                let at_ms = now_ms + self.settings.refused_wait_ms;
                self.next_append_at_ms = self.next_append_at_ms.max(at_ms);
            }
            AppendOutcome::Unknown => {
                self.unknown_outcome = Some((number, now_ms + self.settings.unknown_wait_ms));
            }
        }
    }

    /// Drops the records that were read back; call it for each batch after `ledger` has applied it.
    pub fn read_back(&mut self, batch: &RecordBatch, ledger: &Ledger, now_ms: u64) {
        let own = batch.writer == self.writer;
        if own
            && self
                .unknown_outcome
                .is_some_and(|(number, _)| number == batch.number)
        {
            self.unknown_outcome = None;
        }
        let before = self.queue.len();
        let mut waiting_bytes = 0;
        self.queue.retain(|item| {
            let keep = match item.record.number() {
                Some((incarnation, sequence)) => !is_obsolete(ledger, incarnation, sequence),
                None => !(own && item.sent_in.contains(&batch.number)),
            };
            waiting_bytes += if keep { item.bytes } else { 0 };
            keep
        });
        self.waiting_bytes = waiting_bytes;
        if self.queue.iter().all(|item| item.due) {
            self.reappend_at_ms = None;
        } else if self.queue.len() < before {
            self.reappend_at_ms = Some(now_ms + self.settings.reappend_after_ms);
        }
        self.forget_ended_reservations(ledger);
    }

    fn forget_ended_reservations(&mut self, ledger: &Ledger) {
        let open_reservation_count = &mut self.open_reservation_count;
        self.open_reservations.retain(|incarnation, reservations| {
            let ended = ledger.incarnation(*incarnation).is_some_and(|state| {
                matches!(
                    state.status,
                    IncarnationStatus::Released | IncarnationStatus::Ended
                )
            });
            if ended {
                *open_reservation_count -= reservations.len();
            }
            !ended
        });
    }

    /// Returns the number of records that were not read back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether all records were read back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the total bytes of records that were not read back.
    #[must_use]
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns the number of stored open reservations.
    #[must_use]
    pub const fn open_reservations(&self) -> usize {
        self.open_reservation_count
    }
}

/// Returns whether appending a numbered record again would change nothing.
fn is_obsolete(ledger: &Ledger, incarnation: IncarnationId, sequence: Sequence) -> bool {
    let Some(state) = ledger.incarnation(incarnation) else {
        return false;
    };
    let ended = matches!(
        state.status,
        IncarnationStatus::Released | IncarnationStatus::Ended
    );
    sequence <= state.watermark || ended
}
