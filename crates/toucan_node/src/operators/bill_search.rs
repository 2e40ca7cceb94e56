//! Search for the bills of a budget in the log.

use toucan_config::operators::BillLine;
use toucan_ledger::{LedgerRecord, RecordBatch};
use toucan_platform::{LogClient, ReadError};
use toucan_types::{BudgetName, Offset, ShardIndex};

use super::api_problem::ApiProblem;
use crate::node_shared::NodeShared;

/// Maximum number of records of one read.
const PAGE_RECORDS: usize = 256;
/// Maximum number of records that one search covers, ending with the newest.
const MAX_RECORDS: u64 = 20_000;
/// Maximum number of bills returned.
const MAX_BILLS: usize = 1_000;

/// Returns the newest bills of a budget that are still in the log, newest first.
pub(super) async fn find_bills(
    shared: &NodeShared,
    budget: &BudgetName,
) -> Result<Vec<BillLine>, ApiProblem> {
    let shards = shared.document.load().document.operations().ledger.shards;
    let stream = ShardIndex::of_budget(budget, shards).stream();
    let log = LogClient::new(shared.settings.platform.log);
    let unavailable = |error: ReadError| ApiProblem::unavailable(error.to_string());
    let extent = log.state(&stream).await.map_err(unavailable)?;
    let oldest = extent.next_offset.0.saturating_sub(MAX_RECORDS);
    let mut from = Offset(extent.first_offset.0.max(oldest));
    let mut bills = Vec::new();
    while from < extent.next_offset {
        let page = log
            .read(&stream, from, PAGE_RECORDS, 0)
            .await
            .map_err(unavailable)?;
        if page.records.is_empty() {
            break;
        }
        for entry in &page.records {
            from = entry.offset.next();
            if let Ok(batch) = RecordBatch::decode(&entry.data) {
                bills.extend(
                    batch
                        .records
                        .iter()
                        .flat_map(|record| bills_in_record(record, budget)),
                );
            }
        }
    }
    // A settlement can be appended twice but is billed once, so duplicates are removed.
    let mut seen = toucan_types::FastHashSet::default();
    bills.reverse();
    bills.retain(|bill: &BillLine| seen.insert(bill.bill));
    bills.truncate(MAX_BILLS);
    Ok(bills)
}

fn bills_in_record(record: &LedgerRecord, budget: &BudgetName) -> Vec<BillLine> {
    let LedgerRecord::Settle { entries, .. } = record else {
        return Vec::new();
    };
    let of_budget = entries.iter().filter(|entry| entry.budget == *budget);
    of_budget
        .flat_map(|entry| &entry.bills)
        .map(|bill| BillLine {
            bill: bill.id,
            tokens: bill.tokens,
            admitted_at_ms: bill.admitted_at_ms,
        })
        .collect()
}
