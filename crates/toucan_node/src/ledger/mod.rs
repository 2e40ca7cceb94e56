//! Ledger duty: replays the shards that this node batches and appends the records of its data centre.

mod holders;
mod journal_replicas;
mod ledger_duty;
mod ledger_message;
mod recent_requests;
mod release_checks;
mod shard_reader;
mod shard_state;

pub(crate) use ledger_duty::{LedgerDuty, LedgerLinks};
pub(crate) use ledger_message::{
    BudgetHolder, BudgetHoldings, LedgerMessage, MemberFacts, ShardRole, ShardView,
};
