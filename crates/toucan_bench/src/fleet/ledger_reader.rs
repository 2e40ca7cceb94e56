//! Reads the ledger streams of the log.

use toucan_ledger::{Ledger, LedgerRecord, LedgerSettings, RecordBatch};
use toucan_standins::LogStandin;
use toucan_types::Offset;

use crate::history::{BillEntry, BudgetStatement, History, LoggedRecord, LoggedRelease};

/// Prefix of the names of ledger streams.
const LEDGER_PREFIX: &str = "ledger-";
/// Name given in place of a node for the balances from replaying the whole log.
const REPLAY_NODE_NAME: &str = "fold of the log";

/// Adds the records of the ledger streams to a history, and the balances that [`Ledger`] computes
/// from them.
pub fn read_log(log: &LogStandin, history: &mut History) {
    for stream in log.stream_names() {
        if stream.starts_with(LEDGER_PREFIX) {
            read_stream(log, &stream, history);
        }
    }
}

fn read_stream(log: &LogStandin, stream: &str, history: &mut History) {
    let mut ledger = Ledger::new(LedgerSettings::default());
    for logged in log.records(stream) {
        let applied = ledger.apply(Offset(logged.offset), logged.appended_at_ms, &logged.data);
        if let Err(error) = applied {
            log::error!("{stream} at {}: {error}", logged.offset);
        }
        let Ok(batch) = RecordBatch::decode(&logged.data) else {
            continue;
        };
        for record in &batch.records {
            read_record(stream, logged.offset, record, history);
        }
    }
    let accounts = ledger.accounts().map(|account| BudgetStatement {
        node: REPLAY_NODE_NAME.to_owned(),
        budget: account.budget.to_string(),
        purchased_tokens: account.purchased_tokens.0,
        remaining_tokens: account.remaining_tokens.0,
        outstanding_tokens: account.outstanding_tokens.0,
        held_tokens: account.held_tokens.0,
        spent_tokens: account.spent_tokens.0,
    });
    history.statements.extend(accounts);
}

fn read_record(stream: &str, offset: u64, record: &LedgerRecord, history: &mut History) {
    if let LedgerRecord::Release { incarnation, .. } = record {
        history.releases.push(LoggedRelease {
            stream: stream.to_owned(),
            offset,
            incarnation: incarnation.0,
        });
    }
    let Some((incarnation, sequence)) = record.number() else {
        return;
    };
    history.records.push(LoggedRecord {
        stream: stream.to_owned(),
        offset,
        incarnation: incarnation.0,
        sequence: sequence.0,
        bills: bills(record),
    });
}

fn bills(record: &LedgerRecord) -> Vec<BillEntry> {
    let LedgerRecord::Settle { entries, .. } = record else {
        return Vec::new();
    };
    let mut bills = Vec::new();
    for entry in entries {
        bills.extend(entry.bills.iter().map(|bill| BillEntry {
            bill: bill.id.to_string(),
            budget: entry.budget.to_string(),
            tokens: bill.tokens.0,
        }));
    }
    bills
}
