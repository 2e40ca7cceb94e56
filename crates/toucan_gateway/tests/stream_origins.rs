//! Guards against streams that go on at another software version because a gateway assumes where they
//! began, and against streams that cannot go on although a live gateway knows where they began.

mod support;

use std::net::SocketAddrV4;

use proptest::prelude::*;
use support::{location, members_seen_by};
use test_case::test_case;
use toucan_gateway::{
    config::TargetEntry,
    streams::{
        MAX_STREAM_AGE_MS, OriginBatch, OriginLookups, OriginOutbox, OriginTable, StreamOrigin,
        VersionHistory, origin_write_interval_ms,
    },
};
use toucan_types::{DataCentreName, RequestId, ServiceName, SoftwareVersion, TargetName, VmName};

/// Interval between two reads of the registrations.
const READ_INTERVAL_MS: u64 = 400;
/// Time for which one version has to be seen alone to have begun all streams that may be resumed: the time
/// from its last registration to the first event, and from there to the resumption.
const WATCH_MS: u64 = 2 * MAX_STREAM_AGE_MS;

proptest! {
    #[test]
    fn every_gateway_asks_all_that_were_told(
        gateways in 2_usize..40,
        data_centres in 1_usize..6,
        server in 0_usize..40,
        asker in 0_usize..40,
        attempt in "[0-9a-f]{16}",
    ) {
        let (server, asker) = (server % gateways, asker % gateways);
        let attempt = RequestId::from(attempt.as_str());
        let told = members_seen_by(server, gateways, data_centres).origin_replicas(
            &attempt,
            &location(server, data_centres),
            0,
        );
        prop_assert_eq!(told.len(), 3.min(gateways - 1));
        let asked = members_seen_by(asker, gateways, data_centres)
            .possible_origin_replicas(&attempt, 0);
        let asker = location(asker, data_centres).vm;
        for gateway in told.iter().filter(|gateway| **gateway != asker) {
            prop_assert!(asked.contains(gateway), "{gateway:?} is not asked: {asked:?}");
        }
    }
}

#[test]
fn origin_survives_the_loss_of_its_data_centre() {
    for at in 0..50 {
        let attempt = RequestId::from(format!("attempt-{at}"));
        let server = location(0, 4);
        let told = members_seen_by(0, 40, 4).origin_replicas(&attempt, &server, 0);
        let elsewhere = (0..40)
            .map(|at| location(at, 4))
            .filter(|gateway| gateway.data_centre != server.data_centre)
            .filter(|gateway| told.contains(&gateway.vm));
        assert_eq!(elsewhere.count(), 1);
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("s"),
        software_version: SoftwareVersion::from(version),
    }
}

#[test]
fn stream_keeps_its_first_origin() {
    let mut table = OriginTable::default();
    let attempt = RequestId::from("a");
    assert!(table.record(&attempt, &origin("v1"), 0));
    assert!(!table.record(&attempt, &origin("v2"), 1));
    assert_eq!(table.get(&attempt), Some(&origin("v1")));
}

#[test]
fn remembered_streams_are_bounded() {
    let mut table = OriginTable::default();
    for at in 0..40_000 {
        table.record(&RequestId::from(format!("{at}")), &origin("v1"), at);
    }
    assert!(table.len() <= 16_384);
    assert!(!table.record(&RequestId::from("x".repeat(65)), &origin("v1"), 40_000));
    table.record(
        &RequestId::from("last"),
        &origin("v1"),
        41_000 + MAX_STREAM_AGE_MS,
    );
    assert_eq!(table.len(), 1, "old streams are forgotten");
}

#[test]
fn a_lookup_ends_when_nobody_can_answer() {
    let mut lookups = OriginLookups::default();
    let attempt = RequestId::from("a");
    let (first, second) = (VmName::from("vm-1"), VmName::from("vm-2"));
    lookups.begin(&attempt, [first.clone(), second.clone()]);
    lookups.begin(&attempt, [first.clone()]);
    lookups.record_unknown(&attempt, &first);
    assert_eq!(lookups.unanswered(&attempt).len(), 1);
    lookups.end(&attempt);
    assert_eq!(
        lookups.unanswered(&attempt),
        [second],
        "one call still waits"
    );
    lookups.end(&attempt);
    assert!(lookups.unanswered(&attempt).is_empty());
}

