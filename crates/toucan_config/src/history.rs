//! Entries of the edit history.

use serde::{Deserialize, Serialize};
use toucan_types::{DocumentVersion, Offset, TeamName};

use crate::Section;

/// Maximum length of the diff in a history entry, in bytes.
pub(crate) const MAX_DIFF_BYTES: usize = 2048;

/// An accepted edit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the edit in the log.
    pub offset: Offset,
    /// Identifier of the edit.
    pub edit_id: String,
    /// Section that changed.
    pub section: Section,
    /// Version that the edit created.
    pub version: DocumentVersion,
    /// Team that approved the edit.
    pub team: TeamName,
    /// Member of the team who approved it.
    pub author: String,
    /// Time of the edit in milliseconds since 1970.
    pub at_ms: u64,
    /// Reason for the edit; may be empty.
    pub note: String,
    /// What changed, as a unified diff of at most 2048 bytes.
    pub diff: String,
}

/// Truncates a diff to the lines that fit into [`MAX_DIFF_BYTES`].
pub(crate) fn shorten_diff(diff: &str) -> String {
    const MARK: &str = "…\n";
    if diff.len() <= MAX_DIFF_BYTES {
        return diff.to_owned();
    }
    let mut short = String::new();
    for line in diff.split_inclusive('\n') {
        if short.len() + line.len() + MARK.len() > MAX_DIFF_BYTES {
            break;
        }
        short.push_str(line);
    }
    short.push_str(MARK);
    short
}
