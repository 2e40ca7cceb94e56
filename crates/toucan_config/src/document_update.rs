//! Records or state that one node sends to another that lags behind.

use serde::{Deserialize, Serialize};
use toucan_types::{Finding, Offset, Severity};

use crate::{DocumentSnapshot, ReplayedDocument};

/// Records or state for a node that lags behind; serialisable in any format.
///
/// See also [`ReplayedDocument::update_since`] and [`ReplayedDocument::apply_update`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentUpdate {
    /// Consecutive records of the log.
    Records {
        /// Offset of the first record.
        first_offset: Offset,
        /// The records as encoded in the log.
        records: Vec<Vec<u8>>,
    },
    /// The whole state, encoded by [`DocumentSnapshot::to_bytes`].
    State {
        /// The encoded state.
        bytes: Vec<u8>,
    },
}

impl ReplayedDocument {
    /// Returns what a node that has applied all records below `applied_to` lacks.
    ///
    /// This is the recent records if they reach back far enough, otherwise the whole state. Returns
    /// [`None`] if the node lacks nothing.
    #[must_use]
    pub fn update_since(&self, applied_to: Offset) -> Option<DocumentUpdate> {
        if applied_to >= self.applied_to() {
            return None;
        }
        if let Some(records) = self.recent_records(applied_to) {
            return Some(DocumentUpdate::Records {
                first_offset: applied_to,
                records,
            });
        }
        let bytes = self.snapshot().to_bytes().ok()?;
        Some(DocumentUpdate::State { bytes })
    }

    /// Applies an update from another node and returns whether [`Self::applied_to`] advanced.
    ///
    /// # Errors
    ///
    /// The findings if the state cannot be decoded or has errors by the rules of this process's
    /// version.
    pub fn apply_update(&mut self, update: &DocumentUpdate) -> Result<bool, Vec<Finding>> {
        let before = self.applied_to();
        match update {
            DocumentUpdate::Records {
                first_offset,
                records,
            } => {
                let offsets = (first_offset.0..).map(Offset);
                self.apply_missing(offsets.zip(records));
            }
            DocumentUpdate::State { bytes } => {
                let snapshot = DocumentSnapshot::from_bytes(bytes)
                    .map_err(|error| vec![Finding::new(Severity::Error, "", error.to_string())])?;
                self.restore(&snapshot)?;
            }
        }
        Ok(self.applied_to() > before)
    }
}
