//! Limits that a target sets for all gateways together.
//!
//! One gateway grants permits for the calls to a target that names a limit, and each call takes one. The
//! gateway is found by rendezvous hashing, see [`crate::peers::Members::permit_share`].

mod brittle_record;
mod call_rate;
mod limit_record;
mod permit_bucket;
mod permit_granter;
mod permits;

pub use brittle_record::{BrittleRecord, SlotUse};
pub use call_rate::CallRate;
pub use limit_record::{LimitRecord, LimitStatement, StatedLimit};
pub use permit_bucket::PermitBucket;
pub use permit_granter::{PermitGrant, PermitGranter};
pub use permits::{PermitRequest, PermitRequestId, PermitStep, Permits};
