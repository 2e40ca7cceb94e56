//! Records of many nodes on their way to one stream.

use std::collections::VecDeque;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use toucan_types::{BillId, FastHashMap, FastHashSet, IncarnationId, Offset, Sequence};

use crate::record_batch::encode_record;
use crate::{
    BatchError, IncarnationStatus, JournalAnswer, Ledger, LedgerRecord, OpenReservation,
    RecordBatch,
};

/// Settings of a batcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecordBatcherSettings {
    /// Least time between two appends, in milliseconds.
    pub append_interval_ms: u64,
    /// Time to wait for a batch whose append has no known outcome, in milliseconds.
    pub unknown_wait_ms: u64,
    /// Time after a successful append until records that were not read back go again, in
    /// milliseconds.
    pub reappend_after_ms: u64,
    /// Least time to the next append after a refused one, in milliseconds.
    pub refused_wait_ms: u64,
    /// Most bytes of records in one batch.
    pub max_batch_bytes: usize,
    /// Most bytes of records that wait at once.
    pub max_waiting_bytes: usize,
    /// Most open reservations that are kept at once.
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

/// Outcome of one append as its writer saw it; only reading back shows what took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log answered with an offset.
    Appended,
    /// The log answered that it did not append.
    Refused,
    /// No answer: the batch may or may not be in the log.
    Unknown,
}

/// Why a batcher did not take records.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum BatcherError {
    /// the batcher's memory is full
    Full,
    /// records of incarnation {incarnation} start at {found}, number {expected} comes next
    Gap {
        /// The incarnation.
        incarnation: IncarnationId,
        /// Number that comes next.
        expected: Sequence,
        /// Number of the first record.
        found: Sequence,
    },
    /// a record carries no number of incarnation {0}
    Foreign(IncarnationId),
    /// a record cannot be encoded: {0}
    Encoding(BatchError),
}

impl std::error::Error for BatcherError {}

#[derive(Clone, Debug)]
struct Item {
    record: LedgerRecord,
    bytes: usize,
    /// Numbers of the batches that carried it.
    sent_in: Vec<u64>,
    /// Whether the next batch has to carry it.
    due: bool,
}

/// Records of many nodes on their way to one stream, batched at a bounded rate.
///
/// A record stays until it is read back from the log, whatever the append answered. The order of
/// records of one incarnation is kept: a batch with an unknown outcome is read back or appended
/// again before any later record goes out.
#[derive(Clone, Debug)]
pub struct RecordBatcher {
    settings: RecordBatcherSettings,
    writer: IncarnationId,
    next_number: u64,
    queue: VecDeque<Item>,
    waiting_bytes: usize,
    collected: FastHashMap<IncarnationId, Sequence>,
    confirmed: FastHashMap<IncarnationId, Offset>,
    /// Incarnations whose last records were refused, so that this holder may lack some.
    incomplete: FastHashSet<IncarnationId>,
    opens: FastHashMap<IncarnationId, FastHashMap<BillId, OpenReservation>>,
    open_count: usize,
    in_flight: Option<u64>,
    /// Batch without a known outcome and the time at which it goes again.
    uncertain: Option<(u64, u64)>,
    next_append_at_ms: u64,
    reappend_at_ms: Option<u64>,
}

