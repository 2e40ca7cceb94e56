//! The operators' document: sections, owners, edits, and checks that report all findings.
//!
//! The document is JSON with comments in three [`Section`]s, each owned by one team and each with
//! its own version. [`Document::parse`] turns the three texts into one immutable [`Document`] or
//! returns all [`Finding`](toucan_types::Finding)s at once. Edits are appended as
//! [`DocumentRecord`]s to one stream of the log; [`ReplayedDocument`] applies them in offset order.
//!
//! ```
//! use toucan_config::{Document, Section, SectionTexts};
//!
//! let texts = SectionTexts::default().with(Section::Finance, r#"{
//!     // The first customer.
//!     "organisations": { "guild": {} },
//!     "budgets": { "guild-main": { "organisation": "guild", "purchased_tokens": 1000 } },
//! }"#);
//! let checked = Document::parse(&texts).expect("a valid document");
//! assert!(checked.document.organisation("guild").is_some());
//! ```

mod api_key;
mod applied_top_ups;
mod blame;
mod buffered_records;
mod caller_key;
mod decided_edits;
mod diff;
mod document;
mod document_update;
mod edit_outcome;
mod edit_path;
mod edit_record;
mod effects;
mod field_spec;
mod finance;
mod hashed_key;
mod history;
mod models;
mod operations;
pub mod operators;
mod placed_finding;
mod reader;
mod recent_records;
mod reference_page;
mod references;
mod replayed_document;
mod schema;
mod section;
mod section_editor;
mod section_texts;
mod service;
mod snapshot;
mod table;
mod top_up;
mod transition;
mod whole_document;

pub use api_key::{ApiKey, ApiKeyError};
pub use blame::BlameLine;
pub use caller_key::{CallerKey, TeamKey};
pub use decided_edits::{DecidedEdit, EditDecision, MAX_EDIT_IDS};
pub use diff::{LineDiff, diff_lines};
pub use document::{CheckedDocument, Document};
pub use document_update::DocumentUpdate;
pub use edit_outcome::{EditOutcome, LostRace};
pub use edit_path::{EditPath, EditPathError};
pub use edit_record::{
    Assignment, Change, DocumentRecord, EDIT_FORMAT, EditRecord, MAX_RECORD_BYTES, RecordError,
};
pub use effects::{BudgetUse, effect_warnings};
pub use field_spec::{FieldKind, FieldSpec, ObjectSpec};
pub use finance::{Budget, Finance, Organisation};
pub use hashed_key::HashedKey;
pub use history::HistoryEntry;
pub use models::{Adapter, AllowedOrganisations, Model, ModelVersion, Models};
pub use operations::{
    ClassSettings, DataCentre, LedgerSettings, Limits, Operations, OrderOfService,
    OrganisationOrder, StaticTarget, WeightStoreSettings,
};
pub use reference_page::reference_tables;
pub use replayed_document::{MAX_HISTORY_ENTRIES, MAX_SECTION_BYTES, Preview, ReplayedDocument};
pub use schema::SCHEMA;
pub use section::Section;
pub use section_editor::{EditError, SectionEditor};
pub use section_texts::{SectionTexts, Versions};
pub use service::{NonIdempotentCall, Service, ServiceKind};
pub use snapshot::{DocumentSnapshot, SnapshotPart};
pub use table::Table;
pub use top_up::TopUp;
pub use whole_document::WholeDocument;
