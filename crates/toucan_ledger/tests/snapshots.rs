//! Snapshots in parts, loaded by a node that starts after older records have expired.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget};
use test_case::test_case;
use toucan_ledger::{
    Ledger, LedgerEvent, LedgerRecord, LedgerSettings, RecordBatch, SnapshotLoader, SnapshotPart,
};
use toucan_types::{BillId, IncarnationId, Offset, Tokens};

const WRITER: IncarnationId = IncarnationId(9);
const PART_BYTES: usize = 30;

fn parts(stream: &mut Stream) -> Vec<SnapshotPart> {
    let mut holder = stream.announced_wallet(1, "i-1", 600);
    let reservation = holder
        .reserve(&budget(), Tokens(100), stream.now_ms)
        .unwrap();
    holder.settle(reservation, BillId(1), Tokens(80), stream.now_ms);
    stream.sync(&mut holder);
    let events = stream.append(vec![LedgerRecord::SnapshotMark { writer: WRITER }]);
    assert!(matches!(
        events[..],
        [LedgerEvent::SnapshotDue { writer: WRITER, .. }]
    ));
    let parts = stream.ledger.snapshot_parts(WRITER, PART_BYTES).unwrap();
    assert!(parts.len() > 2, "{}", parts.len());
    parts
}

fn push(loader: &mut SnapshotLoader, part: &SnapshotPart) -> Option<Ledger> {
    let records = vec![LedgerRecord::Snapshot(part.clone())];
    loader.push(&RecordBatch {
        writer: WRITER,
        number: 0,
        records,
    })
}

fn loader() -> SnapshotLoader {
    SnapshotLoader::new(LedgerSettings::default())
}

#[test]
fn a_complete_snapshot_restores_the_state_and_applies_later_records() {
    let mut stream = Stream::new(1_000);
    let parts = parts(&mut stream);
    let mut loader = loader();
    let loaded: Vec<_> = parts
        .iter()
        .filter_map(|part| push(&mut loader, part))
        .collect();
    let [mut loaded] = <[Ledger; 1]>::try_from(loaded).unwrap();
    assert_eq!(loaded.digest(), stream.ledger.digest());
    assert_eq!(loaded.next_offset(), stream.ledger.next_offset());
    // The snapshot contains the bill id, so a second bill of that id is a duplicate.
    let mut other = stream.announced_wallet(2, "i-2", 200);
    let reservation = other
        .reserve(&budget(), Tokens(100), stream.now_ms)
        .unwrap();
    other.settle(reservation, BillId(1), Tokens(80), stream.now_ms);
    let events = stream.sync(&mut other);
    assert!(
        events
            .iter()
            .any(|event| matches!(event, LedgerEvent::DuplicateBill { .. }))
    );
    for batch in &stream.batches[usize::try_from(loaded.next_offset().0).unwrap()..] {
        let offset = loaded.next_offset();
        loaded
            .apply(offset, stream.now_ms, &batch.encode().unwrap())
            .unwrap();
    }
    assert_eq!(loaded.account(&budget()), stream.ledger.account(&budget()));
}

#[test]
fn a_reader_that_starts_inside_a_snapshot_waits_for_the_next() {
    let mut stream = Stream::new(1_000);
    let first = parts(&mut stream);
    let mut loader = loader();
    assert!(
        first[1..]
            .iter()
            .all(|part| push(&mut loader, part).is_none())
    );
    stream.append(vec![LedgerRecord::SnapshotMark { writer: WRITER }]);
    let second = stream.ledger.snapshot_parts(WRITER, PART_BYTES).unwrap();
    let loaded = second
        .iter()
        .filter_map(|part| push(&mut loader, part))
        .count();
    assert_eq!(loaded, 1);
}

#[test]
fn parts_of_concurrent_writers_are_not_mixed() {
    let mut stream = Stream::new(1_000);
    let mine = parts(&mut stream);
    let theirs = stream
        .ledger
        .snapshot_parts(IncarnationId(10), PART_BYTES)
        .unwrap();
    let mut loader = loader();
    let mixed = mine
        .iter()
        .zip(&theirs)
        .flat_map(|(mine, theirs)| [mine, theirs]);
    assert_eq!(mixed.filter_map(|part| push(&mut loader, part)).count(), 2);
    assert_eq!(loader.damaged(), 0);
}

#[test]
fn a_snapshot_that_differs_from_its_digest_is_rejected() {
    let mut stream = Stream::new(1_000);
    let mut parts = parts(&mut stream);
    for part in &mut parts {
        part.digest ^= 1;
    }
    let mut loader = loader();
    assert!(parts.iter().all(|part| push(&mut loader, part).is_none()));
    assert_eq!(loader.damaged(), 1);
    // A node that applied the snapshot mark also detects the mismatch.
    let events = stream.append(vec![LedgerRecord::Snapshot(parts.remove(0))]);
    assert!(matches!(
        events[..],
        [LedgerEvent::SnapshotMismatch { writer: WRITER, .. }]
    ));
}

#[test_case(&[1, 0, 5, 9]; "a truncated body")]
#[test_case(&[1]; "too short")]
#[test_case(&[1, 0, 255, 255, 255, 255]; "damaged")]
fn undecodable_batches_are_reported_and_counted(data: &[u8]) {
    let mut stream = Stream::new(1_000);
    let events = stream.ledger.apply(Offset(1), 2_000_000, data).unwrap();
    assert!(matches!(
        events[..],
        [LedgerEvent::Unknown {
            offset: Offset(1),
            ..
        }]
    ));
    assert_eq!(stream.ledger.unknown_records(), 1);
}

#[test]
fn a_record_of_a_later_program_version_keeps_its_position_and_bytes() {
    let unknown = LedgerRecord::Unknown {
        bytes: vec![200, 1, 2, 3],
    };
    let records = vec![support::fund(1, 10), unknown, support::fund(2, 20)];
    let batch = RecordBatch {
        writer: WRITER,
        number: 4,
        records,
    };
    assert_eq!(RecordBatch::decode(&batch.encode().unwrap()), Ok(batch));
}

/// The decoder must not take the memory that a damaged part claims to need.
#[test]
fn length_in_a_damaged_part_is_not_believed() {
    const LENGTH_OF_8_BYTES: u8 = 253;
    for variant in 0..8 {
        for integers in 0..4 {
            let mut body = vec![variant];
            body.extend(std::iter::repeat_n(1, integers));
            body.push(LENGTH_OF_8_BYTES);
            body.extend_from_slice(&(1_u64 << 62).to_le_bytes());
            let part = SnapshotPart {
                writer: WRITER,
                up_to: Offset(1),
                part: 0,
                parts: 1,
                digest: 0,
                body,
            };
            let mut loader = SnapshotLoader::new(LedgerSettings::default());
            assert!(push(&mut loader, &part).is_none());
        }
    }
}
