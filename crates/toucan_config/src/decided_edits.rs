//! Decisions on the latest edits, by edit id.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use toucan_types::{DocumentVersion, FastHashMap, Finding, Offset};

use crate::EditOutcome;

/// Maximum number of edits whose decision is kept.
pub const MAX_EDIT_IDS: usize = 4096;
/// Maximum number of findings kept with a refused edit.
const MAX_FINDINGS: usize = 8;

/// An edit that was accepted or rejected when its record was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedEdit {
    /// Identifier of the edit.
    pub edit_id: String,
    /// Offset of the first record with the id.
    pub offset: Offset,
    /// The decision.
    #[serde(rename = "verdict")]
    pub decision: EditDecision,
}

/// Whether an edit was accepted, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum EditDecision {
    /// The edit is in force.
    Accepted {
        /// Version that the edit created.
        version: DocumentVersion,
    },
    /// Another edit of the section was applied after the base version.
    LostRace {
        /// Version in force when the edit was read.
        winner_version: DocumentVersion,
    },
    /// The edit is invalid or not allowed.
    Refused {
        /// The first eight findings.
        findings: Vec<Finding>,
    },
    /// The edit is a top-up that was applied before under another edit id.
    AppliedBefore,
}

impl EditDecision {
    pub(crate) fn from_outcome(outcome: &EditOutcome) -> Option<Self> {
        match outcome {
            EditOutcome::Accepted { version, .. } => Some(Self::Accepted { version: *version }),
            EditOutcome::LostRace(race) => Some(Self::LostRace {
                winner_version: race.winner_version,
            }),
            EditOutcome::Refused { findings } => Some(Self::Refused {
                findings: findings.iter().take(MAX_FINDINGS).cloned().collect(),
            }),
            EditOutcome::Duplicate { .. } => Some(Self::AppliedBefore),
            EditOutcome::SnapshotPart { .. }
            | EditOutcome::Stale
            | EditOutcome::Waiting
            | EditOutcome::Unknown { .. } => None,
        }
    }
}

/// The last [`MAX_EDIT_IDS`] decided edits.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecidedEdits {
    by_id: FastHashMap<String, DecidedEdit>,
    order: VecDeque<String>,
}

impl DecidedEdits {
    pub(crate) fn get(&self, edit_id: &str) -> Option<&DecidedEdit> {
        self.by_id.get(edit_id)
    }

    pub(crate) fn push(&mut self, decided: DecidedEdit) {
        if self.order.len() == MAX_EDIT_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_id.remove(&oldest);
        }
        self.order.push_back(decided.edit_id.clone());
        self.by_id.insert(decided.edit_id.clone(), decided);
    }

    pub(crate) fn to_vec(&self) -> Vec<DecidedEdit> {
        self.order
            .iter()
            .filter_map(|edit_id| self.by_id.get(edit_id).cloned())
            .collect()
    }

    pub(crate) fn from_vec(decided: Vec<DecidedEdit>) -> Self {
        let mut edits = Self::default();
        for edit in decided {
            edits.push(edit);
        }
        edits
    }
}
