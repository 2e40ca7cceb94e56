//! The state of targets as seen by this VM, and the choice of a target for each call.

mod choice;
mod departure;
mod departure_catch_up;
mod departure_history;
mod deregistration_grace;
mod failure_history;
mod planned_departures;
mod prompt_cache_estimate;
mod reachability;
mod recent_departures;
mod room;
mod start_history;
mod target_presence;
mod target_scope;
mod target_state;
mod target_table;

pub use choice::{Choice, ChoiceRequest, ChoiceSettings, choose_target};
pub use departure::{Departure, RecordPlace};
pub use departure_catch_up::DepartureCatchUp;
pub use departure_history::{DepartureAnswer, DepartureHistory, DepartureQuery};
pub use deregistration_grace::DeregistrationGrace;
pub use failure_history::{CallOutcome, FailureHistory};
pub use planned_departures::{PlannedDepartures, RegistrationRead};
pub use prompt_cache_estimate::PromptCacheEstimate;
pub use reachability::Reachability;
pub use recent_departures::RecentDepartures;
pub use room::Room;
pub use start_history::StartHistory;
pub use target_presence::TargetPresence;
pub use target_scope::{Exclusion, TargetScope};
pub use target_state::{TargetLoad, TargetState};
pub use target_table::{Avoided, Pause, TargetChange, TargetTable};
