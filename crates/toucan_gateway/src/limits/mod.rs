//! Limits that a target sets for all gateways together.

mod call_rate;
mod limit_record;

pub use call_rate::CallRate;
pub use limit_record::{LimitRecord, StatedLimit};
