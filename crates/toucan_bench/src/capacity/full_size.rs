//! Full size of the system, and limits of what a node may spend on control.

/// Nodes.
pub(crate) const NODES: f64 = 410.0;
/// Data centres.
pub(crate) const DATA_CENTRES: f64 = 7.0;
/// Workers.
pub(crate) const WORKERS: f64 = 1_400.0;
/// Peak requests per second.
pub(crate) const REQUESTS_PER_S: f64 = 5_300.0;
/// Peak rate of generated tokens per second.
pub(crate) const GENERATED_TOKENS_PER_S: f64 = 1_600_000.0;
/// Prepaid budgets.
pub(crate) const BUDGETS: f64 = 660_000.0;
/// Configuration edits per day.
pub(crate) const EDITS_PER_DAY: f64 = 6_200.0;
/// VMs that fail per ordinary day.
pub(crate) const VMS_LOST_PER_DAY: f64 = 12.0;
/// VMs that are restarted or replaced per day.
pub(crate) const VMS_REPLACED_PER_DAY: f64 = 690.0;
/// Memory that a node may spend on control, in bytes.
pub(crate) const NODE_MEMORY_BYTES: f64 = 128.0 * 1_048_576.0;
/// Processor time that a node may spend on control, in percent of a core.
pub(crate) const NODE_CPU_PERCENT: f64 = 3.5;
/// Network traffic that a node may spend on control, in bytes per second.
pub(crate) const NODE_BYTES_PER_S: f64 = 8_192.0;
/// Appends per second that the log accepts; the requirement is several hundred.
pub(crate) const LOG_APPENDS_PER_S: f64 = 300.0;
/// Time for which the identifier of a bill is kept, in seconds.
pub(crate) const BILL_WINDOW_S: f64 = 3_600.0;
/// Days for which an ended incarnation is kept.
pub(crate) const INCARNATION_WINDOW_DAYS: f64 = 7.0;
/// Outage that a grant bridges, in seconds: the default for organisations.
pub(crate) const BRIDGE_S: f64 = 600.0;
/// Maximum number of prompt blocks that a router remembers.
pub(crate) const PREFIX_BLOCKS: f64 = 200_000.0;
/// Seconds per day.
pub(crate) const DAY_S: f64 = 86_400.0;
/// Compared numbers of ledger streams: the current default and larger ones.
pub(crate) const SHARDS: [f64; 3] = [4.0, 64.0, 128.0];
