//! Read-only views of one budget.

use toucan_types::{BudgetName, DocumentVersion, IncarnationId, OrganisationName, Tokens};

use crate::IncarnationStatus;

/// Totals of one budget: `purchased = remaining + outstanding + held + spent`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountView {
    /// The budget.
    pub budget: BudgetName,
    /// Organisation that owns it.
    pub organisation: OrganisationName,
    /// Version of the document that states the total.
    pub version: DocumentVersion,
    /// Purchased total, including the part of a reduction that is still owed.
    pub purchased_tokens: Tokens,
    /// Part of a reduction that is owed until tokens are returned.
    pub cut_owed_tokens: Tokens,
    /// Tokens that may be drawn.
    pub remaining_tokens: Tokens,
    /// Tokens granted to live incarnations.
    pub outstanding_tokens: Tokens,
    /// Tokens of fenced and released incarnations and of disputed bills.
    pub held_tokens: Tokens,
    /// Part of `held_tokens` that belongs to disputed bills.
    pub disputed_tokens: Tokens,
    /// Tokens billed.
    pub spent_tokens: Tokens,
    /// Number of live incarnations that hold a grant.
    pub holder_count: u32,
}

/// One budget with its holders, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The totals.
    pub account: AccountView,
    /// What each incarnation holds.
    pub holdings: Vec<Holding>,
}

/// What one incarnation holds of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// Its status.
    pub status: IncarnationStatus,
    /// Tokens outstanding, or held if it is no longer live.
    pub tokens: Tokens,
}
