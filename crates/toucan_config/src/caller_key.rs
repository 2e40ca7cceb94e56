//! Keys of callers and operators in the document.

use toucan_types::{BudgetName, OrganisationName, TeamName};

use crate::HashedKey;

/// Key of a caller, which belongs to one organisation and is billed to one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Budget that the caller's requests are billed to.
    pub budget: BudgetName,
    /// Salted hash of the secret.
    pub key: HashedKey,
    /// Time from which the key is refused, in milliseconds since 1970; [`None`] for no end.
    pub not_after_ms: Option<u64>,
}

impl CallerKey {
    /// Whether the key may still be used.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.not_after_ms.is_none_or(|end_ms| now_ms < end_ms)
    }
}

/// Key of an operator, who edits the sections of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamKey {
    /// Team of the operator.
    pub team: TeamName,
    /// Author of the edits made with the key.
    pub author: String,
    /// Salted hash of the secret.
    pub key: HashedKey,
    /// Time from which the key is refused, in milliseconds since 1970; [`None`] for no end.
    pub not_after_ms: Option<u64>,
}

impl TeamKey {
    /// Whether the key may still be used.
    #[must_use]
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.not_after_ms.is_none_or(|end_ms| now_ms < end_ms)
    }
}
