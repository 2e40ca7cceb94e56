//! An organisation that pays for calls.

use toucan_types::{OrganisationName, Tokens};

use super::{AllowedRegions, KeyDigest};

/// An organisation with its keys and its prepaid tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which is sent to targets.
    pub name: OrganisationName,
    /// Digests of its callers' keys.
    pub keys: Vec<KeyDigest>,
    /// Priority, which takes precedence over a route's; 0 is the highest.
    pub priority: u8,
    /// Total tokens that it may spend; [`None`] if its calls are not metered.
    pub prepaid: Option<Tokens>,
    /// Regions that its calls may reach.
    pub allowed_regions: AllowedRegions,
}