fn target(version: &str) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(format!("t-{version}")),
        service: ServiceName::from("s"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        data_centre: DataCentreName::from("here"),
        software_version: SoftwareVersion::from(version),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started_at_unix_ms: 1,
    }
}

/// Records reads from `from_ms` to `to_ms` that see targets of these versions.
fn record_reads(history: &mut VersionHistory, versions: &[&str], from_ms: u64, to_ms: u64) {
    let targets: Vec<TargetEntry> = versions.iter().map(|version| target(version)).collect();
    let mut now_ms = from_ms;
    while now_ms <= to_ms {
        history.record_read(&targets, now_ms);
        now_ms += READ_INTERVAL_MS;
    }
}

#[test_case(&["v1"], &["v1"] => Some("v1".to_owned()); "one version")]
#[test_case(&["v1", "v2"], &["v1", "v2"] => None; "two versions")]
#[test_case(&["v1"], &["v2"] => None; "a version that has just left")]
#[test_case(&[], &[] => None; "no version")]
fn sole_version(before: &[&str], now: &[&str]) -> Option<String> {
    let mut history = VersionHistory::default();
    record_reads(&mut history, before, 0, WATCH_MS);
    let changed_ms = WATCH_MS + READ_INTERVAL_MS;
    record_reads(&mut history, now, changed_ms, changed_ms + 1_000);
    let version = history.sole_version(&ServiceName::from("s"), changed_ms + 800);
    version.map(ToString::to_string)
}

#[test]
fn version_that_left_long_ago_began_no_stream() {
    let mut history = VersionHistory::default();
    record_reads(&mut history, &["v1"], 0, 1_000);
    let now_ms = 2_000 + WATCH_MS;
    record_reads(&mut history, &["v2"], 1_200, now_ms + READ_INTERVAL_MS);
    let version = history.sole_version(&ServiceName::from("s"), now_ms);
    assert_eq!(version, Some(&SoftwareVersion::from("v2")));
}

#[test]
fn history_with_a_gap_proves_nothing() {
    let mut history = VersionHistory::default();
    let proves = |history: &VersionHistory, now_ms| {
        let version = history.sole_version(&ServiceName::from("s"), now_ms);
        version.is_some()
    };
    assert!(!proves(&history, 0), "nothing was read");
    record_reads(&mut history, &["v1"], 0, 10_000);
    assert!(!proves(&history, 10_000), "streams may be older");
    record_reads(&mut history, &["v1"], 10_400, WATCH_MS);
    assert!(proves(&history, WATCH_MS));
    assert!(
        !proves(&history, WATCH_MS + 1),
        "a version may be new since the last read"
    );
    let later_ms = WATCH_MS + 5_000;
    assert!(!proves(&history, later_ms), "the store is away");
    history.record_read(&[target("v1")], later_ms);
    assert!(
        !proves(&history, later_ms),
        "a version may have been missed"
    );
}

#[test]
fn store_is_written_less_often_the_larger_the_fleet() {
    assert_eq!(origin_write_interval_ms(true, 9), 250);
    assert_eq!(origin_write_interval_ms(false, 9), 1_000);
    assert_eq!(origin_write_interval_ms(true, 410), 2_050);
}

#[test]
fn outbox_writes_running_streams_once_and_deletes_old_records() {
    let mut outbox = OriginOutbox::default();
    let attempts = ["whole", "running"].map(RequestId::from);
    for attempt in &attempts {
        outbox.push(attempt, &origin("v1"), 100);
    }
    outbox.remove(&attempts[0]);
    assert_eq!(
        outbox.due_ms(1_000),
        Some(0),
        "the first write is due at once"
    );
    let write = outbox.begin_write(200).expect("a stream waits");
    let written: Vec<_> = write.batch.iter().collect();
    assert_eq!(written, [(&attempts[1], &origin("v1"))]);
    assert_eq!(outbox.begin_write(300), None);
    outbox.push(&attempts[0], &origin("v2"), 400);
    assert_eq!(outbox.due_ms(1_000), Some(1_200));
    let later_ms = 201 + MAX_STREAM_AGE_MS;
    let next = outbox.begin_write(later_ms).expect("a stream waits");
    assert_eq!(next.expired, [write.number]);
    assert_ne!(next.number, write.number);
    let bytes = next.batch.encode().expect("a batch can be encoded");
    assert_eq!(OriginBatch::decode(&bytes), Ok(next.batch));
}
