//! Replay of the document's stream: applies records in offset order to get the current document.

use std::collections::VecDeque;
use std::sync::Arc;

use toucan_types::{DocumentVersion, Finding, Offset, Severity};

use crate::applied_top_ups::AppliedTopUps;
use crate::blame::Blame;
use crate::buffered_records::BufferedRecords;
use crate::decided_edits::DecidedEdits;
use crate::history::shorten_diff;
use crate::recent_records::RecentRecords;
use crate::snapshot::SnapshotAssembler;
use crate::{
    BlameLine, Change, DecidedEdit, Document, DocumentRecord, DocumentSnapshot, EditDecision,
    EditOutcome, EditRecord, HistoryEntry, LostRace, RecordError, Section, SectionEditor,
    SectionTexts, Versions, diff_lines, transition,
};

/// Maximum number of accepted edits in the history.
pub const MAX_HISTORY_ENTRIES: usize = 512;
/// Maximum length of a section's text in bytes.
pub const MAX_SECTION_BYTES: usize = 32 << 20;
/// Maximum length of an edit id, author or note in bytes.
const MAX_METADATA_BYTES: usize = 1024;

/// The document replayed from its stream in the log.
///
/// Nodes that apply the same records hold the same document. An edit takes effect at a node when
/// the node reads it back from the log. Records below [`Self::next_offset`] are ignored, so
/// applying a record twice has no effect.
///
/// A replay that does not start at offset 0, or that meets a gap or a record of a newer format,
/// waits for a [`DocumentSnapshot`]. The last document stays in force until then.
#[derive(Clone, Debug, Default)]
pub struct ReplayedDocument {
    applied_to: Offset,
    document: Arc<Document>,
    history: VecDeque<HistoryEntry>,
    decided: DecidedEdits,
    top_ups: AppliedTopUps,
    blame: [Blame; 3],
    assembler: SnapshotAssembler,
    buffered: Option<BufferedRecords>,
    recent: RecentRecords,
}

/// Result of an edit applied to the document in force, without making the edit.
#[derive(Clone, Debug)]
pub struct Preview {
    /// The document after the edit.
    pub document: Arc<Document>,
    /// Warnings on the new document and on the change.
    pub warnings: Vec<Finding>,
    /// What changes in the section, as a unified diff.
    pub diff: String,
}

impl ReplayedDocument {
    /// Starts the replay of a stream whose oldest record has this offset.
    #[must_use]
    pub fn starting_at(first_offset: Offset) -> Self {
        let buffered = (first_offset.0 > 0).then(|| BufferedRecords::from_offset(first_offset));
        Self {
            buffered,
            ..Self::default()
        }
    }

    /// Applies one record; records are passed in offset order.
    pub fn apply(&mut self, offset: Offset, bytes: &[u8]) -> EditOutcome {
        if offset < self.next_offset() {
            return EditOutcome::Stale;
        }
        self.skip_expired(offset);
        let record = DocumentRecord::decode(bytes);
        if let Err(RecordError::NewerFormat(_)) = record {
            self.buffered = Some(BufferedRecords::from_offset(offset.next()));
            return EditOutcome::Waiting;
        }
        let Some(buffered) = &mut self.buffered else {
            self.recent.push(offset, bytes);
            return self.apply_record(offset, record);
        };
        buffered.push(offset, bytes);
        match record {
            Ok(DocumentRecord::Snapshot(part)) => {
                let snapshot = self.assembler.add(part);
                let is_restored = snapshot.is_some_and(|whole| self.restore(&whole).is_ok());
                EditOutcome::SnapshotPart { is_restored }
            }
            Ok(DocumentRecord::Edit(_)) => EditOutcome::Waiting,
            Err(error) => EditOutcome::Unknown {
                reason: error.to_string(),
            },
        }
    }

    /// Marks the log's records below this offset as expired.
    ///
    /// If some of them were not applied yet, waits for a snapshot; the document in force stays.
    pub fn skip_expired(&mut self, first_offset: Offset) {
        if first_offset > self.next_offset() {
            self.buffered = Some(BufferedRecords::from_offset(first_offset));
        }
    }

