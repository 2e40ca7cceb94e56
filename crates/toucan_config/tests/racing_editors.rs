//! Concurrent edits through several nodes, while edits are sent again and records expire.
//!
//! All nodes must end with the same document, without lost or reverted edits.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::{FINANCE, assign, bytes, edit, text, top_up};
use test_case::test_case;
use toucan_config::{
    Change, DecidedEdit, DocumentRecord, EditDecision, EditOutcome, EditRecord, ReplayedDocument,
    Section, SnapshotPart,
};
use toucan_types::{DocumentVersion, Offset};

const NODES: usize = 5;
const STEPS: usize = 1500;

/// A simulation: a log, nodes that read it independently, and the texts they had in force.
struct Simulation {
    rng: StdRng,
    log: Vec<Vec<u8>>,
    first_offset: usize,
    snapshot_up_to: Option<usize>,
    nodes: Vec<ReplayedDocument>,
    /// Text of each version; all nodes must have the same one.
    texts_by_version: BTreeMap<(Section, DocumentVersion), String>,
    edits: Vec<EditRecord>,
    unanswered_edits: Vec<EditRecord>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            log: Vec::new(),
            first_offset: 0,
            snapshot_up_to: None,
            nodes: vec![ReplayedDocument::default(); NODES],
            texts_by_version: BTreeMap::new(),
            edits: Vec::new(),
            unanswered_edits: Vec::new(),
        };
        let first = edit(
            &simulation.nodes[0],
            "first",
            Section::Finance,
            text(FINANCE),
        );
        simulation.append(&first);
        simulation
    }

    fn append(&mut self, edit: &EditRecord) {
        self.log.push(bytes(edit));
        self.edits.push(edit.clone());
    }

    fn step(&mut self) {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..100) {
            0..50 => self.read(node),
            50..85 => self.write(node),
            85..90 => self.resend(),
            90..95 => self.catch_up(node),
            95..97 => self.write_snapshot(node),
            97..98 => self.expire_records(),
            _ => self.replace_vm(node),
        }
    }

    /// The node reads some records, and sometimes a record that it has already applied.
    fn read(&mut self, node: usize) {
        for _ in 0..self.rng.random_range(1..6) {
            let next = self.nodes[node].next_offset().0 as usize;
            let at = next.max(self.first_offset);
            let Some(record) = self.log.get(at) else {
                return;
            };
            self.nodes[node].apply(Offset(at as u64), record);
            if self.rng.random_bool(0.1) {
                let old = self.rng.random_range(self.first_offset..=at);
                let outcome = self.nodes[node].apply(Offset(old as u64), &self.log[old]);
                assert_eq!(outcome, EditOutcome::Stale);
            }
            self.check_texts(node);
        }
    }

    fn check_texts(&mut self, node: usize) {
        let document = self.nodes[node].document();
        for section in Section::ALL {
            let version = document.versions().get(section);
            let text = document.texts().get(section).to_string();
            let texts_by_version = self
                .texts_by_version
                .entry((section, version))
                .or_insert_with(|| text.clone());
            assert_eq!(
                *texts_by_version, text,
                "two texts of {section} at version {version}"
            );
        }
    }

    fn write(&mut self, node: usize) {
        let number = self.edits.len();
        let name = self.rng.random_range(0..4);
        let (section, change) = match self.rng.random_range(0..6) {
            0 => (
                Section::Finance,
                top_up("main", &format!("t{}", number / 2), 10),
            ),
            1 => {
                let path = format!("finance.organisations.o{name}");
                (
                    Section::Finance,
                    assign(&path, serde_json::json!({ "bridge_ms": number })),
                )
            }
            2 => {
                // Refused if the operations section has limits for the organisation.
                let path = format!("finance.organisations.o{name}");
                (Section::Finance, assign(&path, serde_json::Value::Null))
            }
            3 => {
                let path = format!("operations.limits.o{name}");
                (
                    Section::Operations,
                    assign(&path, serde_json::json!({ "concurrency": number })),
                )
            }
            4 => {
                let model = format!(
                    "{{ // edit {number}\n \"models\": {{\"m\": {{\"serving_version\": \"v\", \
                     \"versions\": {{\"v\": {{}}}}}}}}}}"
                );
                (Section::Models, text(&model))
            }
            _ => (Section::Finance, self.edit_purchased_tokens(node, number)),
        };
        let edit = edit(&self.nodes[node], &format!("e{number}"), section, change);
        if self.rng.random_bool(0.2) {
            self.unanswered_edits.push(edit.clone());
        }
        self.append(&edit);
    }

    /// Returns an edit that replaces the finance section by a text with other purchased tokens.
    fn edit_purchased_tokens(&self, node: usize, number: usize) -> Change {
        let document = self.nodes[node].document();
        let old = document.texts().get(Section::Finance);
        let line = format!("\"purchased_tokens\": {}", 100 + number);
        let lines = old
            .lines()
            .map(|text| match text.split_once("\"purchased_tokens\": ") {
                Some((before, after)) => {
                    let rest = after.trim_start_matches(|digit: char| digit.is_ascii_digit());
                    format!("{before}{line}{rest}\n")
                }
                None => format!("{text}\n"),
            });
        text(&lines.collect::<String>())
    }

    /// An editor who received no response sends the same edit again.
    fn resend(&mut self) {
        if let Some(edit) = self.unanswered_edits.pop() {
            self.log.push(bytes(&edit));
        }
    }

    /// A node catches up from another one, by records or by the whole state.
    fn catch_up(&mut self, to: usize) {
        let from = self.rng.random_range(0..NODES);
        let before = self.nodes[to].applied_to();
        if self.rng.random_bool(0.5) {
            let state = self.nodes[from].snapshot();
            let restored = self.nodes[to].restore(&state);
            assert_eq!(restored, Ok(state.up_to > before));
        } else if let Some(update) = self.nodes[from].update_since(before) {
            assert_eq!(self.nodes[to].apply_update(&update), Ok(true));
        }
        assert!(self.nodes[to].applied_to() >= before);
        self.check_texts(to);
    }

    fn write_snapshot(&mut self, node: usize) {
        let state = self.nodes[node].snapshot();
        for record in state.to_records().expect("the state is small") {
            self.log.push(record.encode().expect("the record is short"));
        }
        let up_to = state.up_to.0 as usize;
        self.snapshot_up_to = Some(
            self.snapshot_up_to
                .map_or(up_to, |earlier| earlier.max(up_to)),
        );
    }

    /// The log expires records that a snapshot covers.
    fn expire_records(&mut self) {
        if let Some(up_to) = self.snapshot_up_to {
            self.first_offset = self.first_offset.max(up_to);
        }
    }

    /// The node's VM is replaced and its state is lost.
    fn replace_vm(&mut self, node: usize) {
        self.nodes[node] = ReplayedDocument::starting_at(Offset(self.first_offset as u64));
    }

    fn finish(mut self) -> Self {
        let reference = self.reference();
        let state = reference.snapshot();
        for record in state.to_records().expect("the state is small") {
            self.log.push(record.encode().expect("the record is short"));
        }
        for node in 0..NODES {
            while (self.nodes[node].next_offset().0 as usize) < self.log.len() {
                self.read(node);
            }
        }
        self
    }

    /// Replays the whole log from its start, expired records included.
    fn reference(&self) -> ReplayedDocument {
        let mut reference = ReplayedDocument::default();
        for (record, offset) in self.log.iter().zip(0..) {
            reference.apply(Offset(offset), record);
        }
        reference
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn concurrent_edits_are_ordered_and_none_is_lost_or_reverted(seed: u64) {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
    }
    let simulation = simulation.finish();
    let reference = simulation.reference();
    for node in &simulation.nodes {
        assert!(!node.is_waiting());
        assert_eq!(node.snapshot(), reference.snapshot());
    }
    check_accepted_edits(&simulation, &reference);
    check_top_ups(&simulation, &reference);
}

