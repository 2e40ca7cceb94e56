//! Outcome of applying a record.

use std::sync::Arc;

use toucan_types::{DocumentVersion, Finding};

use crate::{DecidedEdit, Section, diff_lines};

/// Outcome of applying one record of the document's stream.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The edit is in force.
    Accepted {
        /// Section that changed.
        section: Section,
        /// Version that the edit created.
        version: DocumentVersion,
        /// Warnings on the new document and on the change.
        warnings: Vec<Finding>,
    },
    /// Another edit of the section was applied after the base version.
    LostRace(LostRace),
    /// The document would have errors, or the team may not make the edit.
    Refused {
        /// The errors, and the warnings found with them.
        findings: Vec<Finding>,
    },
    /// The edit id was already decided, or a top-up with the same id was already applied.
    Duplicate {
        /// The earlier record with the same edit id; [`None`] if a top-up of the same id was applied
        /// under another edit id.
        first: Option<DecidedEdit>,
    },
    /// A part of a snapshot.
    SnapshotPart {
        /// Whether the part completed a snapshot that was needed and has been restored.
        is_restored: bool,
    },
    /// The record's offset is below the next expected one; the record is ignored.
    Stale,
    /// Records are missing until a snapshot is read; the record is buffered if it is readable.
    Waiting,
    /// The bytes cannot be decoded; the record is ignored.
    Unknown {
        /// Why decoding failed.
        reason: String,
    },
}

/// A conflict: an edit whose base version is no longer in force.
#[derive(Clone, Debug, PartialEq)]
pub struct LostRace {
    /// Section of both edits.
    pub section: Section,
    /// Version in force, created by the edit that was applied first.
    pub winner_version: DocumentVersion,
    /// Text in force.
    pub current: Arc<str>,
    /// Text in force with the rejected edit applied, or unchanged if it cannot be applied.
    pub wanted: Arc<str>,
}

impl LostRace {
    /// Returns what the rejected edit would change in the text in force, as a unified diff.
    #[must_use]
    pub fn diff(&self) -> String {
        diff_lines(&self.current, &self.wanted).to_string()
    }
}
