//! Replay of the document's stream: optimistic concurrency control, top-ups, restatements.

mod support;

use serde_json::json;
use support::{FINANCE, assign, bytes, edit, text, top_up};
use test_case::test_case;
use toucan_config::{
    Change, DecidedEdit, DocumentSnapshot, DocumentUpdate, EditOutcome, EditRecord,
    ReplayedDocument, Section, Verdict,
};
use toucan_types::{DocumentVersion, Offset, TeamName, Tokens};

/// A replayed document and the log that it was replayed from.
#[derive(Default)]
struct Stream {
    fold: ReplayedDocument,
    log: Vec<Vec<u8>>,
}

impl Stream {
    fn funded() -> Self {
        let mut stream = Self::default();
        let first = stream.edit("first", Section::Finance, text(FINANCE));
        assert!(matches!(
            stream.append(&first),
            EditOutcome::Accepted { .. }
        ));
        stream
    }

    fn edit(&self, edit_id: &str, section: Section, change: Change) -> EditRecord {
        edit(&self.fold, edit_id, section, change)
    }

    fn append(&mut self, edit: &EditRecord) -> EditOutcome {
        self.append_bytes(bytes(edit))
    }

    fn append_bytes(&mut self, bytes: Vec<u8>) -> EditOutcome {
        let offset = Offset(self.log.len() as u64);
        let outcome = self.fold.apply(offset, &bytes);
        self.log.push(bytes);
        outcome
    }

    fn append_restatement(&mut self) {
        for record in self.fold.snapshot().to_records().expect("it fits") {
            let outcome = self.append_bytes(record.encode().expect("it fits"));
            assert_eq!(outcome, EditOutcome::SnapshotPart { is_restored: false });
        }
    }

    fn total_tokens(&self) -> Tokens {
        let document = self.fold.document();
        let budget = document.budget("main").expect("no test removes it");
        budget.total_tokens().expect("small numbers")
    }
}

