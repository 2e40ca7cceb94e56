//! Load on this gateway and on the targets, and what is refused because of it.

mod call_admission;
mod call_durations;
mod connect_result;
mod fair_shares;
mod link_monitor;
mod organisation_work;
mod relief;
mod relief_phase;
mod return_schedule;
mod shedding;
mod urgency_tokens;
mod utilisation_report;

pub use call_admission::{CallAdmission, NoRoom};
pub use call_durations::CallDurations;
pub use connect_result::ConnectResult;
pub use fair_shares::FairShares;
pub use link_monitor::LinkMonitor;
pub use organisation_work::OrganisationWork;
pub use relief::Relief;
pub use relief_phase::ReliefPhase;
pub use return_schedule::ReturnSchedule;
pub use shedding::{are_targets_behind, overload_retry_after_ms};
pub use urgency_tokens::{ToldUrgencyTokens, UrgencyTokens};
pub use utilisation_report::UtilisationReport;
