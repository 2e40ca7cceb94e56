//! Commands, one module per top-level command.

mod arguments;
mod budget;
mod config;
mod demo;
mod document;
mod document_files;
mod edit;
mod explain;
mod explain_log;
mod fleet;
mod key;
mod model;
mod organisation;
mod service;
mod state;
mod target;

pub(crate) use budget::budget;
pub(crate) use config::config;
pub(crate) use demo::demo;
pub(crate) use document::document;
pub(crate) use explain::explain;
pub(crate) use fleet::fleet;
pub(crate) use key::key;
pub(crate) use model::model;
pub(crate) use organisation::organisation;
pub(crate) use service::service;
pub(crate) use state::state;
pub(crate) use target::target;
