//! Additions to a prepaid budget.

use toucan_types::{BudgetName, Tokens};

/// Addition to a prepaid budget; idempotent by its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct TopUp {
    /// Identifier, such as the number of an invoice; unique within the budget.
    pub id: String,
    /// Budget that the tokens are added to.
    pub budget: BudgetName,
    /// Tokens added.
    pub tokens: Tokens,
}
