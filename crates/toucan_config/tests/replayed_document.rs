//! Replay of the document's stream: optimistic concurrency control, top-ups, snapshots.

mod support;

use serde_json::json;
use support::{FINANCE, assign, bytes, edit, text, top_up};
use test_case::test_case;
use toucan_config::{
    Change, DecidedEdit, DocumentSnapshot, DocumentUpdate, EditDecision, EditOutcome, EditRecord,
    ReplayedDocument, Section,
};
use toucan_types::{DocumentVersion, Offset, TeamName, Tokens};

/// A replayed document and the log that it was replayed from.
#[derive(Default)]
struct TestStream {
    replayed: ReplayedDocument,
    log: Vec<Vec<u8>>,
}

impl TestStream {
    fn with_budget() -> Self {
        let mut stream = Self::default();
        let first = stream.edit("first", Section::Finance, text(FINANCE));
        assert!(matches!(
            stream.append(&first),
            EditOutcome::Accepted { .. }
        ));
        stream
    }

    fn edit(&self, edit_id: &str, section: Section, change: Change) -> EditRecord {
        edit(&self.replayed, edit_id, section, change)
    }

    fn append(&mut self, edit: &EditRecord) -> EditOutcome {
        self.append_bytes(bytes(edit))
    }

    fn append_bytes(&mut self, bytes: Vec<u8>) -> EditOutcome {
        let offset = Offset(self.log.len() as u64);
        let outcome = self.replayed.apply(offset, &bytes);
        self.log.push(bytes);
        outcome
    }

    fn append_snapshot(&mut self) {
        for record in self
            .replayed
            .snapshot()
            .to_records()
            .expect("the snapshot is short enough")
        {
            let outcome = self.append_bytes(record.encode().expect("the snapshot is short enough"));
            assert_eq!(outcome, EditOutcome::SnapshotPart { is_restored: false });
        }
    }

    fn total_tokens(&self) -> Tokens {
        let document = self.replayed.document();
        let budget = document.budget("main").expect("no test removes it");
        budget.total_tokens().expect("the sum does not overflow")
    }
}

#[test]
fn first_of_two_edits_of_one_version_wins() {
    let mut stream = TestStream::with_budget();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.budgets.main.purchased_tokens", 200),
    );
    let two = stream.edit(
        "two",
        Section::Finance,
        assign("finance.budgets.main.purchased_tokens", 300),
    );
    assert!(matches!(stream.append(&one), EditOutcome::Accepted { .. }));
    let EditOutcome::LostRace(race) = stream.append(&two) else {
        panic!("the second edit must lose");
    };
    assert_eq!(race.winner_version, DocumentVersion(2));
    assert!(
        race.diff()
            .contains("-    \"main\": { \"organisation\": \"guild\", \"purchased_tokens\": 200 }")
    );
    assert!(
        race.diff()
            .contains("+    \"main\": { \"organisation\": \"guild\", \"purchased_tokens\": 300 }")
    );
    assert_eq!(stream.total_tokens(), Tokens(200));
}

#[test]
fn edits_of_different_sections_do_not_conflict() {
    let mut stream = TestStream::with_budget();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.other", json!({})),
    );
    let two = stream.edit(
        "two",
        Section::Operations,
        assign("operations.data_centres.east", json!({})),
    );
    assert!(matches!(stream.append(&one), EditOutcome::Accepted { .. }));
    assert!(matches!(stream.append(&two), EditOutcome::Accepted { .. }));
}

#[test]
fn edit_that_breaks_a_reference_is_refused_with_the_path_of_the_reference() {
    let mut stream = TestStream::with_budget();
    let limits = stream.edit(
        "limits",
        Section::Operations,
        assign("operations.limits.guild", json!({})),
    );
    stream.append(&limits);
    let removal = stream.edit("removal", Section::Finance, text("{}"));
    let EditOutcome::Refused { findings } = stream.append(&removal) else {
        panic!("the limits name the organisation");
    };
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].path, "operations.limits.guild");
    assert_eq!(stream.replayed.versions().finance, DocumentVersion(1));
}

