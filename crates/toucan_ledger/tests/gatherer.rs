//! A gatherer keeps what it took until it is read back, in order and at a bounded rate.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget, fund, wallet};
use test_case::test_case;
use toucan_ledger::{
    AppendOutcome, GatherError, Gatherer, GathererSettings, LedgerRecord, OpenReservation,
    RecordBatch,
};
use toucan_types::{BillId, IncarnationId, Offset, Sequence, Tokens};

const ME: IncarnationId = IncarnationId(100);
const SENDER: IncarnationId = IncarnationId(1);

fn gatherer() -> Gatherer {
    Gatherer::new(GathererSettings::default(), ME)
}

fn records() -> Vec<LedgerRecord> {
    let mut wallet = wallet(1, "i-1");
    wallet.draw(&budget(), Tokens(10), 0);
    wallet.outbox_mut().take_unsent(10)
}

/// Lets the gatherer read its batch back from the stream.
fn read_back(stream: &mut Stream, gatherer: &mut Gatherer, batch: &RecordBatch, now_ms: u64) {
    let offset = Offset(stream.ledger.next_offset().0);
    stream
        .ledger
        .apply(offset, 2_000_000, &batch.encode().unwrap())
        .unwrap();
    gatherer.read_back(batch, &stream.ledger, now_ms);
}

#[test_case(AppendOutcome::Appended, 3_000; "an answer is not trusted for long")]
#[test_case(AppendOutcome::Unknown, 500; "a lost answer")]
#[test_case(AppendOutcome::Refused, 200; "a refusal")]
fn records_go_again_until_they_are_read_back(outcome: AppendOutcome, wait_ms: u64) {
    let mut gatherer = gatherer();
    gatherer.collect(SENDER, Sequence(0), records()).unwrap();
    let first = gatherer.next_batch(0).unwrap();
    gatherer.appended(first.number, outcome, 0);
    assert_eq!(gatherer.next_batch(wait_ms - 1), None);
    let second = gatherer.next_batch(wait_ms).unwrap();
    assert_eq!(second.records, first.records);
    let mut stream = Stream::new(1_000);
    read_back(&mut stream, &mut gatherer, &first, wait_ms);
    assert!(gatherer.is_empty());
    assert_eq!(gatherer.waiting_bytes(), 0);
}

#[test]
fn nothing_later_goes_out_before_a_batch_of_unknown_outcome() {
    let mut gatherer = gatherer();
    let mut records = records();
    let later = records.split_off(1);
    gatherer
        .collect(SENDER, Sequence(0), records.clone())
        .unwrap();
    let first = gatherer.next_batch(0).unwrap();
    gatherer
        .collect(SENDER, Sequence(0), later.clone())
        .unwrap();
    assert_eq!(gatherer.next_batch(400), None, "one append at a time");
    gatherer.appended(first.number, AppendOutcome::Unknown, 400);
    let second = gatherer.next_batch(900).unwrap();
    assert_eq!(second.records, [records, later].concat());
}

#[test]
fn appends_keep_their_interval() {
    let mut gatherer = gatherer();
    let mut appends = 0;
    for now_ms in 0..1_000 {
        gatherer.submit(fund(now_ms, now_ms)).unwrap();
        if let Some(batch) = gatherer.next_batch(now_ms) {
            appends += 1;
            gatherer.appended(batch.number, AppendOutcome::Appended, now_ms);
        }
    }
    assert_eq!(appends, 10);
}

#[test]
fn a_holder_that_missed_records_takes_what_follows_the_log_but_no_gap() {
    let mut gatherer = gatherer();
    let records = records();
    let late = records[1..].to_vec();
    let gap = GatherError::Gap {
        incarnation: SENDER,
        expected: Sequence(1),
        found: Sequence(2),
    };
    assert_eq!(
        gatherer.collect(SENDER, Sequence(0), late.clone()),
        Err(gap)
    );
    assert_eq!(gatherer.collect(SENDER, Sequence(1), late), Ok(Sequence(2)));
    // What it has already is not taken twice.
    assert_eq!(
        gatherer.collect(SENDER, Sequence(0), records),
        Ok(Sequence(2))
    );
    assert_eq!(gatherer.len(), 1);
}

#[test]
fn a_holder_that_refused_records_is_not_confirmed() {
    let mut gatherer = gatherer();
    let records = records();
    assert!(
        gatherer
            .collect(SENDER, Sequence(0), records[1..].to_vec())
            .is_err()
    );
    gatherer.confirm(SENDER, Offset(9));
    assert_eq!(gatherer.journal_of(SENDER).confirmed, None);
    gatherer.collect(SENDER, Sequence(0), records).unwrap();
    gatherer.confirm(SENDER, Offset(9));
    assert_eq!(gatherer.journal_of(SENDER).confirmed, Some(Offset(9)));
}

#[test]
fn a_full_gatherer_refuses() {
    let settings = GathererSettings {
        max_waiting_bytes: 30,
        ..GathererSettings::default()
    };
    let mut gatherer = Gatherer::new(settings, ME);
    gatherer.submit(fund(1, 1)).unwrap();
    assert_eq!(gatherer.submit(fund(2, 2)), Err(GatherError::Full));
    assert_eq!(gatherer.len(), 1);
}

#[test]
fn a_batch_stays_below_its_bytes() {
    let settings = GathererSettings {
        max_batch_bytes: 60,
        ..GathererSettings::default()
    };
    let mut gatherer = Gatherer::new(settings, ME);
    for version in 0..10 {
        gatherer.submit(fund(version, 1)).unwrap();
    }
    assert!(gatherer.next_batch(0).unwrap().records.len() < 5);
}

#[test]
fn records_without_a_number_go_when_any_batch_that_carried_them_is_read_back() {
    let mut gatherer = gatherer();
    gatherer.submit(fund(2, 2_000)).unwrap();
    let first = gatherer.next_batch(0).unwrap();
    gatherer.appended(first.number, AppendOutcome::Unknown, 0);
    let second = gatherer.next_batch(1_000).unwrap();
    gatherer.appended(second.number, AppendOutcome::Unknown, 1_000);
    let mut stream = Stream::new(1_000);
    read_back(&mut stream, &mut gatherer, &first, 1_100);
    assert!(gatherer.is_empty());
}

#[test]
fn an_open_reservation_closes_with_its_bill() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 500);
    let mut gatherer = gatherer();
    for bill in 1..=3 {
        let reserved_tokens = Tokens(100);
        let open = OpenReservation {
            bill: BillId(bill),
            budget: budget(),
            reserved_tokens,
        };
        gatherer.open(SENDER, open).unwrap();
    }
    gatherer.close(SENDER, BillId(2));
    let reservation = holder.reserve(&budget(), Tokens(100), 0).unwrap();
    holder.settle(reservation, BillId(1), Tokens(50), 0);
    holder.flush();
    let read_back = holder.outbox().read_back_up_to();
    gatherer
        .collect(SENDER, read_back, holder.outbox_mut().take_unsent(10))
        .unwrap();
    let open: Vec<_> = gatherer
        .opens_of(SENDER)
        .iter()
        .map(|open| open.bill)
        .collect();
    assert_eq!(open, [BillId(3)]);
    assert_eq!(gatherer.open_reservations(), 1);
}
