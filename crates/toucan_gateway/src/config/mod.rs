//! The configuration and target registrations, independent of the deployment's formats.

mod allowed_regions;
mod caller_limits;
mod evacuations;
mod fleet_config;
mod key_digest;
mod organisation;
mod organisation_table;
mod region_table;
mod route;
mod route_table;
mod service;
mod target_entry;

pub use allowed_regions::AllowedRegions;
pub use caller_limits::CallerLimits;
pub use evacuations::Evacuations;
pub use fleet_config::FleetConfig;
pub use key_digest::KeyDigest;
pub use organisation::Organisation;
pub use organisation_table::OrganisationTable;
pub use region_table::RegionTable;
pub use route::{Route, RouteKind, WeightedService};
pub use route_table::RouteTable;
pub use service::{EngineSettings, Service};
pub use target_entry::TargetEntry;