#[test]
fn only_the_owning_team_may_edit_a_section() {
    let mut stream = TestStream::with_budget();
    let mut foreign = stream.edit("foreign", Section::Finance, text("{}"));
    foreign.team = TeamName::from("models");
    let EditOutcome::Refused { findings } = stream.append(&foreign) else {
        panic!("another team's edit must be refused");
    };
    assert_eq!(findings[0].message, "team models may not edit this section");
}

#[test]
fn edit_sent_again_is_a_duplicate() {
    let mut stream = TestStream::with_budget();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    let two = stream.edit(
        "two",
        Section::Finance,
        assign("finance.organisations.y", json!({})),
    );
    stream.append(&one);
    stream.append(&two);
    let mut again = two.clone();
    again.base_version = stream.replayed.versions().finance;
    let first = DecidedEdit {
        edit_id: "two".to_owned(),
        offset: Offset(2),
        decision: EditDecision::LostRace {
            winner_version: DocumentVersion(2),
        },
    };
    assert_eq!(stream.replayed.decision("two"), Some(&first));
    let duplicate = EditOutcome::Duplicate { first: Some(first) };
    assert_eq!(stream.replayed.preview(&again).unwrap_err(), duplicate);
    assert_eq!(stream.append(&again), duplicate);
}

#[test]
fn top_up_is_applied_once_and_ignores_the_base_version() {
    let mut stream = TestStream::with_budget();
    let mut first = stream.edit("e1", Section::Finance, top_up("main", "invoice", 50));
    let mut second = stream.edit("e2", Section::Finance, top_up("main", "other", 7));
    first.base_version = DocumentVersion(0);
    second.base_version = DocumentVersion(99);
    assert!(matches!(
        stream.append(&first),
        EditOutcome::Accepted { .. }
    ));
    assert!(matches!(
        stream.append(&second),
        EditOutcome::Accepted { .. }
    ));
    let again = stream.edit("e3", Section::Finance, top_up("main", "invoice", 50));
    assert_eq!(
        stream.append(&again),
        EditOutcome::Duplicate { first: None }
    );
    assert_eq!(stream.total_tokens(), Tokens(157));
    let text = stream
        .replayed
        .document()
        .texts()
        .get(Section::Finance)
        .clone();
    assert!(text.contains("// prepaid"));
}

#[test]
fn removed_top_up_is_not_applied_again() {
    let mut stream = TestStream::with_budget();
    let one = stream.edit("e1", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&one);
    let moved = stream.edit("e2", Section::Finance, text(&FINANCE.replace("100", "150")));
    let EditOutcome::Accepted { warnings, .. } = stream.append(&moved) else {
        panic!("a top-up may move into the purchased tokens");
    };
    assert_eq!(warnings[0].message, "top-up invoice is removed");
    let again = stream.edit("e3", Section::Finance, top_up("main", "invoice", 50));
    assert_eq!(
        stream.append(&again),
        EditOutcome::Duplicate { first: None }
    );
    assert_eq!(stream.total_tokens(), Tokens(150));
}

#[test_case(text(&FINANCE.replace("100", "300")); "by its whole text")]
#[test_case(assign("finance.budgets.main.purchased_tokens", 300); "by one value")]
fn edit_keeps_top_ups_applied_after_its_base_version(change: Change) {
    let mut stream = TestStream::with_budget();
    let slow = stream.edit("slow", Section::Finance, change);
    let quick = stream.edit("quick", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&quick);
    assert!(matches!(stream.append(&slow), EditOutcome::Accepted { .. }));
    assert_eq!(stream.total_tokens(), Tokens(350));
}

#[test]
fn edit_that_removes_a_budget_topped_up_since_is_refused() {
    let mut stream = TestStream::with_budget();
    let slow = stream.edit("slow", Section::Finance, text("{}"));
    let quick = stream.edit("quick", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&quick);
    assert!(matches!(stream.append(&slow), EditOutcome::Refused { .. }));
    assert_eq!(stream.total_tokens(), Tokens(150));
}

