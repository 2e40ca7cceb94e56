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
pub(crate) struct BlameStamp {
    pub(crate) version: DocumentVersion,
    pub(crate) author: String,
    pub(crate) at_ms: u64,
}

/// The edit that last changed each line of one section.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Blame {
    stamps: Vec<Arc<BlameStamp>>,
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
        let stamp = Arc::new(BlameStamp {
            version,
            author: edit.author.clone(),
            at_ms: edit.at_ms,
        });
        let origins = diff_lines(old, new).origins();
        self.stamps = origins
            .into_iter()
            .map(|origin| origin.map_or_else(|| stamp.clone(), |line| self.stamp(line)))
            .collect();
    }

    /// Returns the lines of the text with their entries.
    pub(crate) fn lines(&self, text: &str) -> Vec<BlameLine> {
        text.lines()
            .enumerate()
            .map(|(line, text)| {
                let stamp = self.stamp(line);
                BlameLine {
                    version: stamp.version,
                    author: stamp.author.clone(),
                    at_ms: stamp.at_ms,
                    text: text.to_owned(),
                }
            })
            .collect()
    }

    /// Returns the entries in run-length encoding.
    pub(crate) fn to_runs(&self) -> Vec<(usize, BlameStamp)> {
        let mut runs: Vec<(usize, BlameStamp)> = Vec::new();
        for stamp in &self.stamps {
            match runs.last_mut() {
                Some((lines, last)) if last == stamp.as_ref() => *lines += 1,
                _ => runs.push((1, stamp.as_ref().clone())),
            }
        }
        runs
    }

    /// Decodes [`Self::to_runs`]; ignores entries past the end of the text.
    pub(crate) fn from_runs(runs: &[(usize, BlameStamp)], text: &str) -> Self {
        let mut left = text.lines().count();
        let mut stamps = Vec::new();
        for (lines, stamp) in runs {
            let lines = (*lines).min(left);
            left -= lines;
            stamps.extend(std::iter::repeat_n(Arc::new(stamp.clone()), lines));
        }
        Self { stamps }
    }

    fn stamp(&self, line: usize) -> Arc<BlameStamp> {
        self.stamps.get(line).cloned().unwrap_or_default()
    }
}