    /// Replaces the state with a snapshot from the log or from another node, if that is newer.
    ///
    /// Returns whether it was newer.
    ///
    /// # Errors
    ///
    /// The findings if its texts have errors by the rules of this process's version.
    pub fn restore(&mut self, snapshot: &DocumentSnapshot) -> Result<bool, Vec<Finding>> {
        if snapshot.up_to <= self.applied_to {
            return Ok(false);
        }
        let texts = snapshot.texts();
        let checked = self.document.parse_next(&texts, snapshot.versions)?;
        self.document = checked.document;
        self.applied_to = snapshot.up_to;
        self.history = snapshot.history.iter().cloned().collect();
        self.decided = DecidedEdits::from_vec(snapshot.decided.clone());
        self.top_ups = snapshot.top_ups.clone();
        self.blame = Section::ALL
            .map(|section| Blame::from_runs(&snapshot.blame[section.index()], texts.get(section)));
        self.apply_buffered();
        Ok(true)
    }

    /// Returns the whole state at [`Self::applied_to`].
    #[must_use]
    pub fn snapshot(&self) -> DocumentSnapshot {
        let texts = self.document.texts();
        let text = |section| texts.get(section).to_string();
        DocumentSnapshot {
            up_to: self.applied_to,
            versions: self.versions(),
            finance: text(Section::Finance),
            models: text(Section::Models),
            operations: text(Section::Operations),
            history: self.history.iter().cloned().collect(),
            decided: self.decided.to_vec(),
            top_ups: self.top_ups.clone(),
            blame: [0, 1, 2].map(|section| self.blame[section].to_runs()),
        }
    }

    /// Applies an edit to the document in force without making it.
    ///
    /// # Errors
    ///
    /// The outcome that the edit's record would have now, if the edit cannot be made.
    pub fn preview(&self, edit: &EditRecord) -> Result<Preview, EditOutcome> {
        if let Some(first) = self.decided.get(&edit.edit_id) {
            let first = Some(first.clone());
            return Err(EditOutcome::Duplicate { first });
        }
        self.check_metadata(edit)?;
        let old_text = self.document.texts().get(edit.section);
        let new_text = self.new_text(edit)?;
        let mut versions = self.versions();
        versions.increment(edit.section);
        let texts = self
            .document
            .texts()
            .clone()
            .with(edit.section, new_text.as_str());
        let refused = |findings| EditOutcome::Refused { findings };
        let checked = self
            .document
            .parse_next(&texts, versions)
            .map_err(refused)?;
        let findings = transition::check(&self.document, &checked.document);
        if findings
            .iter()
            .any(|finding| finding.severity == Severity::Error)
        {
            return Err(refused(findings));
        }
        Ok(Preview {
            diff: diff_lines(old_text, &new_text).to_string(),
            document: checked.document,
            warnings: checked.warnings.into_iter().chain(findings).collect(),
        })
    }

