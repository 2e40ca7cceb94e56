//! Budgets, top-ups and statements.

use serde::{Deserialize, Serialize};
use toucan_types::{
    BillId, BudgetName, DataCentreName, DocumentVersion, IncarnationId, Offset, OrganisationName,
    Tokens, VmName,
};

use crate::operators::EditRequest;
use crate::{Change, Section, TopUp};

/// A budget as known to the responding node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetResponse {
    /// The budget.
    pub budget: BudgetName,
    /// Organisation that paid.
    pub organisation: OrganisationName,
    /// Total in the document, top-ups included.
    pub purchased_tokens: Tokens,
    /// Duration of a partition or outage that grants should cover, in milliseconds.
    pub bridge_ms: u64,
    /// Ledger terms; [`None`] if the responding node does not replay the budget's stream.
    pub terms: Option<BudgetTerms>,
}

/// The budgets whose streams the responding node replays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetsResponse {
    /// The budgets.
    pub budgets: Vec<BudgetLine>,
}

/// One budget with its terms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetLine {
    /// The budget.
    pub budget: BudgetName,
    /// Organisation that paid.
    pub organisation: OrganisationName,
    /// The terms.
    pub terms: BudgetTerms,
}

/// The terms of a budget: `purchased = spent + outstanding + held + remaining`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetTerms {
    /// Tokens bought, as far as the ledger has read it.
    pub purchased_tokens: Tokens,
    /// Tokens billed.
    pub spent_tokens: Tokens,
    /// Tokens granted to routers and not yet billed.
    pub outstanding_tokens: Tokens,
    /// Tokens held until it is known whether they were spent.
    pub held_tokens: Tokens,
    /// Tokens that may be granted.
    pub remaining_tokens: Tokens,
    /// Part of a cut that is still to be taken from tokens as they are returned.
    pub cut_owed_tokens: Tokens,
    /// All records of the budget's stream below this offset are included.
    pub as_of: Offset,
}

impl BudgetTerms {
    /// Returns whether the terms add up to the purchased tokens.
    #[must_use]
    pub fn is_balanced(&self) -> bool {
        let parts = [
            self.spent_tokens,
            self.outstanding_tokens,
            self.held_tokens,
            self.remaining_tokens,
        ];
        let sum = parts
            .into_iter()
            .try_fold(Tokens::ZERO, Tokens::checked_add);
        sum == Ok(self.purchased_tokens)
    }
}

/// Request to add tokens to a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUpRequest {
    /// Identifier of the edit; a retry after a refusal needs a new one.
    pub edit_id: String,
    /// Identifier such as an invoice number; a top-up is applied once per identifier.
    pub id: String,
    /// Tokens to add.
    pub tokens: Tokens,
    /// Reason for the edit, kept in the history.
    #[serde(default)]
    pub note: String,
}

impl TopUpRequest {
    /// Returns the edit that makes the top-up.
    #[must_use]
    pub fn into_edit(self, budget: BudgetName) -> EditRequest {
        EditRequest {
            edit_id: self.edit_id,
            section: Section::Finance,
            base_version: DocumentVersion(0),
            change: Change::TopUp(TopUp {
                id: self.id,
                budget,
                tokens: self.tokens,
            }),
            note: self.note,
            accept_warnings: true,
        }
    }
}

/// Statement of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementResponse {
    /// The budget.
    pub budget: BudgetName,
    /// Organisation that paid.
    pub organisation: OrganisationName,
    /// The terms.
    pub terms: BudgetTerms,
    /// Processes that hold the outstanding and held tokens.
    pub holders: Vec<HolderLine>,
    /// Bills that the node still knows, newest first; [`None`] unless requested.
    pub bills: Option<Vec<BillLine>>,
}

/// Tokens of a budget held by one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLine {
    /// VM of the process; empty if unknown.
    pub vm: VmName,
    /// Data centre of the process; empty if unknown.
    pub data_centre: DataCentreName,
    /// The process.
    pub incarnation: IncarnationId,
    /// Status: `live`, `fenced`, `released` or `ended`.
    pub stage: String,
    /// Tokens outstanding, or held if the process is not live.
    pub tokens: Tokens,
}

/// One bill.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillLine {
    /// Identifier of the bill.
    pub bill: BillId,
    /// Tokens billed.
    pub tokens: Tokens,
    /// Time of admission in milliseconds since 1970.
    pub admitted_at_ms: u64,
}
