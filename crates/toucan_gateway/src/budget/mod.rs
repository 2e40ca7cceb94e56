//! Prepaid budgets: grants in a keyed log, wallets, and how much to draw.
//!
//! A process spends only tokens that the log has granted to it or that another process has lent to
//! it. The sum of all grants never exceeds what an organisation has paid for, because a grant is
//! appended only if its writer has seen all grants before it. Grants never expire: tokens that a
//! process held when it crashed count as spent. A log that comes back from an older copy may have
//! lost grants; they are written again before tokens are drawn.

mod draw_sizing;
mod grant_record;
mod grant_table;
mod grant_writer;
mod rate_meter;
mod recovering_grants;
mod restore_gate;
mod wallet;

pub use draw_sizing::{DrawDecision, DrawInput, DrawSettings, decide_draw};
pub use grant_record::{GatewayProcess, GrantKey, GrantOwner, GrantRecord, GrantRecordError};
pub use grant_table::GrantTable;
pub use grant_writer::{GrantWriter, OrganisationSnapshot};
pub use rate_meter::RateMeter;
pub use recovering_grants::RecoveringGrants;
pub use restore_gate::{PeerRecovery, RestoreGate};
pub use wallet::{ReserveError, Wallet};
