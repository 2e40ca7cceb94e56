//! Probes of the document: text size, memory, edits.

use serde_json::json;
use toucan_config::{
    Assignment, Change, DocumentRecord, EditOutcome, EditRecord, ReplayedDocument, Section,
};
use toucan_types::{DocumentVersion, Offset};

use super::Probe;
use super::resource_usage::{memory_growth_bytes, thread_cpu_us};

const BUDGET_COUNTS: [u64; 4] = [1_500, 3_000, 6_000, 12_000];
/// Number of edits in one timing.
const TIMED_EDITS: u64 = 5;

/// Probes of the document.
pub(crate) const PROBES: &[Probe] = &[
    Probe {
        name: "document_memory_per_budget",
        about: "resident memory of the document's fold, finance section only",
        x: "budgets",
        y: "bytes",
        sizes: &BUDGET_COUNTS,
        measure: |count| memory_growth_bytes(|| document_with_budgets(count)),
    },
    Probe {
        name: "document_text_per_budget",
        about: "length of the finance section",
        x: "budgets",
        y: "bytes",
        sizes: &BUDGET_COUNTS,
        measure: |count| finance_text(count).len() as f64,
    },
    Probe {
        name: "document_cpu_per_edit",
        about: "processor time to fold one edit of one value of the finance section",
        x: "budgets",
        y: "us",
        sizes: &BUDGET_COUNTS,
        measure: edit_us,
    },
];

fn document_with_budgets(budgets: u64) -> ReplayedDocument {
    let mut document = ReplayedDocument::default();
    let text = finance_text(budgets);
    apply(&mut document, 0, Change::Text { text });
    document
}

fn edit_us(budgets: u64) -> f64 {
    let mut document = document_with_budgets(budgets);
    let before = thread_cpu_us();
    for edit in 1..=TIMED_EDITS {
        let assignment = Assignment {
            path: "budgets.budget-0.purchased_tokens".to_owned(),
            value: json!(1_000_000 + edit),
        };
        let assignments = vec![assignment];
        apply(&mut document, edit, Change::Assign { assignments });
    }
    (thread_cpu_us() - before) / TIMED_EDITS as f64
}

fn finance_text(count: u64) -> String {
    let organisations: serde_json::Map<String, serde_json::Value> = (0..490.min(count))
        .map(|number| (format!("organisation-{number}"), json!({})))
        .collect();
    let budgets: serde_json::Map<String, serde_json::Value> = (0..count)
        .map(|number| {
            let budget = json!({
                "organisation": format!("organisation-{}", number % 490),
                "purchased_tokens": 1_000_000,
            });
            (format!("budget-{number}"), budget)
        })
        .collect();
    json!({ "organisations": organisations, "budgets": budgets }).to_string()
}

fn apply(document: &mut ReplayedDocument, number: u64, change: Change) {
    let edit = EditRecord {
        edit_id: format!("edit-{number}"),
        section: Section::Finance,
        base_version: DocumentVersion(number),
        change,
        team: Section::Finance.team(),
        author: "bench".to_owned(),
        at_ms: 1_000,
        note: String::new(),
    };
    let record = DocumentRecord::Edit(edit);
    let outcome = record
        .encode()
        .map(|data| document.apply(Offset(number), &data));
    if !matches!(outcome, Ok(EditOutcome::Accepted { .. })) {
        log::error!("an edit of the measurement was not accepted: {outcome:?}");
    }
}
