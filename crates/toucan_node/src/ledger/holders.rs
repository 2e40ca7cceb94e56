//! Holders of budget tokens, for operators.

use toucan_ledger::{Holding, Ledger};
use toucan_types::BudgetName;

use super::{BudgetHolder, BudgetHoldings};

/// Maximum number of listed holders per shard.
const MAX_HOLDERS: usize = 10_000;

/// Returns a budget with its holders, or [`None`] if it was never funded.
pub(super) fn holdings(ledger: &Ledger, budget: &BudgetName) -> Option<BudgetHoldings> {
    let statement = ledger.statement(budget)?;
    let holders = statement.holdings.into_iter();
    Some(BudgetHoldings {
        account: statement.account,
        holders: holders
            .map(|holding| holder(ledger, budget, holding))
            .collect(),
        as_of: ledger.next_offset(),
    })
}

/// Returns the holders of all budgets of one shard.
pub(super) fn all_holders(ledger: &Ledger) -> Vec<BudgetHolder> {
    let accounts = ledger
        .accounts()
        .filter(|account| !account.outstanding_tokens.is_zero() || !account.held_tokens.is_zero());
    let holdings = accounts.filter_map(|account| holdings(ledger, &account.budget));
    holdings
        .flat_map(|holdings| holdings.holders)
        .take(MAX_HOLDERS)
        .collect()
}

fn holder(ledger: &Ledger, budget: &BudgetName, holding: Holding) -> BudgetHolder {
    let state = ledger.incarnation(holding.incarnation);
    BudgetHolder {
        budget: budget.clone(),
        vm: state.map(|state| state.vm.clone()).unwrap_or_default(),
        data_centre: state
            .map(|state| state.data_centre.clone())
            .unwrap_or_default(),
        holding,
    }
}