#[test]
fn edit_conflicts_with_another_edit_followed_by_a_top_up() {
    let mut stream = TestStream::with_budget();
    let slow = stream.edit("slow", Section::Finance, text(FINANCE));
    let other = stream.edit(
        "other",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    stream.append(&other);
    let quick = stream.edit("quick", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&quick);
    assert!(matches!(stream.append(&slow), EditOutcome::LostRace(_)));
}

#[test]
fn shard_count_is_fixed_once_there_is_a_budget() {
    let mut stream = TestStream::default();
    let early = stream.edit(
        "early",
        Section::Operations,
        assign("operations.ledger.shards", 8),
    );
    assert!(matches!(
        stream.append(&early),
        EditOutcome::Accepted { .. }
    ));
    let budget = stream.edit("budget", Section::Finance, text(FINANCE));
    stream.append(&budget);
    let late = stream.edit(
        "late",
        Section::Operations,
        assign("operations.ledger.shards", 16),
    );
    assert!(matches!(stream.append(&late), EditOutcome::Refused { .. }));
}

#[test]
fn older_records_and_snapshots_are_ignored() {
    let mut stream = TestStream::with_budget();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    stream.append(&one);
    let before = stream.replayed.snapshot();
    assert_eq!(
        stream.replayed.apply(Offset(0), &stream.log[0]),
        EditOutcome::Stale
    );
    let older = DocumentSnapshot::from_bytes(
        &TestStream::with_budget()
            .replayed
            .snapshot()
            .to_bytes()
            .unwrap(),
    );
    assert_eq!(stream.replayed.restore(&older.unwrap()), Ok(false));
    assert_eq!(stream.replayed.snapshot(), before);
}

#[test]
fn undecodable_records_are_skipped() {
    let mut stream = TestStream::with_budget();
    let outcome = stream.append_bytes(b"\x00garbage".to_vec());
    assert!(matches!(outcome, EditOutcome::Unknown { .. }));
    assert!(!stream.replayed.is_waiting());
    assert_eq!(stream.replayed.applied_to(), Offset(2));
}

#[test]
fn replay_can_start_from_a_snapshot() {
    let mut stream = TestStream::with_budget();
    let late = stream.edit(
        "late",
        Section::Operations,
        assign("operations.data_centres.east", json!({})),
    );
    let state = stream.replayed.snapshot();
    stream.append(&late);
    for record in state.to_records().unwrap() {
        stream.append_bytes(record.encode().unwrap());
    }
    let mut fresh = ReplayedDocument::starting_at(Offset(1));
    let outcomes: Vec<_> = stream.log[1..]
        .iter()
        .zip(1..)
        .map(|(bytes, offset)| fresh.apply(Offset(offset), bytes))
        .collect();
    assert_eq!(
        outcomes,
        [
            EditOutcome::Waiting,
            EditOutcome::SnapshotPart { is_restored: true }
        ]
    );
    assert!(!fresh.is_waiting());
    assert_eq!(fresh.snapshot(), stream.replayed.snapshot());
}

#[test]
fn snapshot_older_than_the_gap_is_not_enough() {
    let mut stream = TestStream::with_budget();
    let state = stream.replayed.snapshot();
    let missed = stream.edit(
        "missed",
        Section::Operations,
        assign("operations.data_centres.east", json!({})),
    );
    stream.append(&missed);
    for record in state.to_records().unwrap() {
        stream.append_bytes(record.encode().unwrap());
    }
    let mut fresh = ReplayedDocument::starting_at(Offset(2));
    fresh.apply(Offset(2), &stream.log[2]);
    assert!(fresh.is_waiting(), "record 1 is missing");
    stream.append_snapshot();
    fresh.apply(Offset(3), &stream.log[3]);
    assert!(!fresh.is_waiting());
    assert_eq!(fresh.snapshot(), stream.replayed.snapshot());
}

#[test]
fn lagging_node_gets_records_or_the_whole_state() {
    let mut stream = TestStream::with_budget();
    let mut behind = stream.replayed.clone();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    stream.append(&one);
    let update = stream.replayed.update_since(behind.applied_to()).unwrap();
    assert!(matches!(update, DocumentUpdate::Records { .. }));
    assert_eq!(behind.apply_update(&update), Ok(true));
    assert_eq!(behind.apply_update(&update), Ok(false));
    assert_eq!(stream.replayed.update_since(behind.applied_to()), None);

    // A node that restored its state has no records to send, only the state.
    let mut fresh = ReplayedDocument::starting_at(Offset(7));
    assert_eq!(fresh.restore(&behind.snapshot()), Ok(true));
    let update = fresh.update_since(Offset(0)).unwrap();
    assert!(matches!(update, DocumentUpdate::State { .. }));
    let mut first = TestStream::with_budget().replayed;
    assert_eq!(first.apply_update(&update), Ok(true));
    assert_eq!(first.snapshot(), stream.replayed.snapshot());
}

#[test]
fn expired_unread_records_leave_the_document_in_force() {
    let mut stream = TestStream::with_budget();
    let mut slow = stream.replayed.clone();
    let missed = stream.edit(
        "missed",
        Section::Operations,
        assign("operations.data_centres.east", json!({})),
    );
    stream.append(&missed);
    slow.skip_expired(Offset(2));
    assert!(slow.is_waiting());
    assert_eq!(
        (slow.next_offset(), slow.applied_to()),
        (Offset(2), Offset(1))
    );
    assert_eq!(
        slow.versions(),
        TestStream::with_budget().replayed.versions()
    );
    stream.append_snapshot();
    slow.apply(Offset(2), &stream.log[2]);
    assert_eq!(slow.snapshot(), stream.replayed.snapshot());
    slow.skip_expired(Offset(1));
    assert!(!slow.is_waiting());
}

#[test]
fn large_snapshot_is_split_into_parts() {
    let mut stream = TestStream::with_budget();
    let title = "x".repeat(700_000);
    let large = stream.edit(
        "large",
        Section::Finance,
        assign("finance.organisations.guild.title", title),
    );
    stream.append(&large);
    let start = stream.log.len();
    stream.append_snapshot();
    assert!(stream.log.len() - start >= 3);
    let mut fresh = ReplayedDocument::starting_at(Offset(start as u64));
    for (bytes, offset) in stream.log[start..].iter().zip(start as u64..) {
        assert!(fresh.is_waiting());
        fresh.apply(Offset(offset), bytes);
    }
    assert_eq!(
        fresh.snapshot().digest(),
        stream.replayed.snapshot().digest()
    );
}

#[test]
fn record_of_a_newer_format_keeps_the_document_in_force_until_a_snapshot() {
    let mut stream = TestStream::with_budget();
    let newer = br#"{"format": 2, "record": "edit", "other": true}"#.to_vec();
    assert_eq!(stream.append_bytes(newer), EditOutcome::Waiting);
    assert!(stream.replayed.is_waiting());
    assert_eq!(stream.total_tokens(), Tokens(100));
    // A newer process has applied the record and writes a snapshot.
    let mut newer = ReplayedDocument::default();
    newer.apply(Offset(0), &stream.log[0]);
    newer.apply(Offset(1), b"its effect does not matter here");
    for record in newer.snapshot().to_records().unwrap() {
        stream.append_bytes(record.encode().unwrap());
    }
    assert!(!stream.replayed.is_waiting());
    assert_eq!(stream.replayed.applied_to(), Offset(3));
}

#[test]
fn blame_and_history_name_the_edit() {
    let mut stream = TestStream::with_budget();
    let mut second = stream.edit(
        "second",
        Section::Finance,
        assign("finance.organisations.guild.bridge_ms", 5),
    );
    second.author = "bob".to_owned();
    second.note = "shorter bridge".to_owned();
    stream.append(&second);
    let blamed: Vec<_> = stream
        .replayed
        .blame(Section::Finance)
        .into_iter()
        .filter(|line| line.author == "bob")
        .map(|line| line.text)
        .collect();
    assert!(blamed.iter().any(|line| line.contains("bridge_ms")));
    assert!(!blamed.iter().any(|line| line.contains("prepaid")));
    let last = stream.replayed.history().last().unwrap();
    assert_eq!(
        (last.author.as_str(), last.note.as_str()),
        ("bob", "shorter bridge")
    );
    assert!(last.diff.contains("+"));
    let state = stream.replayed.snapshot();
    let mut fresh = ReplayedDocument::starting_at(Offset(9));
    assert_eq!(fresh.restore(&state), Ok(true));
    assert_eq!(
        fresh.blame(Section::Finance),
        stream.replayed.blame(Section::Finance)
    );
}
