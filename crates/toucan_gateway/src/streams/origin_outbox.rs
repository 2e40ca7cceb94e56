//! Origins of running streams that are to be written to the store.
//!
//! If all gateways die at once, only the store can tell where their streams began.

use std::collections::VecDeque;

use toucan_types::{FastHashMap, RequestId};

use super::{MAX_STREAM_AGE_MS, OriginBatch, StreamOrigin};

/// Maximum number of streams that wait for a write while the store is away. Later ones are not written.
const MAX_WAITING: usize = 4_096;
/// Interval between two writes of a gateway while a service has several versions, in milliseconds. A
/// stream that began within it before the death of all gateways cannot be resumed.
const MIXED_INTERVAL_MS: u64 = 250;
/// Interval between two writes of a gateway while each service has one version, in milliseconds.
const SINGLE_INTERVAL_MS: u64 = 1_000;
/// Shortest interval between two writes of the whole fleet, in milliseconds. It bounds the load on the
/// store, however large the fleet.
const FLEET_INTERVAL_MS: u64 = 5;
/// Number of records of one gateway that the store holds at most. A process that starts replaces those of
/// the former one.
const MAX_RECORDS: u64 = MAX_STREAM_AGE_MS / MIXED_INTERVAL_MS;

/// Streams whose origins are to be written to the store, and when.
///
/// Streams that end before the next write are removed: nobody resumes them.
#[derive(Clone, Debug, Default)]
pub struct OriginOutbox {
    waiting: FastHashMap<RequestId, WaitingOrigin>,
    /// Records in the store with the times at which their writes began, oldest first.
    written: VecDeque<(u64, OriginRecordNumber)>,
    writes: u64,
}

/// Origin of a stream that is to be written.
#[derive(Clone, Debug)]
struct WaitingOrigin {
    origin: StreamOrigin,
    began_ms: u64,
}

/// Number of a record, out of those of one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OriginRecordNumber(pub u64);

/// A write that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginWrite {
    /// Record to write.
    pub number: OriginRecordNumber,
    /// Its content.
    pub batch: OriginBatch,
    /// Records to delete: their streams can no longer be resumed.
    pub expired: Vec<OriginRecordNumber>,
}

/// Returns the interval between two writes of one gateway, in milliseconds.
#[must_use]
pub fn origin_write_interval_ms(has_several_versions: bool, gateways: u32) -> u64 {
    let own_ms = if has_several_versions {
        MIXED_INTERVAL_MS
    } else {
        SINGLE_INTERVAL_MS
    };
    own_ms.max(FLEET_INTERVAL_MS * u64::from(gateways))
}

impl OriginOutbox {
    /// Adds a stream that has just begun.
    pub fn push(&mut self, attempt: &RequestId, origin: &StreamOrigin, now_ms: u64) {
        if self.waiting.len() >= MAX_WAITING {
            self.remove_old(now_ms);
        }
        if self.waiting.len() < MAX_WAITING {
            let origin = origin.clone();
            let began_ms = now_ms;
            let waiting = WaitingOrigin { origin, began_ms };
            self.waiting.insert(attempt.clone(), waiting);
        }
    }

    /// Removes a stream that has ended.
    pub fn remove(&mut self, attempt: &RequestId) {
        self.waiting.remove(attempt);
    }

    /// Returns when the next write is due; [`None`] if nothing is to be written.
    #[must_use]
    pub fn due_ms(&self, interval_ms: u64) -> Option<u64> {
        if self.waiting.is_empty() {
            return None;
        }
        let last = self.written.back();
        Some(last.map_or(0, |(written_ms, _number)| written_ms + interval_ms))
    }

    /// Begins a write of all streams that wait; [`None`] if there are none.
    pub fn begin_write(&mut self, now_ms: u64) -> Option<OriginWrite> {
        self.remove_old(now_ms);
        let mut batch = OriginBatch::default();
        for (attempt, waiting) in self.waiting.drain() {
            batch.push(attempt, &waiting.origin);
        }
        if batch.is_empty() {
            return None;
        }
        let number = OriginRecordNumber(self.writes % MAX_RECORDS);
        self.writes += 1;
        let expired = self.take_expired(number, now_ms);
        self.written.push_back((now_ms, number));
        Some(OriginWrite {
            number,
            batch,
            expired,
        })
    }

    /// Removes the records whose streams can no longer be resumed, but for the one that is written anew.
    fn take_expired(
        &mut self,
        rewritten: OriginRecordNumber,
        now_ms: u64,
    ) -> Vec<OriginRecordNumber> {
        let mut expired = Vec::new();
        while let Some((written_ms, number)) = self.written.front().copied()
            && (now_ms > written_ms + MAX_STREAM_AGE_MS || number == rewritten)
        {
            self.written.pop_front();
            if number != rewritten {
                expired.push(number);
            }
        }
        expired
    }

    /// Adds the streams of a write that failed again.
    pub fn restore(&mut self, batch: &OriginBatch, now_ms: u64) {
        for (attempt, origin) in batch.iter() {
            self.push(attempt, origin, now_ms);
        }
    }

    fn remove_old(&mut self, now_ms: u64) {
        self.waiting
            .retain(|_attempt, waiting| now_ms <= waiting.began_ms + MAX_STREAM_AGE_MS);
    }
}
