//! Prepaid budgets: grants in a keyed log, wallets, and how much to draw.
//!
//! A process spends only what the log has granted to it or what another process has lent to it.
//! The sum of all grants never exceeds what an organisation has paid, because a grant is appended
//! on the condition that its writer has seen all grants before it. Nothing is ever freed by time:
//! what a process held when it died counts as spent.

mod draw_sizing;
mod grant_record;
mod grant_table;
mod grant_writer;
mod rate_meter;
mod wallet;

pub use draw_sizing::{DrawDecision, DrawSettings, DrawView, decide_draw};
pub use grant_record::{GatewayProcess, GrantKey, GrantOwner, GrantRecord, GrantRecordError};
pub use grant_table::GrantTable;
pub use grant_writer::{GrantWriter, OrganisationSnapshot};
pub use rate_meter::RateMeter;
pub use wallet::{ReserveError, Wallet};
