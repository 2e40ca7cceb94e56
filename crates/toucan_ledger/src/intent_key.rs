//! Identifier of a non-idempotent call.

use serde::{Deserialize, Serialize};
use toucan_types::{BillId, OrganisationName, RequestId};

/// 128-bit hash of an organisation and the idempotency key of a call.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IntentKey(pub u128);

impl IntentKey {
    /// Computes the key from the organisation and the request id.
    #[must_use]
    pub fn of(organisation: &OrganisationName, request: &RequestId) -> Self {
        Self(BillId::of(organisation, request).0)
    }
}

impl std::fmt::Display for IntentKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
