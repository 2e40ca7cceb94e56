//! Identifiers, token counts, versions and offsets shared by all crates.
//!
//! Names are shared immutable strings ([`faststr::FastStr`]), so a clone does not copy the text.
//! Counts and numbers are newtypes, so a token count cannot be passed as an offset.

mod bill_id;
mod collections;
mod data_centre_name;
mod finding;
mod incarnation;
mod macros;
mod names;
mod numbers;
mod permille;
mod position;
mod rendezvous;
mod request_class;
mod severity;
mod shard_index;
mod tokens;

pub use bill_id::BillId;
pub use collections::{FastHashMap, FastHashSet};
pub use data_centre_name::DataCentreName;
pub use finding::Finding;
pub use incarnation::IncarnationId;
pub use names::{
    AdapterName, BudgetName, ModelName, OrganisationName, RegionName, RequestId, ServiceName,
    SoftwareVersion, StreamName, TargetName, TeamName, VersionName, VmInstance, VmName,
};
pub use numbers::{DocumentVersion, FencingNumber, Offset, Sequence};
pub use permille::Permille;
pub use position::Position;
pub use rendezvous::{rendezvous_choice, rendezvous_ranking};
pub use request_class::RequestClass;
pub use severity::Severity;
pub use shard_index::ShardIndex;
pub use tokens::{TokenOverflow, Tokens};
