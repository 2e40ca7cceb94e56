//! Numbered records of one incarnation that await appending to a stream.

use std::collections::VecDeque;

use toucan_types::{IncarnationId, Sequence};

use crate::LedgerRecord;

/// Numbered records of one incarnation that await appending to a stream.
///
/// A record stays until it is read back from the log. It counts as durable once any holder on
/// another VM has acknowledged it. When the holder changes, all records that were not read back are
/// sent to the new one, so that every holder's copy starts at the next number to be applied.
#[derive(Clone, Debug)]
pub struct Outbox {
    incarnation: IncarnationId,
    records: VecDeque<LedgerRecord>,
    first: Sequence,
    next: Sequence,
    sent: Sequence,
    acknowledged: Sequence,
    durable: Sequence,
}

impl Outbox {
    /// Creates an empty outbox whose first record gets number 1.
    #[must_use]
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            records: VecDeque::new(),
            first: Sequence(1),
            next: Sequence(1),
            sent: Sequence(0),
            acknowledged: Sequence(0),
            durable: Sequence(0),
        }
    }

    /// Returns the incarnation that numbers the records.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Numbers a record and keeps it until it is read back; returns its number.
    pub fn push(
        &mut self,
        record: impl FnOnce(IncarnationId, Sequence) -> LedgerRecord,
    ) -> Sequence {
        let sequence = self.next;
        self.next = sequence.next();
        self.records.push_back(record(self.incarnation, sequence));
        sequence
    }

    /// Sets the first incarnation of the process in an unsent announce.
    pub(crate) fn set_process(&mut self, first: IncarnationId) {
        if let Some(LedgerRecord::Announce { process, .. }) = self.records.front_mut() {
            *process = first;
        }
    }

    /// Takes at most `limit` unsent records, which then count as sent.
    pub fn take_unsent(&mut self, limit: usize) -> Vec<LedgerRecord> {
        let from = self.sent.next().max(self.first);
        let skip = usize::try_from(from.0 - self.first.0).unwrap_or(usize::MAX);
        let unsent: Vec<_> = self
            .records
            .iter()
            .skip(skip)
            .take(limit)
            .cloned()
            .collect();
        self.sent = Sequence(from.0 - 1 + unsent.len() as u64);
        unsent
    }

    /// Returns whether any record is still to be sent to the current holder.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.sent.next().max(self.first) < self.next
    }

    /// Records that the current holder has everything up to `sequence`.
    pub fn acknowledge(&mut self, sequence: Sequence) {
        let sequence = sequence.min(Sequence(self.next.0 - 1));
        self.acknowledged = self.acknowledged.max(sequence);
        self.durable = self.durable.max(sequence);
    }

    /// Records that everything up to `sequence` was read back from the log.
    pub fn mark_applied(&mut self, sequence: Sequence) {
        self.acknowledge(sequence);
        self.sent = self.sent.max(sequence.min(Sequence(self.next.0 - 1)));
        while self.first <= sequence && self.records.pop_front().is_some() {
            self.first = self.first.next();
        }
    }

    /// Marks the records that the current holder has not acknowledged as unsent, after a lost
    /// response.
    pub fn resend(&mut self) {
        self.sent = self.acknowledged.max(Sequence(self.first.0 - 1));
    }

    /// Marks all records that were not read back as unsent, for a new holder.
    pub fn change_holder(&mut self) {
        self.acknowledged = Sequence(self.first.0 - 1);
        self.sent = self.acknowledged;
    }

    /// Returns whether another VM has or had the record, or the log has it.
    #[must_use]
    pub fn is_durable(&self, sequence: Sequence) -> bool {
        sequence <= self.durable
    }

    /// Returns whether the record was read back from the log.
    #[must_use]
    pub fn is_applied(&self, sequence: Sequence) -> bool {
        sequence < self.first
    }

    /// Returns the last number that was read back from the log, 0 before the first.
    #[must_use]
    pub fn read_back_up_to(&self) -> Sequence {
        Sequence(self.first.0 - 1)
    }

    /// Returns the last assigned number, 0 before the first.
    #[must_use]
    pub fn last(&self) -> Sequence {
        Sequence(self.next.0 - 1)
    }

    /// Returns the last number that is known to be durable.
    #[must_use]
    pub const fn durable_up_to(&self) -> Sequence {
        self.durable
    }

    /// Returns the number of records that were not read back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether all records were read back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the records that were not read back, in order.
    pub fn records(&self) -> impl Iterator<Item = &LedgerRecord> + '_ {
        self.records.iter()
    }
}
