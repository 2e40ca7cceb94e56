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
    Change, DocumentRecord, EditOutcome, EditRecord, ReplayedDocument, Section, Verdict,
};
use toucan_types::{DocumentVersion, Offset};

const NODES: usize = 5;
const STEPS: usize = 1500;

/// One simulated run: a log, nodes that read it independently, and the texts they had in force.
struct Run {
    rng: StdRng,
    log: Vec<Vec<u8>>,
    first_offset: usize,
    restated_up_to: Option<usize>,
    nodes: Vec<ReplayedDocument>,
    /// Text of each version; all nodes must have the same one.
    seen: BTreeMap<(Section, DocumentVersion), String>,
    edits: Vec<EditRecord>,
    lost_answers: Vec<EditRecord>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut run = Self {
            rng: StdRng::seed_from_u64(seed),
            log: Vec::new(),
            first_offset: 0,
            restated_up_to: None,
            nodes: vec![ReplayedDocument::default(); NODES],
            seen: BTreeMap::new(),
            edits: Vec::new(),
            lost_answers: Vec::new(),
        };
        let first = edit(&run.nodes[0], "first", Section::Finance, text(FINANCE));
        run.append(&first);
        run
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
            90..95 => self.hand_over(node),
            95..97 => self.restate(node),
            97..98 => self.expire(),
            _ => self.replace(node),
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
            self.observe(node);
        }
    }

    fn observe(&mut self, node: usize) {
        let document = self.nodes[node].document();
        for section in Section::ALL {
            let version = document.versions().get(section);
            let text = document.texts().get(section).to_string();
            let seen = self
                .seen
                .entry((section, version))
                .or_insert_with(|| text.clone());
            assert_eq!(*seen, text, "two texts of {section} at version {version}");
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
            _ => (Section::Finance, self.reprice(node, number)),
        };
        let edit = edit(&self.nodes[node], &format!("e{number}"), section, change);
        if self.rng.random_bool(0.2) {
            self.lost_answers.push(edit.clone());
        }
        self.append(&edit);
    }

    /// Returns an edit that replaces the finance section by a text with other purchased tokens.
    fn reprice(&self, node: usize, number: usize) -> Change {
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
        if let Some(edit) = self.lost_answers.pop() {
            self.log.push(bytes(&edit));
        }
    }

    /// A node catches up from another one, by records or by the whole state.
    fn hand_over(&mut self, to: usize) {
        let from = self.rng.random_range(0..NODES);
        let before = self.nodes[to].applied_to();
        if self.rng.random_bool(0.5) {
            let state = self.nodes[from].snapshot();
            let adopted = self.nodes[to].restore(&state);
            assert_eq!(adopted, Ok(state.up_to > before));
        } else if let Some(update) = self.nodes[from].update_since(before) {
            assert_eq!(self.nodes[to].take_update(&update), Ok(true));
        }
        assert!(self.nodes[to].applied_to() >= before);
        self.observe(to);
    }

    fn restate(&mut self, node: usize) {
        let state = self.nodes[node].snapshot();
        for record in state.to_records().expect("the state is small") {
            self.log.push(record.encode().expect("the record is short"));
        }
        let up_to = state.up_to.0 as usize;
        self.restated_up_to = Some(
            self.restated_up_to
                .map_or(up_to, |earlier| earlier.max(up_to)),
        );
    }

    /// The log expires records that a restatement covers.
    fn expire(&mut self) {
        if let Some(up_to) = self.restated_up_to {
            self.first_offset = self.first_offset.max(up_to);
        }
    }

    /// The node's VM is replaced and its state is lost.
    fn replace(&mut self, node: usize) {
        self.nodes[node] = ReplayedDocument::starting_at(Offset(self.first_offset as u64));
    }

    fn finish(mut self) -> Self {
        let oracle = self.oracle();
        let state = oracle.snapshot();
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
    fn oracle(&self) -> ReplayedDocument {
        let mut oracle = ReplayedDocument::default();
        for (record, offset) in self.log.iter().zip(0..) {
            oracle.apply(Offset(offset), record);
        }
        oracle
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
fn one_order_no_lost_or_reverted_edit(seed: u64) {
    let mut run = Run::new(seed);
    for _ in 0..STEPS {
        run.step();
    }
    let run = run.finish();
    let oracle = run.oracle();
    for node in &run.nodes {
        assert!(!node.is_waiting());
        assert_eq!(node.snapshot(), oracle.snapshot());
    }
    check_winners(&run, &oracle);
    check_top_ups(&run, &oracle);
}

/// Checks that at most one edit per base version was accepted and that versions have no gap.
fn check_winners(run: &Run, oracle: &ReplayedDocument) {
    let mut made: BTreeMap<Section, BTreeSet<DocumentVersion>> = BTreeMap::new();
    let mut bases: BTreeSet<(Section, DocumentVersion)> = BTreeSet::new();
    let mut accepted = 0;
    for edit in &run.edits {
        let verdict = &oracle
            .decision(&edit.edit_id)
            .expect("every edit is decided")
            .verdict;
        let Verdict::Accepted { version } = verdict else {
            continue;
        };
        accepted += 1;
        assert!(made.entry(edit.section).or_default().insert(*version));
        let is_top_up = matches!(edit.change, Change::TopUp(_));
        if !is_top_up {
            assert!(
                bases.insert((edit.section, edit.base_version)),
                "two winners"
            );
            assert!(*version > edit.base_version);
        }
    }
    for (section, versions) in made {
        let last = oracle.versions().get(section);
        assert_eq!(versions.len() as u64, last.0, "{section}");
        assert_eq!(versions.last(), Some(&last));
    }
    assert!(accepted > 20, "only {accepted} edits were accepted");
}

/// Checks that every accepted top-up is in force at the end, and each id once.
fn check_top_ups(run: &Run, oracle: &ReplayedDocument) {
    let accepted: Vec<_> = run
        .edits
        .iter()
        .filter_map(|edit| match &edit.change {
            Change::TopUp(top_up) => Some((&edit.edit_id, top_up)),
            _ => None,
        })
        .filter(|(edit_id, _)| {
            let verdict = &oracle
                .decision(edit_id)
                .expect("every edit is decided")
                .verdict;
            matches!(verdict, Verdict::Accepted { .. })
        })
        .map(|(_, top_up)| top_up.id.clone())
        .collect();
    let ids: BTreeSet<_> = accepted.iter().collect();
    assert_eq!(ids.len(), accepted.len(), "a top-up was applied twice");
    let document = oracle.document();
    let top_ups = &document.budget("main").expect("no edit removes it").top_ups;
    let in_force: BTreeSet<_> = top_ups.iter().map(|top_up| &top_up.id).collect();
    assert_eq!(ids, in_force, "an accepted top-up was lost");
    assert!(ids.len() > 5);
}

#[test]
fn records_keep_their_form() {
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
}