impl RecordBatcher {
    /// An empty batcher; `writer` is the incarnation that appends.
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
            opens: FastHashMap::default(),
            open_count: 0,
            in_flight: None,
            uncertain: None,
            next_append_at_ms: 0,
            reappend_at_ms: None,
        }
    }

    /// Sets the least time between two appends, in milliseconds.
    pub const fn set_append_interval_ms(&mut self, append_interval_ms: u64) {
        self.settings.append_interval_ms = append_interval_ms;
    }

    /// Takes numbered records of one incarnation, also a dead one's from another holder.
    ///
    /// `read_back` is the last number that the sender knows to be folded, [`Sequence`] 0 if it knows
    /// of none: it sends nothing up to it, and this holder may have missed some of it. Returns the
    /// last number held without a gap; the sender's records up to it are known outside the
    /// sender's VM.
    ///
    /// # Errors
    /// [`BatcherError`]; records before the one that did not fit were taken.
    pub fn collect(
        &mut self,
        incarnation: IncarnationId,
        read_back: Sequence,
        records: Vec<LedgerRecord>,
    ) -> Result<Sequence, BatcherError> {
        let taken = self.take_records(incarnation, read_back, records);
        if taken.is_err() {
            self.incomplete.insert(incarnation);
        } else {
            self.incomplete.remove(&incarnation);
        }
        taken
    }

    fn take_records(
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
            self.close_billed(incarnation, &record);
            self.push(record)?;
            self.collected.insert(incarnation, sequence);
        }
        Ok(self.collected(incarnation))
    }

    /// Takes a record without a number, such as a fund, a fence or a release.
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
        self.queue.push_back(Item {
            record,
            bytes,
            sent_in: Vec::new(),
            due: true,
        });
        Ok(())
    }

    /// Notes that a node has handed over all its records and open reservations that are not read
    /// back, and uses no holder that was fenced at or before `up_to`.
    ///
    /// Call it after [`Self::collect`] of the same message, whose open reservations are noted too.
    /// It does not count if those records were refused: what an earlier, dead holder acknowledged
    /// might be missing here.
    pub fn confirm(&mut self, incarnation: IncarnationId, up_to: Offset) {
        if self.incomplete.contains(&incarnation) {
            return;
        }
        let confirmed = self.confirmed.entry(incarnation).or_insert(up_to);
        *confirmed = up_to.max(*confirmed);
    }

    /// What this holder can say of an incarnation's journal.
    #[must_use]
    pub fn journal_of(&self, incarnation: IncarnationId) -> JournalAnswer {
        JournalAnswer {
            holder: self.writer,
            confirmed: self.confirmed.get(&incarnation).copied(),
            collected: self.collected(incarnation),
            open_reservations: self.open_reservations_of(incarnation),
        }
    }

    /// Forgets the open reservations of a node that has moved to another holder.
    pub fn forget_open_reservations(&mut self, incarnation: IncarnationId) {
        let opens = self.opens.remove(&incarnation).unwrap_or_default();
        self.open_count -= opens.len();
    }

    /// Notes a reservation whose request is about to be dispatched.
    ///
    /// # Errors
    /// [`BatcherError::Full`].
    pub fn add_open_reservation(
        &mut self,
        incarnation: IncarnationId,
        reservation: OpenReservation,
    ) -> Result<(), BatcherError> {
        if self.open_count >= self.settings.max_open_reservations {
            return Err(BatcherError::Full);
        }
        let opens = self.opens.entry(incarnation).or_default();
        if opens.insert(reservation.bill, reservation).is_none() {
            self.open_count += 1;
        }
        Ok(())
    }

    /// Forgets a reservation whose request was not run.
    pub fn remove_open_reservation(&mut self, incarnation: IncarnationId, bill: BillId) {
        let Some(opens) = self.opens.get_mut(&incarnation) else {
            return;
        };
        if opens.remove(&bill).is_some() {
            self.open_count -= 1;
        }
    }

    fn close_billed(&mut self, incarnation: IncarnationId, record: &LedgerRecord) {
        if let LedgerRecord::Settle { entries, .. } = record {
            for bill in entries.iter().flat_map(|entry| &entry.bills) {
                self.remove_open_reservation(incarnation, bill.id);
            }
        }
    }

    /// Open reservations of an incarnation, for the release of a dead one.
    #[must_use]
    pub fn open_reservations_of(&self, incarnation: IncarnationId) -> Vec<OpenReservation> {
        let opens = self.opens.get(&incarnation);
        opens.map_or_else(Vec::new, |opens| opens.values().cloned().collect())
    }

    /// Last number of an incarnation that is held here or was.
    #[must_use]
    pub fn collected(&self, incarnation: IncarnationId) -> Sequence {
        let collected = self.collected.get(&incarnation);
        collected.copied().unwrap_or_default()
    }

    /// Records of an incarnation that were not read back, for another holder to adopt.
    #[must_use]
    pub fn records_of(&self, incarnation: IncarnationId) -> Vec<LedgerRecord> {
        let own = |item: &&Item| {
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

    /// The batch to append now, if any; its outcome goes to [`Self::appended`].
    pub fn next_batch(&mut self, now_ms: u64) -> Option<RecordBatch> {
        if self.in_flight.is_some() || now_ms < self.next_append_at_ms {
            return None;
        }
        match self.uncertain {
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
        self.uncertain = None;
        self.reappend_at_ms = None;
        for item in &mut self.queue {
            item.due = true;
        }
    }

    /// Notes the outcome of an append.
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
                self.uncertain = Some((number, now_ms + self.settings.unknown_wait_ms));
            }
        }
    }

    /// Drops what was read back; call it for each batch after `ledger` has folded it.
    pub fn read_back(&mut self, batch: &RecordBatch, ledger: &Ledger, now_ms: u64) {
        let own = batch.writer == self.writer;
        if own
            && self
                .uncertain
                .is_some_and(|(number, _)| number == batch.number)
        {
            self.uncertain = None;
        }
        let before = self.queue.len();
        let mut waiting_bytes = 0;
        self.queue.retain(|item| {
            let keep = match item.record.number() {
                Some((incarnation, sequence)) => !is_over(ledger, incarnation, sequence),
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
        self.forget_ended(ledger);
    }

    fn forget_ended(&mut self, ledger: &Ledger) {
        let open_count = &mut self.open_count;
        self.opens.retain(|incarnation, opens| {
            let ended = ledger.incarnation(*incarnation).is_some_and(|state| {
                matches!(
                    state.status,
                    IncarnationStatus::Released | IncarnationStatus::Ended
                )
            });
            if ended {
                *open_count -= opens.len();
            }
            !ended
        });
    }

    /// Number of records that wait to be read back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether everything was read back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Bytes of records that wait to be read back.
    #[must_use]
    pub const fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Number of open reservations held.
    #[must_use]
    pub const fn open_reservations(&self) -> usize {
        self.open_count
    }
}

/// Whether appending a numbered record again could change nothing.
fn is_over(ledger: &Ledger, incarnation: IncarnationId, sequence: Sequence) -> bool {
    let Some(state) = ledger.incarnation(incarnation) else {
        return false;
    };
    let ended = matches!(
        state.status,
        IncarnationStatus::Released | IncarnationStatus::Ended
    );
    sequence <= state.watermark || ended
}
