//! Profiles of fleets: those of the two companies, and that of the demonstration.

mod fleet_document;
mod fleet_profile;

pub use fleet_document::{CallerIdentity, FleetDocument};
pub use fleet_profile::{FleetProfile, OrganisationProfile, ServiceProfile};
