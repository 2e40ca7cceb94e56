//! Operators of the three teams, who append their edits to the log.

use serde_json::{Value, json};
use toucan_config::{
    Assignment, Change, DocumentRecord, EditOutcome, EditRecord, ReplayedDocument, Section, TopUp,
};
use toucan_standins::LogStandin;
use toucan_types::{DocumentVersion, Offset, Tokens};

use crate::clock::now_ms;
use crate::history::{BudgetHistory, History, PublishedEdit, Purchase};
use crate::profile::{FleetDocument, FleetProfile};

/// Stream of the document.
const DOCUMENT_STREAM: &str = "document";

/// Operators who append their edits to the log.
#[derive(Clone)]
pub(crate) struct Operator {
    log: LogStandin,
}

impl Operator {
    pub(crate) fn new(log: LogStandin) -> Self {
        Self { log }
    }

    /// Publishes the whole document.
    pub(crate) fn publish(&self, document: &FleetDocument) {
        for record in document.records(now_ms()) {
            self.log.append(DOCUMENT_STREAM, record);
        }
    }

    /// Adds tokens to a budget.
    pub(crate) fn top_up(&self, budget: &str, tokens: u64) {
        let id = format!("invoice-{}", self.log.appends());
        let change = Change::TopUp(TopUp {
            id,
            budget: budget.into(),
            tokens: Tokens(tokens),
        });
        self.edit(Section::Finance, self.version(Section::Finance), change);
    }

    /// Publishes two edits of the same value with the same base version, of which one must be
    /// rejected.
    pub(crate) fn publish_conflicting_edits(&self) {
        let base = self.version(Section::Operations);
        for rate in [5_000, 6_000] {
            let assignment = Assignment {
                path: "default_limits.requests_per_s".to_owned(),
                value: Value::from(rate + base.0),
            };
            let assignments = vec![assignment];
            self.edit(Section::Operations, base, Change::Assign { assignments });
        }
    }

    fn edit(&self, section: Section, base_version: DocumentVersion, change: Change) {
        let edit = EditRecord {
            edit_id: format!("edit-{}", self.log.appends()),
            section,
            base_version,
            change,
            team: section.team(),
            author: "bench".to_owned(),
            at_ms: now_ms(),
            note: json!("bench").to_string(),
        };
        match DocumentRecord::Edit(edit).encode() {
            Ok(record) => {
                self.log.append(DOCUMENT_STREAM, record);
            }
            Err(error) => log::error!("failed to encode an edit: {error}"),
        }
    }

    fn version(&self, section: Section) -> DocumentVersion {
        let mut replayed = ReplayedDocument::default();
        for record in self.log.records(DOCUMENT_STREAM) {
            replayed.apply(Offset(record.offset), &record.data);
        }
        replayed.versions().get(section)
    }

    /// Adds the accepted edits and the purchases to a history.
    pub(crate) fn read_edits(
        &self,
        profile: &FleetProfile,
        document: &FleetDocument,
        history: &mut History,
    ) {
        let paired = profile.organisations.iter().zip(&document.callers);
        history.budgets = paired
            .map(|(organisation, caller)| BudgetHistory {
                budget: caller.budget.clone(),
                organisation: caller.organisation.clone(),
                purchases: vec![Purchase {
                    at_ms: 0,
                    tokens: organisation.purchased_tokens,
                }],
            })
            .collect();
        let mut replayed = ReplayedDocument::default();
        for record in self.log.records(DOCUMENT_STREAM) {
            let outcome = replayed.apply(Offset(record.offset), &record.data);
            let EditOutcome::Accepted {
                section, version, ..
            } = outcome
            else {
                continue;
            };
            history.edits.push(PublishedEdit {
                at_ms: record.appended_at_ms,
                section: section.name().to_owned(),
                version: version.0,
            });
            let Ok(DocumentRecord::Edit(edit)) = DocumentRecord::decode(&record.data) else {
                continue;
            };
            let Change::TopUp(top_up) = edit.change else {
                continue;
            };
            let mut budgets = history.budgets.iter_mut();
            if let Some(budget) = budgets.find(|budget| budget.budget == top_up.budget.as_str()) {
                budget.purchases.push(Purchase {
                    at_ms: record.appended_at_ms,
                    tokens: top_up.tokens.0,
                });
            }
        }
    }
}