    /// Returns the document in force.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        self.document.clone()
    }

    /// Returns the version of each section in force.
    #[must_use]
    pub fn versions(&self) -> Versions {
        self.document.versions()
    }

    /// Returns the offset below which all records are applied.
    #[must_use]
    pub const fn applied_to(&self) -> Offset {
        self.applied_to
    }

    /// Returns the offset of the next record to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.buffered.as_ref().map_or(self.applied_to, |buffered| {
            buffered.next_offset().max(self.applied_to)
        })
    }

    /// Returns whether records are missing and a snapshot is needed.
    #[must_use]
    pub const fn is_waiting(&self) -> bool {
        self.buffered.is_some()
    }

    /// Returns how an edit was decided, if it is among the last [`MAX_EDIT_IDS`](crate::MAX_EDIT_IDS).
    #[must_use]
    pub fn decision(&self, edit_id: &str) -> Option<&DecidedEdit> {
        self.decided.get(edit_id)
    }

    /// Iterates over the accepted edits, oldest first.
    pub fn history(&self) -> impl ExactSizeIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Returns the lines of a section with the edit that last changed each.
    #[must_use]
    pub fn blame(&self, section: Section) -> Vec<BlameLine> {
        self.blame[section.index()].lines(self.document.texts().get(section))
    }

    /// Returns the applied records from this offset on if all of them are still in memory.
    pub(crate) fn recent_records(&self, from: Offset) -> Option<Vec<Vec<u8>>> {
        let records = self.recent.since(from)?;
        let end = from.0 + records.len() as u64;
        (end == self.applied_to.0).then_some(records)
    }

    /// Applies missing records, then the buffered ones that follow them.
    pub(crate) fn apply_missing<'r>(
        &mut self,
        records: impl Iterator<Item = (Offset, &'r Vec<u8>)>,
    ) {
        let buffered = self.buffered.take();
        for (offset, record) in records {
            // Applying a record after a gap would start an unnecessary wait for a snapshot.
            if offset == self.next_offset() {
                self.apply(offset, record);
            }
        }
        if self.buffered.is_none() {
            self.buffered = buffered;
        }
        self.apply_buffered();
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        record: Result<DocumentRecord, RecordError>,
    ) -> EditOutcome {
        self.applied_to = offset.next();
        match record {
            Ok(DocumentRecord::Edit(edit)) => self.apply_edit(offset, &edit),
            Ok(DocumentRecord::Snapshot(_)) => EditOutcome::SnapshotPart { is_restored: false },
            Err(error) => EditOutcome::Unknown {
                reason: error.to_string(),
            },
        }
    }

    fn apply_edit(&mut self, offset: Offset, edit: &EditRecord) -> EditOutcome {
        let outcome = match self.preview(edit) {
            Ok(preview) => self.accept(offset, edit, preview),
            Err(outcome) => outcome,
        };
        let is_known = self.decided.get(&edit.edit_id).is_some();
        if let Some(decision) = EditDecision::from_outcome(&outcome)
            && !is_known
            && edit.edit_id.len() <= MAX_METADATA_BYTES
        {
            self.decided.push(DecidedEdit {
                edit_id: edit.edit_id.clone(),
                offset,
                decision,
            });
        }
        outcome
    }

    fn accept(&mut self, offset: Offset, edit: &EditRecord, preview: Preview) -> EditOutcome {
        let section = edit.section;
        let version = preview.document.versions().get(section);
        self.blame[section.index()].update(
            self.document.texts().get(section),
            preview.document.texts().get(section),
            version,
            edit,
        );
        match &edit.change {
            Change::TopUp(top_up) => self.top_ups.push(version, top_up.clone()),
            Change::Text { .. } | Change::Assign { .. } if section == Section::Finance => {
                self.top_ups.record_edit(version);
            }
            Change::Text { .. } | Change::Assign { .. } => {}
        }
        if self.history.len() == MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
        self.history.push_back(HistoryEntry {
            offset,
            edit_id: edit.edit_id.clone(),
            section,
            version,
            team: edit.team.clone(),
            author: edit.author.clone(),
            at_ms: edit.at_ms,
            note: edit.note.clone(),
            diff: shorten_diff(&preview.diff),
        });
        self.document = preview.document;
        EditOutcome::Accepted {
            section,
            version,
            warnings: preview.warnings,
        }
    }

    /// Applies the buffered records if no record before them is missing.
    fn apply_buffered(&mut self) {
        let Some(buffered) = &self.buffered else {
            return;
        };
        if buffered.first_offset() > self.applied_to {
            return;
        }
        let Some(buffered) = self.buffered.take() else {
            return;
        };
        for (offset, bytes) in buffered.into_records() {
            self.apply(offset, &bytes);
        }
    }

    fn check_metadata(&self, edit: &EditRecord) -> Result<(), EditOutcome> {
        let section = edit.section;
        if edit.team != section.team() {
            let message = format!("team {} may not edit this section", edit.team);
            let hint = format!("ask team {section}, which owns it");
            return Err(refused(section, &message, &hint));
        }
        let is_long = |value: &str| value.len() > MAX_METADATA_BYTES;
        if edit.edit_id.is_empty() || is_long(&edit.edit_id) {
            return Err(refused(section, "an edit id has 1 to 1024 bytes", ""));
        }
        if is_long(&edit.author) || is_long(&edit.note) {
            return Err(refused(
                section,
                "author and note have at most 1024 bytes",
                "",
            ));
        }
        Ok(())
    }

    /// Returns the section's text after the edit, or the outcome that prevents it.
    fn new_text(&self, edit: &EditRecord) -> Result<String, EditOutcome> {
        if let Change::TopUp(top_up) = &edit.change {
            if edit.section != Section::Finance {
                return Err(refused(
                    edit.section,
                    "a top-up belongs to the finance section",
                    "",
                ));
            }
            if self.top_ups.contains(top_up) {
                return Err(EditOutcome::Duplicate { first: None });
            }
        } else {
            self.check_base_version(edit)?;
        }
        let current = self.document.texts().get(edit.section);
        let text = changed_text(edit, current)?;
        let text = self.merge_top_ups(edit, text)?;
        if text.len() > MAX_SECTION_BYTES {
            let message = format!("a section has at most {MAX_SECTION_BYTES} bytes");
            return Err(refused(edit.section, &message, ""));
        }
        Ok(text)
    }

    fn check_base_version(&self, edit: &EditRecord) -> Result<(), EditOutcome> {
        let current = self.versions().get(edit.section);
        if edit.base_version > current {
            let message = format!(
                "the edit starts from version {}, but version {current} is in force",
                edit.base_version
            );
            return Err(refused(edit.section, &message, "read the section again"));
        }
        let only_top_ups_since =
            edit.section == Section::Finance && self.top_ups.accepts_base(edit.base_version);
        if edit.base_version == current || only_top_ups_since {
            return Ok(());
        }
        Err(self.lost_race(edit, current))
    }

    fn lost_race(&self, edit: &EditRecord, winner_version: DocumentVersion) -> EditOutcome {
        let current = self.document.texts().get(edit.section);
        let wanted = changed_text(edit, current)
            .map_or_else(|_| current.clone(), |text| Arc::from(text.as_str()));
        EditOutcome::LostRace(LostRace {
            section: edit.section,
            winner_version,
            current: current.clone(),
            wanted,
        })
    }

    /// Adds the top-ups applied after the base version to a text that replaces the whole section.
    fn merge_top_ups(&self, edit: &EditRecord, text: String) -> Result<String, EditOutcome> {
        let is_text = matches!(edit.change, Change::Text { .. });
        if edit.section != Section::Finance || !is_text {
            return Ok(text);
        }
        let mut missed = self.top_ups.since(edit.base_version).peekable();
        if missed.peek().is_none() {
            return Ok(text);
        }
        let failed = |error: crate::EditError| {
            let hint = "a top-up of this budget came after the version that the edit starts from";
            refused(Section::Finance, &error.to_string(), hint)
        };
        let editor = SectionEditor::parse(edit.section, &text).map_err(failed)?;
        for top_up in missed {
            editor.add_top_up(top_up).map_err(failed)?;
        }
        Ok(editor.text())
    }
}