/// Checks that at most one edit per base version was accepted and that versions have no gap.
fn check_accepted_edits(simulation: &Simulation, reference: &ReplayedDocument) {
    let mut made: BTreeMap<Section, BTreeSet<DocumentVersion>> = BTreeMap::new();
    let mut bases: BTreeSet<(Section, DocumentVersion)> = BTreeSet::new();
    let mut accepted = 0;
    for edit in &simulation.edits {
        let decision = &reference
            .decision(&edit.edit_id)
            .expect("every edit is decided")
            .decision;
        let EditDecision::Accepted { version } = decision else {
            continue;
        };
        accepted += 1;
        assert!(made.entry(edit.section).or_default().insert(*version));
        let is_top_up = matches!(edit.change, Change::TopUp(_));
        if !is_top_up {
            assert!(
                bases.insert((edit.section, edit.base_version)),
                "two accepted edits of one base version"
            );
            assert!(*version > edit.base_version);
        }
    }
    for (section, versions) in made {
        let last = reference.versions().get(section);
        assert_eq!(versions.len() as u64, last.0, "{section}");
        assert_eq!(versions.last(), Some(&last));
    }
    assert!(accepted > 20, "only {accepted} edits were accepted");
}

/// Checks that every accepted top-up is in force at the end, and each id once.
fn check_top_ups(simulation: &Simulation, reference: &ReplayedDocument) {
    let accepted: Vec<_> = simulation
        .edits
        .iter()
        .filter_map(|edit| match &edit.change {
            Change::TopUp(top_up) => Some((&edit.edit_id, top_up)),
            _ => None,
        })
        .filter(|(edit_id, _)| {
            let decision = &reference
                .decision(edit_id)
                .expect("every edit is decided")
                .decision;
            matches!(decision, EditDecision::Accepted { .. })
        })
        .map(|(_, top_up)| top_up.id.clone())
        .collect();
    let ids: BTreeSet<_> = accepted.iter().collect();
    assert_eq!(ids.len(), accepted.len(), "a top-up was applied twice");
    let document = reference.document();
    let top_ups = &document.budget("main").expect("no edit removes it").top_ups;
    let in_force: BTreeSet<_> = top_ups.iter().map(|top_up| &top_up.id).collect();
    assert_eq!(ids, in_force, "an accepted top-up was lost");
    assert!(ids.len() > 5);
}

