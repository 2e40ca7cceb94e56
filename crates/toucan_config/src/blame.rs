//! The edit that last changed each line of a section.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use toucan_types::DocumentVersion;

use crate::{EditRecord, diff_lines};

/// One line of a section and the edit that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlameLine {
    /// Version that the edit created; 0 for a line that no edit has written.
    pub version: DocumentVersion,
    /// Author of the edit.
    pub author: String,
    /// Time of the edit in milliseconds since 1970.
    pub at_ms: u64,
    /// Text of the line.
    pub text: String,
}

/// Reference to an edit in blame output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BlameEntry {
    pub(crate) version: DocumentVersion,
    pub(crate) author: String,
    pub(crate) at_ms: u64,
}

/// The edit that last changed each line of one section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Blame {
    entries: Vec<Arc<BlameEntry>>,
}

impl Blame {
    /// Attributes the new lines to the edit; unchanged lines keep their entries.
    pub(crate) fn update(
        &mut self,
        old: &str,
        new: &str,
        version: DocumentVersion,
        edit: &EditRecord,
    ) {
        let entry = Arc::new(BlameEntry {
            version,
            author: edit.author.clone(),
            at_ms: edit.at_ms,
        });
        let origins = diff_lines(old, new).origins();
        self.entries = origins
            .into_iter()
            .map(|origin| origin.map_or_else(|| entry.clone(), |line| self.entry(line)))
            .collect();
    }

    /// Returns the lines of the text with their entries.
    pub(crate) fn lines(&self, text: &str) -> Vec<BlameLine> {
        text.lines()
            .enumerate()
            .map(|(line, text)| {
                let entry = self.entry(line);
                BlameLine {
                    version: entry.version,
                    author: entry.author.clone(),
                    at_ms: entry.at_ms,
                    text: text.to_owned(),
                }
            })
            .collect()
    }

    /// Returns the entries in run-length encoding.
    pub(crate) fn to_runs(&self) -> Vec<(usize, BlameEntry)> {
        let mut runs: Vec<(usize, BlameEntry)> = Vec::new();
        for entry in &self.entries {
            match runs.last_mut() {
                Some((lines, last)) if last == entry.as_ref() => *lines += 1,
                _ => runs.push((1, entry.as_ref().clone())),
            }
        }
        runs
    }

    /// Decodes [`Self::to_runs`]; ignores entries past the end of the text.
    pub(crate) fn from_runs(runs: &[(usize, BlameEntry)], text: &str) -> Self {
        let mut left = text.lines().count();
        let mut entries = Vec::new();
        for (lines, entry) in runs {
            let lines = (*lines).min(left);
            left -= lines;
            entries.extend(std::iter::repeat_n(Arc::new(entry.clone()), lines));
        }
        Self { entries }
    }

    fn entry(&self, line: usize) -> Arc<BlameEntry> {
        self.entries.get(line).cloned().unwrap_or_default()
    }
}
