//! Targets, what this VM knows of them, and which one gets a call.

mod choice;
mod fault_history;
mod lapse;
mod overload;
mod part_cache;
mod reach;
mod target_state;
mod target_table;

pub use choice::{Choice, ChoiceRequest, ChoiceSettings, choose_target};
pub use fault_history::{CallEnd, FaultHistory};
pub use lapse::LapseRule;
pub use overload::overload_return_ms;
pub use part_cache::PartCache;
pub use reach::Reach;
pub use target_state::TargetState;
pub use target_table::{Avoided, TargetChange, TargetTable};
