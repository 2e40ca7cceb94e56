//! Budgets: purchases as operators see them, and balances as the nodes state them.

use serde::{Deserialize, Serialize};

/// Purchase of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Purchase {
    /// Time at which the edit was appended to the log; 0 for the initial purchase.
    pub at_ms: u64,
    /// Tokens added.
    pub tokens: u64,
}

/// One budget with its purchases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHistory {
    /// Name of the budget.
    pub budget: String,
    /// Organisation that owns it.
    pub organisation: String,
    /// Purchases, ordered by time.
    pub purchases: Vec<Purchase>,
}

impl BudgetHistory {
    /// Returns the tokens purchased up to and including a time.
    #[must_use]
    pub fn purchased_until(&self, at_ms: u64) -> u64 {
        let purchases = self.purchases.iter();
        let earlier = purchases.filter(|purchase| purchase.at_ms <= at_ms);
        earlier.map(|purchase| purchase.tokens).sum()
    }

    /// Returns the total of purchased tokens.
    #[must_use]
    pub fn purchased_tokens(&self) -> u64 {
        self.purchased_until(u64::MAX)
    }
}

/// Balance of one budget as a node states it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetStatement {
    /// Name of the node.
    pub node: String,
    /// Name of the budget.
    pub budget: String,
    /// Tokens purchased.
    pub purchased_tokens: u64,
    /// Tokens that may still be drawn.
    pub remaining_tokens: u64,
    /// Tokens granted to live incarnations.
    pub outstanding_tokens: u64,
    /// Tokens held for incarnations that may have crashed.
    pub held_tokens: u64,
    /// Tokens billed.
    pub spent_tokens: u64,
}
