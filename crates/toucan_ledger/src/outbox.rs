//! Numbered records of one incarnation on their way to one stream.

use std::collections::VecDeque;

use toucan_types::{IncarnationId, Sequence};

use crate::LedgerRecord;

/// Numbered records of one incarnation on their way to one stream.
///
/// A record stays until it is read back from the log. A record counts as known outside once any
/// holder on another VM has acknowledged it. When the holder changes, all records that are not
/// read back go to the new one, so that every holder's copy starts at the next folded number.
#[derive(Clone, Debug)]
pub struct Outbox {
    incarnation: IncarnationId,
    records: VecDeque<LedgerRecord>,
    first: Sequence,
    next: Sequence,
    sent: Sequence,
    acknowledged: Sequence,
    outside: Sequence,
}

impl Outbox {
    /// An empty outbox whose first record gets number 1.
    #[must_use]
    pub fn new(incarnation: IncarnationId) -> Self {
        Self {
            incarnation,
            records: VecDeque::new(),
            first: Sequence(1),
            next: Sequence(1),
            sent: Sequence(0),
            acknowledged: Sequence(0),
            outside: Sequence(0),
        }
    }

    /// The incarnation that numbers the records.
    #[must_use]
    pub const fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Numbers a record and keeps it until it is read back.
    pub fn push(
        &mut self,
        record: impl FnOnce(IncarnationId, Sequence) -> LedgerRecord,
    ) -> Sequence {
        let sequence = self.next;
        self.next = sequence.next();
        self.records.push_back(record(self.incarnation, sequence));
        sequence
    }

    /// Names the first incarnation of the process in an announce that was not sent.
    pub(crate) fn set_process(&mut self, first: IncarnationId) {
        if let Some(LedgerRecord::Announce { process, .. }) = self.records.front_mut() {
            *process = first;
        }
    }

    /// Records to send now, at most `limit`; they count as sent afterwards.
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

    /// Whether some record is to be sent to the present holder.
    #[must_use]
    pub fn has_unsent(&self) -> bool {
        self.sent.next().max(self.first) < self.next
    }

    /// The present holder has everything up to `sequence`.
    pub fn acknowledge(&mut self, sequence: Sequence) {
        let sequence = sequence.min(Sequence(self.next.0 - 1));
        self.acknowledged = self.acknowledged.max(sequence);
        self.outside = self.outside.max(sequence);
    }

    /// Everything up to `sequence` was read back from the log.
    pub fn mark_applied(&mut self, sequence: Sequence) {
        self.acknowledge(sequence);
        self.sent = self.sent.max(sequence.min(Sequence(self.next.0 - 1)));
        while self.first <= sequence && self.records.pop_front().is_some() {
            self.first = self.first.next();
        }
    }

    /// Sends again what the present holder has not acknowledged, after a lost answer.
    pub fn resend(&mut self) {
        self.sent = self.acknowledged.max(Sequence(self.first.0 - 1));
    }

    /// Sends everything that is not read back again, to a new holder.
    pub fn change_holder(&mut self) {
        self.acknowledged = Sequence(self.first.0 - 1);
        self.sent = self.acknowledged;
    }

    /// Whether another VM has, or had, the record, or the log has it.
    #[must_use]
    pub fn is_durable(&self, sequence: Sequence) -> bool {
        sequence <= self.outside
    }

    /// Whether the record was read back from the log.
    #[must_use]
    pub fn is_applied(&self, sequence: Sequence) -> bool {
        sequence < self.first
    }

    /// Last number that was read back from the log, 0 before the first.
    #[must_use]
    pub fn read_back_up_to(&self) -> Sequence {
        Sequence(self.first.0 - 1)
    }

    /// Last number that was given, 0 before the first.
    #[must_use]
    pub fn last(&self) -> Sequence {
        Sequence(self.next.0 - 1)
    }

    /// Last number that another VM is known to have.
    #[must_use]
    pub const fn durable_up_to(&self) -> Sequence {
        self.outside
    }

    /// Number of records that are not read back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether everything was read back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The records that are not read back, in order.
    pub fn records(&self) -> impl Iterator<Item = &LedgerRecord> + '_ {
        self.records.iter()
    }
}