#[test]
fn of_two_edits_from_one_version_the_first_stands() {
    let mut stream = Stream::funded();
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
fn edits_of_different_sections_both_stand() {
    let mut stream = Stream::funded();
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
fn an_edit_that_breaks_another_section_is_refused_with_the_place_there() {
    let mut stream = Stream::funded();
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
    assert_eq!(stream.fold.versions().finance, DocumentVersion(1));
}

#[test]
fn only_the_owner_edits_a_section() {
    let mut stream = Stream::funded();
    let mut foreign = stream.edit("foreign", Section::Finance, text("{}"));
    foreign.team = TeamName::from("models");
    let EditOutcome::Refused { findings } = stream.append(&foreign) else {
        panic!("another team's edit must be refused");
    };
    assert_eq!(findings[0].message, "team models may not edit this section");
}

#[test]
fn a_resent_edit_is_decided_once() {
    let mut stream = Stream::funded();
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
    again.base_version = stream.fold.versions().finance;
    let first = DecidedEdit {
        edit_id: "two".to_owned(),
        offset: Offset(2),
        verdict: Verdict::LostRace {
            winner_version: DocumentVersion(2),
        },
    };
    assert_eq!(stream.fold.decision("two"), Some(&first));
    let duplicate = EditOutcome::Duplicate { first: Some(first) };
    assert_eq!(stream.fold.preview(&again).unwrap_err(), duplicate);
    assert_eq!(stream.append(&again), duplicate);
}

#[test]
fn a_top_up_is_applied_once_and_meets_any_version() {
    let mut stream = Stream::funded();
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
    let text = stream.fold.document().texts().get(Section::Finance).clone();
    assert!(text.contains("// prepaid"));
}

#[test]
fn a_removed_top_up_is_not_applied_again() {
    let mut stream = Stream::funded();
    let one = stream.edit("e1", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&one);
    let folded = stream.edit("e2", Section::Finance, text(&FINANCE.replace("100", "150")));
    let EditOutcome::Accepted { warnings, .. } = stream.append(&folded) else {
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
fn an_edit_keeps_the_top_ups_that_came_before_it(change: Change) {
    let mut stream = Stream::funded();
    let slow = stream.edit("slow", Section::Finance, change);
    let quick = stream.edit("quick", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&quick);
    assert!(matches!(stream.append(&slow), EditOutcome::Accepted { .. }));
    assert_eq!(stream.total_tokens(), Tokens(350));
}

#[test]
fn an_edit_that_removes_a_budget_topped_up_meanwhile_is_refused() {
    let mut stream = Stream::funded();
    let slow = stream.edit("slow", Section::Finance, text("{}"));
    let quick = stream.edit("quick", Section::Finance, top_up("main", "invoice", 50));
    stream.append(&quick);
    assert!(matches!(stream.append(&slow), EditOutcome::Refused { .. }));
    assert_eq!(stream.total_tokens(), Tokens(150));
}

#[test]
fn an_edit_before_another_edit_and_a_top_up_loses() {
    let mut stream = Stream::funded();
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
fn shards_are_fixed_once_there_is_a_budget() {
    let mut stream = Stream::default();
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
fn older_records_change_nothing() {
    let mut stream = Stream::funded();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    stream.append(&one);
    let before = stream.fold.snapshot();
    assert_eq!(
        stream.fold.apply(Offset(0), &stream.log[0]),
        EditOutcome::Stale
    );
    let older = DocumentSnapshot::from_bytes(&Stream::funded().fold.snapshot().to_bytes().unwrap());
    assert_eq!(stream.fold.restore(&older.unwrap()), Ok(false));
    assert_eq!(stream.fold.snapshot(), before);
}

#[test]
fn bytes_that_are_no_record_change_nothing() {
    let mut stream = Stream::funded();
    let outcome = stream.append_bytes(b"\x00garbage".to_vec());
    assert!(matches!(outcome, EditOutcome::Unknown { .. }));
    assert!(!stream.fold.is_waiting());
    assert_eq!(stream.fold.applied_to(), Offset(2));
}

#[test]
fn a_fresh_fold_starts_from_a_restatement() {
    let mut stream = Stream::funded();
    let late = stream.edit(
        "late",
        Section::Operations,
        assign("operations.data_centres.east", json!({})),
    );
    let state = stream.fold.snapshot();
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
    assert_eq!(fresh.snapshot(), stream.fold.snapshot());
}

#[test]
fn a_restatement_older_than_the_gap_does_not_do() {
    let mut stream = Stream::funded();
    let state = stream.fold.snapshot();
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
    stream.append_restatement();
    fresh.apply(Offset(3), &stream.log[3]);
    assert!(!fresh.is_waiting());
    assert_eq!(fresh.snapshot(), stream.fold.snapshot());
}

#[test]
fn a_node_that_is_behind_gets_records_or_the_whole_state() {
    let mut stream = Stream::funded();
    let mut behind = stream.fold.clone();
    let one = stream.edit(
        "one",
        Section::Finance,
        assign("finance.organisations.x", json!({})),
    );
    stream.append(&one);
    let update = stream.fold.update_since(behind.applied_to()).unwrap();
    assert!(matches!(update, DocumentUpdate::Records { .. }));
    assert_eq!(behind.take_update(&update), Ok(true));
    assert_eq!(behind.take_update(&update), Ok(false));
    assert_eq!(stream.fold.update_since(behind.applied_to()), None);

    // A node that restored its state has no records to send, only the state.
    let mut fresh = ReplayedDocument::starting_at(Offset(7));
    assert_eq!(fresh.restore(&behind.snapshot()), Ok(true));
    let update = fresh.update_since(Offset(0)).unwrap();
    assert!(matches!(update, DocumentUpdate::State { .. }));
    let mut first = Stream::funded().fold;
    assert_eq!(first.take_update(&update), Ok(true));
    assert_eq!(first.snapshot(), stream.fold.snapshot());
}

#[test]
fn records_that_expired_unread_leave_the_document_in_force() {
    let mut stream = Stream::funded();
    let mut slow = stream.fold.clone();
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
    assert_eq!(slow.versions(), Stream::funded().fold.versions());
    stream.append_restatement();
    slow.apply(Offset(2), &stream.log[2]);
    assert_eq!(slow.snapshot(), stream.fold.snapshot());
    slow.skip_expired(Offset(1));
    assert!(!slow.is_waiting());
}

#[test]
fn a_large_restatement_comes_in_parts() {
    let mut stream = Stream::funded();
    let title = "x".repeat(700_000);
    let large = stream.edit(
        "large",
        Section::Finance,
        assign("finance.organisations.guild.title", title),
    );
    stream.append(&large);
    let start = stream.log.len();
    stream.append_restatement();
    assert!(stream.log.len() - start >= 3);
    let mut fresh = ReplayedDocument::starting_at(Offset(start as u64));
    for (bytes, offset) in stream.log[start..].iter().zip(start as u64..) {
        assert!(fresh.is_waiting());
        fresh.apply(Offset(offset), bytes);
    }
    assert_eq!(fresh.snapshot().digest(), stream.fold.snapshot().digest());
}

#[test]
fn a_newer_format_is_waited_out_with_the_document_in_force() {
    let mut stream = Stream::funded();
    let newer = br#"{"format": 2, "record": "edit", "other": true}"#.to_vec();
    assert_eq!(stream.append_bytes(newer), EditOutcome::Waiting);
    assert!(stream.fold.is_waiting());
    assert_eq!(stream.total_tokens(), Tokens(100));
    // A newer process has applied the record and writes a restatement.
    let mut newer_fold = ReplayedDocument::default();
    newer_fold.apply(Offset(0), &stream.log[0]);
    newer_fold.apply(Offset(1), b"its effect does not matter here");
    for record in newer_fold.snapshot().to_records().unwrap() {
        stream.append_bytes(record.encode().unwrap());
    }
    assert!(!stream.fold.is_waiting());
    assert_eq!(stream.fold.applied_to(), Offset(3));
}

#[test]
fn blame_and_history_name_the_edit() {
    let mut stream = Stream::funded();
    let mut second = stream.edit(
        "second",
        Section::Finance,
        assign("finance.organisations.guild.bridge_ms", 5),
    );
    second.author = "bob".to_owned();
    second.note = "shorter bridge".to_owned();
    stream.append(&second);
    let blamed: Vec<_> = stream
        .fold
        .blame(Section::Finance)
        .into_iter()
        .filter(|line| line.author == "bob")
        .map(|line| line.text)
        .collect();
    assert!(blamed.iter().any(|line| line.contains("bridge_ms")));
    assert!(!blamed.iter().any(|line| line.contains("prepaid")));
    let last = stream.fold.history().last().unwrap();
    assert_eq!(
        (last.author.as_str(), last.note.as_str()),
        ("bob", "shorter bridge")
    );
    assert!(last.diff.contains("+"));
    let state = stream.fold.snapshot();
    let mut fresh = ReplayedDocument::starting_at(Offset(9));
    assert_eq!(fresh.restore(&state), Ok(true));
    assert_eq!(
        fresh.blame(Section::Finance),
        stream.fold.blame(Section::Finance)
    );
}