#[test]
fn record_encoding_is_stable() {
    let edit = edit(
        &ReplayedDocument::default(),
        "e",
        Section::Finance,
        top_up("b", "i", 5),
    );
    let record = DocumentRecord::Edit(edit);
    let written = r#"{"format":1,"record":"edit","edit_id":"e","section":"finance","base_version":0,"change":{"kind":"top_up","id":"i","budget":"b","tokens":5},"team":"finance","author":"ann","at_ms":1000,"note":""}"#;
    assert_eq!(
        String::from_utf8(record.encode().expect("the record is short")).unwrap(),
        written
    );
    assert_eq!(DocumentRecord::decode(written.as_bytes()), Ok(record));

    let part = SnapshotPart {
        up_to: Offset(7),
        digest: "d".to_owned(),
        part: 0,
        parts: 1,
        data: "s".to_owned(),
    };
    let record = DocumentRecord::Snapshot(part);
    let written = r#"{"format":1,"record":"restatement","up_to":7,"digest":"d","part":0,"parts":1,"data":"s"}"#;
    assert_eq!(
        String::from_utf8(record.encode().expect("the record is short")).unwrap(),
        written
    );
    assert_eq!(DocumentRecord::decode(written.as_bytes()), Ok(record));
}

#[test]
fn decision_encoding_is_stable() {
    let decided = DecidedEdit {
        edit_id: "e".to_owned(),
        offset: Offset(3),
        decision: EditDecision::Accepted {
            version: DocumentVersion(2),
        },
    };
    let written = r#"{"edit_id":"e","offset":3,"verdict":{"verdict":"accepted","version":2}}"#;
    assert_eq!(serde_json::to_string(&decided).unwrap(), written);
    assert_eq!(
        serde_json::from_str::<DecidedEdit>(written).unwrap(),
        decided
    );
}
