//! Command-line tool for operators, using the operator API of the nodes.
//!
//! [`run`] takes arguments and returns a [`Report`], so that tests need no process. The messages are
//! those of [`toucan_config::operators`]. See also `docs/toucanctl.md`.

mod cli_error;
mod client;
mod commands;
mod environment;
mod exit_code;
mod gateway_log;
mod help;
mod options;
mod report;
mod run;
mod table;
mod wrapped;

pub use environment::Environment;
pub use exit_code::Exit;
pub use help::COMMANDS;
pub use report::Report;
pub use run::run;
