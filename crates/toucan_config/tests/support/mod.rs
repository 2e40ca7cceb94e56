//! Helpers that build edits for tests.
#![allow(dead_code)] // each test file uses only some of the helpers

use serde_json::Value;
use toucan_config::{
    Assignment, Change, DocumentRecord, EditRecord, ReplayedDocument, Section, TopUp,
};
use toucan_types::Tokens;

/// Returns an edit by the section's owner, based on the version in force.
pub fn edit(
    replayed: &ReplayedDocument,
    edit_id: &str,
    section: Section,
    change: Change,
) -> EditRecord {
    EditRecord {
        edit_id: edit_id.to_owned(),
        section,
        base_version: replayed.versions().get(section),
        change,
        team: section.team(),
        author: "ann".to_owned(),
        at_ms: 1000,
        note: String::new(),
    }
}

pub fn text(text: &str) -> Change {
    Change::Text {
        text: text.to_owned(),
    }
}

pub fn assign(path: &str, value: impl Into<Value>) -> Change {
    Change::Assign {
        assignments: vec![Assignment {
            path: path.to_owned(),
            value: value.into(),
        }],
    }
}

pub fn top_up(budget: &str, id: &str, tokens: u64) -> Change {
    Change::TopUp(TopUp {
        id: id.to_owned(),
        budget: budget.into(),
        tokens: Tokens(tokens),
    })
}

pub fn bytes(edit: &EditRecord) -> Vec<u8> {
    DocumentRecord::Edit(edit.clone())
        .encode()
        .expect("the record is short")
}

/// A finance section with one organisation and one budget.
pub const FINANCE: &str = r#"{
  // Customers.
  "organisations": { "guild": {} },
  "budgets": {
    "main": { "organisation": "guild", "purchased_tokens": 100 } // prepaid
  }
}
"#;
