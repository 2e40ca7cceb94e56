//! Top-ups that were applied, to apply each only once and to keep them in concurrent edits.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use toucan_types::DocumentVersion;

use crate::TopUp;

/// Maximum number of top-ups kept in addition to those in the section's text.
pub(crate) const MAX_TOP_UPS: usize = 16_384;

/// A top-up and the version of the finance section that it created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppliedTopUp {
    pub(crate) version: DocumentVersion,
    pub(crate) top_up: TopUp,
}

/// The last [`MAX_TOP_UPS`] top-ups and the oldest base version that they can be merged into.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AppliedTopUps {
    /// Oldest base version of an edit that can be merged with all top-ups applied since.
    floor: DocumentVersion,
    applied: VecDeque<AppliedTopUp>,
}

impl AppliedTopUps {
    pub(crate) fn contains(&self, top_up: &TopUp) -> bool {
        self.applied
            .iter()
            .any(|earlier| earlier.top_up.id == top_up.id && earlier.top_up.budget == top_up.budget)
    }

    pub(crate) fn push(&mut self, version: DocumentVersion, top_up: TopUp) {
        if self.applied.len() == MAX_TOP_UPS
            && let Some(oldest) = self.applied.pop_front()
        {
            self.floor = self.floor.max(oldest.version);
        }
        self.applied.push_back(AppliedTopUp { version, top_up });
    }

    /// Records an edit other than a top-up.
    pub(crate) fn record_edit(&mut self, version: DocumentVersion) {
        self.floor = version;
    }

    /// Returns whether only top-ups were applied after this version.
    pub(crate) fn accepts_base(&self, base: DocumentVersion) -> bool {
        base >= self.floor
    }

    /// Iterates over the top-ups applied after this version.
    pub(crate) fn since(&self, base: DocumentVersion) -> impl Iterator<Item = &TopUp> {
        self.applied
            .iter()
            .filter(move |applied| applied.version > base)
            .map(|applied| &applied.top_up)
    }
}
