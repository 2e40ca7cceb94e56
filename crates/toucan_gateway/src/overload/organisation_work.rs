//! Work of an organisation, as gateways tell each other.

use toucan_types::OrganisationName;

/// Work of an organisation at one gateway over the last seconds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct OrganisationWork {
    /// Organisation.
    pub organisation: OrganisationName,
    /// Tokens of the calls that it made.
    pub offered_tokens: u64,
    /// Tokens of those that were admitted.
    pub admitted_tokens: u64,
}
