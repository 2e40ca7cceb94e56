//! Bills, entries of a settlement and open reservations.

use serde::{Deserialize, Serialize};
use toucan_types::{BillId, BudgetName, Tokens};

/// Cost of one request, billed once per id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Id under which the request is billed once.
    pub id: BillId,
    /// Cost in tokens.
    pub tokens: Tokens,
    /// Time of admission by the clock of the router, in milliseconds since 1970.
    pub admitted_at_ms: u64,
}

/// Part of a settlement that concerns one budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleEntry {
    /// The budget.
    pub budget: BudgetName,
    /// Bills of ended requests, paid from the writer's grant.
    pub bills: Vec<Bill>,
    /// Unspent tokens of the grant that return to the budget's remaining tokens.
    pub returned_tokens: Tokens,
}

/// Reservation of a dispatched request whose bill is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenReservation {
    /// Id under which the request will be billed.
    pub bill: BillId,
    /// The budget.
    pub budget: BudgetName,
    /// Maximum cost of the request.
    pub reserved_tokens: Tokens,
}
