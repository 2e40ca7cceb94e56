//! Replicas of other nodes' outboxes that this node keeps.

use std::collections::VecDeque;

use toucan_ledger::{LedgerRecord, OpenReservation};
use toucan_types::{BillId, FastHashMap, IncarnationId, Offset, Sequence};

use crate::shard_sync::{PendingDispatch, SyncRequest};

/// Maximum number of records kept per incarnation; further ones are not acknowledged.
const MAX_RECORDS: usize = 100_000;

/// Replica of one incarnation's records that the log may lack.
#[derive(Default)]
struct JournalReplica {
    records: VecDeque<LedgerRecord>,
    last: Sequence,
    opens: FastHashMap<BillId, PendingDispatch>,
    confirmed: Option<Offset>,
}

/// Replicas of other nodes' outboxes in one shard.
#[derive(Default)]
pub(super) struct JournalReplicas {
    replicas: FastHashMap<IncarnationId, JournalReplica>,
}

impl JournalReplicas {
    /// Stores the records of a batcher's own wallet; returns the last number held without a gap.
    pub(super) fn store(&mut self, request: &SyncRequest) -> Sequence {
        let replica = self.replicas.entry(request.incarnation).or_default();
        replica.drop_applied(request.folded);
        for record in &request.records {
            if replica.records.len() >= MAX_RECORDS || !replica.add(record) {
                break;
            }
        }
        for dispatch in &request.opens {
            replica
                .opens
                .insert(dispatch.reservation.bill, dispatch.clone());
        }
        for bill in &request.closes {
            replica.opens.remove(bill);
        }
        replica.confirmed = replica.confirmed.max(request.confirmed);
        replica.last
    }

    /// Returns the records of an incarnation in order.
    pub(super) fn records_of(&self, incarnation: IncarnationId) -> Vec<LedgerRecord> {
        let replica = self.replicas.get(&incarnation);
        replica.map_or_else(Vec::new, |replica| {
            replica.records.iter().cloned().collect()
        })
    }

    /// Returns the open reservations of an incarnation.
    pub(super) fn opens_of(&self, incarnation: IncarnationId) -> Vec<OpenReservation> {
        let replica = self.replicas.get(&incarnation);
        replica.map_or_else(Vec::new, |replica| {
            replica
                .opens
                .values()
                .map(|dispatch| dispatch.reservation.clone())
                .collect()
        })
    }

    /// Returns an open request with the incarnation that reported it.
    pub(super) fn open(&self, bill: BillId) -> Option<(IncarnationId, &PendingDispatch)> {
        self.replicas.iter().find_map(|(incarnation, replica)| {
            replica
                .opens
                .get(&bill)
                .map(|dispatch| (*incarnation, dispatch))
        })
    }

    /// Returns the last number held of an incarnation, or 0 if it sent nothing.
    pub(super) fn last_of(&self, incarnation: IncarnationId) -> Sequence {
        self.replicas
            .get(&incarnation)
            .map_or(Sequence(0), |replica| replica.last)
    }

    /// Returns the last offset an incarnation had applied when it confirmed this replica.
    pub(super) fn confirmed_by(&self, incarnation: IncarnationId) -> Option<Offset> {
        self.replicas
            .get(&incarnation)
            .and_then(|replica| replica.confirmed)
    }

    /// Returns the incarnations with a replica.
    pub(super) fn incarnations(&self) -> Vec<IncarnationId> {
        self.replicas.keys().copied().collect()
    }

    /// Removes the replica of an incarnation that has ended.
    pub(super) fn remove(&mut self, incarnation: IncarnationId) {
        self.replicas.remove(&incarnation);
    }
}

impl JournalReplica {
    fn drop_applied(&mut self, applied: Sequence) {
        let is_applied = |record: &LedgerRecord| {
            record
                .number()
                .is_some_and(|(_, sequence)| sequence <= applied)
        };
        while self.records.front().is_some_and(is_applied) {
            self.records.pop_front();
        }
        self.last = self.last.max(applied);
    }

    /// Adds the next record; returns false if it follows a gap.
    fn add(&mut self, record: &LedgerRecord) -> bool {
        let Some((_, sequence)) = record.number() else {
            return false;
        };
        if sequence <= self.last {
            return true;
        }
        if sequence != self.last.next() {
            return false;
        }
        if let LedgerRecord::Settle { entries, .. } = record {
            for bill in entries.iter().flat_map(|entry| &entry.bills) {
                self.opens.remove(&bill.id);
            }
        }
        self.last = sequence;
        self.records.push_back(record.clone());
        true
    }
}
