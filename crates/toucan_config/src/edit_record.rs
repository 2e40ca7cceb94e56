//! Records of the document's stream in the log.

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use toucan_types::{DocumentVersion, TeamName};

use crate::{Section, SnapshotPart, TopUp};

/// Format number of the records that are written, and the newest that can be read.
pub const EDIT_FORMAT: u32 = 1;
/// Maximum size of a record in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// One record of the document's stream, JSON with the number of its format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "snake_case")]
pub enum DocumentRecord {
    /// An edit approved by a team.
    Edit(EditRecord),
    /// A part of the whole state, which lets older records expire.
    #[serde(rename = "restatement")]
    Snapshot(SnapshotPart),
}

/// An edit of one section.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EditRecord {
    /// Identifier chosen by the sender; later records with the same one are duplicates.
    pub edit_id: String,
    /// Section that changes.
    pub section: Section,
    /// Version that the edit is based on; the edit is rejected if an edit other than a top-up
    /// was applied since.
    pub base_version: DocumentVersion,
    /// What changes.
    pub change: Change,
    /// Team that approved the edit.
    pub team: TeamName,
    /// Member of the team who approved it.
    pub author: String,
    /// Time of the edit by the clock of the node that received it, in milliseconds since 1970.
    pub at_ms: u64,
    /// Reason for the edit, kept in the history; may be empty.
    #[serde(default)]
    pub note: String,
}

/// What an edit changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Change {
    /// Replaces the whole text.
    Text {
        /// The new text of the section.
        text: String,
    },
    /// Sets or removes single values.
    Assign {
        /// The assignments in the order in which they are applied.
        assignments: Vec<Assignment>,
    },
    /// Adds a top-up, whatever version is in force.
    TopUp(TopUp),
}

/// One value that is set or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// Path in the syntax of [`EditPath`](crate::EditPath).
    pub path: String,
    /// The new value; `null` removes the value.
    pub value: Value,
}

/// Error when encoding or decoding a record.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum RecordError {
    /// the record has {0} bytes, more than 1048576
    TooLong(usize),
    /// the record has format {0}, newer than this process knows
    NewerFormat(u32),
    /// the record is malformed: {0}
    Malformed(String),
}

impl std::error::Error for RecordError {}

/// A record with its format number.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    format: u32,
    #[serde(flatten)]
    record: T,
}

/// The format number alone, readable in records of any format.
#[derive(Deserialize)]
struct FormatOnly {
    format: u32,
}

impl DocumentRecord {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        let envelope = Envelope {
            format: EDIT_FORMAT,
            record: self,
        };
        let bytes = serde_json::to_vec(&envelope)
            .map_err(|error| RecordError::Malformed(error.to_string()))?;
        check_length(&bytes)?;
        Ok(bytes)
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        check_length(bytes)?;
        let malformed = |error: serde_json::Error| RecordError::Malformed(error.to_string());
        let FormatOnly { format } = serde_json::from_slice(bytes).map_err(malformed)?;
        if format > EDIT_FORMAT {
            return Err(RecordError::NewerFormat(format));
        }
        let envelope: Envelope<Self> = serde_json::from_slice(bytes).map_err(malformed)?;
        Ok(envelope.record)
    }
}

fn check_length(bytes: &[u8]) -> Result<(), RecordError> {
    if bytes.len() > MAX_RECORD_BYTES {
        return Err(RecordError::TooLong(bytes.len()));
    }
    Ok(())
}