impl DocumentSnapshot {
    /// Returns the text of each section.
    #[must_use]
    pub fn texts(&self) -> SectionTexts {
        SectionTexts::default()
            .with(Section::Finance, self.finance.as_str())
            .with(Section::Models, self.models.as_str())
            .with(Section::Operations, self.operations.as_str())
    }
}

/// Applies the edit to the text in force without checking its base version.
fn changed_text(edit: &EditRecord, current: &str) -> Result<String, EditOutcome> {
    let failed = |error: crate::EditError| refused(edit.section, &error.to_string(), "");
    match &edit.change {
        Change::Text { text } => Ok(text.clone()),
        Change::Assign { assignments } => {
            let editor = SectionEditor::parse(edit.section, current).map_err(failed)?;
            for assignment in assignments {
                editor.assign(assignment).map_err(failed)?;
            }
            Ok(editor.text())
        }
        Change::TopUp(top_up) => {
            let editor = SectionEditor::parse(edit.section, current).map_err(failed)?;
            if !editor.add_top_up(top_up).map_err(failed)? {
                return Err(EditOutcome::Duplicate { first: None });
            }
            Ok(editor.text())
        }
    }
}

fn refused(section: Section, message: &str, hint: &str) -> EditOutcome {
    let finding = Finding::new(Severity::Error, section.name(), message).with_hint(hint);
    EditOutcome::Refused {
        findings: vec![finding],
    }
}
