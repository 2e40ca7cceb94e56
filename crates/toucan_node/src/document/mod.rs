//! The document duty: applies the operators' edits and informs the other duties.

mod document_duty;
mod document_message;

pub(crate) use document_duty::{DocumentDuty, DocumentLinks};
pub(crate) use document_message::{DocumentMessage, DocumentState, EditDecision};
