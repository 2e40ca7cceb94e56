//! Measured growth of memory, bytes and processor time, with linear fits and plots.

mod document_slopes;
mod figure_files;
mod ledger_slopes;
mod probe;
mod resource_usage;
mod router_slopes;
mod slope;

pub use figure_files::{read_slopes, write_slope};
pub(crate) use probe::Probe;
pub use probe::{measure_slopes, probe};
pub use slope::Slope;
