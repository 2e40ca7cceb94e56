//! A batcher keeps records until they are read back, in order, and appends at a bounded rate.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget, fund, wallet};
use test_case::test_case;
use toucan_ledger::{
    AppendOutcome, BatcherError, LedgerRecord, OpenReservation, RecordBatch, RecordBatcher,
    RecordBatcherSettings,
};
use toucan_types::{BillId, IncarnationId, Offset, Sequence, Tokens};

const WRITER: IncarnationId = IncarnationId(100);
const SENDER: IncarnationId = IncarnationId(1);

fn batcher() -> RecordBatcher {
    RecordBatcher::new(RecordBatcherSettings::default(), WRITER)
}

fn records() -> Vec<LedgerRecord> {
    let mut wallet = wallet(1, "i-1");
    wallet.draw(&budget(), Tokens(10), 0);
    wallet.outbox_mut().take_unsent(10)
}

/// Applies a batch to the stream and reports it to the batcher as read back.
fn read_back(stream: &mut Stream, batcher: &mut RecordBatcher, batch: &RecordBatch, now_ms: u64) {
    let offset = Offset(stream.ledger.next_offset().0);
    stream
        .ledger
        .apply(offset, 2_000_000, &batch.encode().unwrap())
        .unwrap();
    batcher.read_back(batch, &stream.ledger, now_ms);
}

#[test_case(AppendOutcome::Appended, 3_000; "a successful append that is not read back")]
#[test_case(AppendOutcome::Unknown, 500; "a lost response")]
#[test_case(AppendOutcome::Refused, 200; "a refusal")]
fn records_are_appended_again_until_they_are_read_back(outcome: AppendOutcome, wait_ms: u64) {
    let mut batcher = batcher();
    batcher.collect(SENDER, Sequence(0), records()).unwrap();
    let first = batcher.next_batch(0).unwrap();
    batcher.appended(first.number, outcome, 0);
    assert_eq!(batcher.next_batch(wait_ms - 1), None);
    let second = batcher.next_batch(wait_ms).unwrap();
    assert_eq!(second.records, first.records);
    let mut stream = Stream::new(1_000);
    read_back(&mut stream, &mut batcher, &first, wait_ms);
    assert!(batcher.is_empty());
    assert_eq!(batcher.waiting_bytes(), 0);
}

#[test]
fn later_records_are_not_appended_before_a_batch_of_unknown_outcome() {
    let mut batcher = batcher();
    let mut records = records();
    let later = records.split_off(1);
    batcher
        .collect(SENDER, Sequence(0), records.clone())
        .unwrap();
    let first = batcher.next_batch(0).unwrap();
    batcher.collect(SENDER, Sequence(0), later.clone()).unwrap();
    assert_eq!(batcher.next_batch(400), None, "one append at a time");
    batcher.appended(first.number, AppendOutcome::Unknown, 400);
    let second = batcher.next_batch(900).unwrap();
    assert_eq!(second.records, [records, later].concat());
}

#[test]
fn appends_keep_their_interval() {
    let mut batcher = batcher();
    let mut appends = 0;
    for now_ms in 0..1_000 {
        batcher.submit(fund(now_ms, now_ms)).unwrap();
        if let Some(batch) = batcher.next_batch(now_ms) {
            appends += 1;
            batcher.appended(batch.number, AppendOutcome::Appended, now_ms);
        }
    }
    assert_eq!(appends, 10);
}

#[test]
fn a_new_holder_accepts_records_that_follow_the_log_but_no_gap() {
    let mut batcher = batcher();
    let records = records();
    let late = records[1..].to_vec();
    let gap = BatcherError::Gap {
        incarnation: SENDER,
        expected: Sequence(1),
        found: Sequence(2),
    };
    assert_eq!(batcher.collect(SENDER, Sequence(0), late.clone()), Err(gap));
    assert_eq!(batcher.collect(SENDER, Sequence(1), late), Ok(Sequence(2)));
    // Records that it already has are not added twice.
    assert_eq!(
        batcher.collect(SENDER, Sequence(0), records),
        Ok(Sequence(2))
    );
    assert_eq!(batcher.len(), 1);
}

#[test]
fn a_holder_that_rejected_records_is_not_confirmed() {
    let mut batcher = batcher();
    let records = records();
    assert!(
        batcher
            .collect(SENDER, Sequence(0), records[1..].to_vec())
            .is_err()
    );
    batcher.confirm(SENDER, Offset(9));
    assert_eq!(batcher.journal_of(SENDER).confirmed, None);
    batcher.collect(SENDER, Sequence(0), records).unwrap();
    batcher.confirm(SENDER, Offset(9));
    assert_eq!(batcher.journal_of(SENDER).confirmed, Some(Offset(9)));
}

#[test]
fn a_full_batcher_rejects_records() {
    let settings = RecordBatcherSettings {
        max_waiting_bytes: 30,
        ..RecordBatcherSettings::default()
    };
    let mut batcher = RecordBatcher::new(settings, WRITER);
    batcher.submit(fund(1, 1)).unwrap();
    assert_eq!(batcher.submit(fund(2, 2)), Err(BatcherError::Full));
    assert_eq!(batcher.len(), 1);
}

#[test]
fn a_batch_stays_below_its_byte_limit() {
    let settings = RecordBatcherSettings {
        max_batch_bytes: 60,
        ..RecordBatcherSettings::default()
    };
    let mut batcher = RecordBatcher::new(settings, WRITER);
    for version in 0..10 {
        batcher.submit(fund(version, 1)).unwrap();
    }
    assert!(batcher.next_batch(0).unwrap().records.len() < 5);
}

#[test]
fn unnumbered_records_are_dropped_when_any_batch_that_contained_them_is_read_back() {
    let mut batcher = batcher();
    batcher.submit(fund(2, 2_000)).unwrap();
    let first = batcher.next_batch(0).unwrap();
    batcher.appended(first.number, AppendOutcome::Unknown, 0);
    let second = batcher.next_batch(1_000).unwrap();
    batcher.appended(second.number, AppendOutcome::Unknown, 1_000);
    let mut stream = Stream::new(1_000);
    read_back(&mut stream, &mut batcher, &first, 1_100);
    assert!(batcher.is_empty());
}

#[test]
fn an_open_reservation_is_removed_by_its_bill() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 500);
    let mut batcher = batcher();
    for bill in 1..=3 {
        let reserved_tokens = Tokens(100);
        let open = OpenReservation {
            bill: BillId(bill),
            budget: budget(),
            reserved_tokens,
        };
        batcher.add_open_reservation(SENDER, open).unwrap();
    }
    batcher.remove_open_reservation(SENDER, BillId(2));
    let reservation = holder.reserve(&budget(), Tokens(100), 0).unwrap();
    holder.settle(reservation, BillId(1), Tokens(50), 0);
    holder.flush();
    let read_back = holder.outbox().read_back_up_to();
    batcher
        .collect(SENDER, read_back, holder.outbox_mut().take_unsent(10))
        .unwrap();
    let open: Vec<_> = batcher
        .open_reservations_of(SENDER)
        .iter()
        .map(|open| open.bill)
        .collect();
    assert_eq!(open, [BillId(3)]);
    assert_eq!(batcher.open_reservations(), 1);
}
