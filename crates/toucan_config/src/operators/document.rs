//! Messages to read and edit the document.

use serde::{Deserialize, Serialize};
use toucan_types::{DocumentVersion, Finding, Offset, TeamName};

use crate::{
    BlameLine, Change, EditDecision, EditOutcome, EditRecord, HistoryEntry, Section, SectionTexts,
    Versions,
};

/// The document in force at the responding node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentResponse {
    /// Version of each section.
    pub versions: Versions,
    /// Offset below which the node has applied all records.
    pub applied_to: Offset,
    /// Whether records are missing at the node, so that its document may be outdated.
    pub is_waiting: bool,
    /// Text of the finance section.
    pub finance: String,
    /// Text of the models section.
    pub models: String,
    /// Text of the operations section.
    pub operations: String,
}

impl DocumentResponse {
    /// Returns the three texts.
    #[must_use]
    pub fn texts(&self) -> SectionTexts {
        SectionTexts::default()
            .with(Section::Finance, self.finance.as_str())
            .with(Section::Models, self.models.as_str())
            .with(Section::Operations, self.operations.as_str())
    }
}

/// Request to check or make an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditRequest {
    /// Identifier of the edit; a retry of the same edit has the same identifier.
    pub edit_id: String,
    /// Section that changes.
    pub section: Section,
    /// Version that the edit is based on.
    pub base_version: DocumentVersion,
    /// What changes.
    pub change: Change,
    /// Reason for the edit, kept in the history.
    #[serde(default)]
    pub note: String,
    /// Whether to make the edit despite warnings.
    #[serde(default)]
    pub accept_warnings: bool,
}

impl EditRequest {
    /// Returns the record of the edit, approved by a team at `now_ms` (milliseconds since 1970).
    #[must_use]
    pub fn into_record(self, team: TeamName, author: String, now_ms: u64) -> EditRecord {
        EditRecord {
            edit_id: self.edit_id,
            section: self.section,
            base_version: self.base_version,
            change: self.change,
            team,
            author,
            at_ms: now_ms,
            note: self.note,
        }
    }
}

/// Result of checking an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckResponse {
    /// Whether the edit would be accepted, ignoring warnings.
    pub is_valid: bool,
    /// Errors and warnings.
    pub findings: Vec<Finding>,
    /// What changes in the section, as a unified diff.
    pub diff: String,
}

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum EditResponse {
    /// The edit is in force at the responding node.
    Accepted {
        /// Version that the edit created.
        version: DocumentVersion,
        /// Warnings on the new document and on the change.
        warnings: Vec<Finding>,
    },
    /// A top-up with the same id was already applied.
    AppliedBefore,
    /// Another edit of the section was applied after the base version.
    LostRace {
        /// Version in force, created by the edit that was applied first.
        winner_version: DocumentVersion,
        /// What the rejected edit would change in the text in force, as a unified diff.
        diff: String,
    },
    /// The edit is invalid or not allowed; nothing was changed.
    Refused {
        /// The errors, and the warnings found with them.
        findings: Vec<Finding>,
    },
    /// The request did not accept the edit's warnings; nothing was changed.
    HasWarnings {
        /// The warnings.
        findings: Vec<Finding>,
        /// What would change.
        diff: String,
    },
    /// The record may or may not be in the log; retry the edit with the same id.
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
    },
}

impl EditResponse {
    /// Returns the HTTP status of the response.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } | Self::AppliedBefore => 200,
            Self::LostRace { .. } => 409,
            Self::Refused { .. } => 422,
            Self::HasWarnings { .. } => 428,
            Self::Unknown { .. } => 504,
        }
    }
}

impl From<EditOutcome> for EditResponse {
    fn from(outcome: EditOutcome) -> Self {
        let unknown = |reason: &str| Self::Unknown {
            reason: reason.to_owned(),
        };
        match outcome {
            EditOutcome::Accepted {
                version, warnings, ..
            } => Self::Accepted { version, warnings },
            EditOutcome::LostRace(race) => Self::LostRace {
                winner_version: race.winner_version,
                diff: race.diff(),
            },
            EditOutcome::Refused { findings } => Self::Refused { findings },
            EditOutcome::Duplicate { first: None } => Self::AppliedBefore,
            EditOutcome::Duplicate { first: Some(first) } => Self::from(first.decision),
            EditOutcome::Unknown { reason } => Self::Unknown { reason },
            EditOutcome::SnapshotPart { .. } | EditOutcome::Stale => {
                unknown("the record was read before")
            }
            EditOutcome::Waiting => unknown("the node waits for a restatement"),
        }
    }
}

impl From<EditDecision> for EditResponse {
    fn from(decision: EditDecision) -> Self {
        match decision {
            EditDecision::Accepted { version } => Self::Accepted {
                version,
                warnings: Vec::new(),
            },
            EditDecision::LostRace { winner_version } => Self::LostRace {
                winner_version,
                diff: String::new(),
            },
            EditDecision::Refused { findings } => Self::Refused { findings },
            EditDecision::AppliedBefore => Self::AppliedBefore,
        }
    }
}

/// Accepted edits, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The edits.
    pub entries: Vec<HistoryEntry>,
}

/// Lines of a section with the edit that last changed each.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameResponse {
    /// The lines.
    pub lines: Vec<BlameLine>,
}
