//! One organisation that pays for calls.

use toucan_types::{OrganisationName, Tokens};

use super::KeyDigest;

/// An organisation with its keys and what it has paid for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name, which targets are told.
    pub name: OrganisationName,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Rank, which goes before that of a route; 0 goes first.
    pub priority: u8,
    /// Most tokens that it may spend in all; [`None`] if its calls are not metered.
    pub prepaid: Option<Tokens>,
}
