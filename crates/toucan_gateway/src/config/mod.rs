//! The configuration and the list of targets, in the gateway's own terms.

mod caller_limits;
mod fleet_config;
mod key_digest;
mod key_ring;
mod organisation;
mod route;
mod route_table;
mod service;
mod target_entry;

pub use caller_limits::CallerLimits;
pub use fleet_config::FleetConfig;
pub use key_digest::KeyDigest;
pub use key_ring::KeyRing;
pub use organisation::Organisation;
pub use route::{Route, RouteKind, WeightedService};
pub use route_table::RouteTable;
pub use service::{EngineTraits, Service};
pub use target_entry::TargetEntry;
