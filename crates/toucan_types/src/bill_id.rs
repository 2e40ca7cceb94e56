//! Idempotency key for billing a request.

use crate::{OrganisationName, RequestId};

/// Idempotency key for billing: a 128-bit hash of an organisation and a request id.
///
/// A retry with the same request id maps to the bill of the first attempt, whichever router handles
/// it. Equal request ids of two organisations do not collide.
///
/// ```
/// use toucan_types::{BillId, OrganisationName, RequestId};
///
/// let first = BillId::of(&OrganisationName::from("guild"), &RequestId::from("r-1"));
/// let retry = BillId::of(&OrganisationName::from("guild"), &RequestId::from("r-1"));
/// assert_eq!(first, retry);
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct BillId(pub u128);

impl BillId {
    /// Hashes both names, joined by a NUL byte, which neither may contain.
    #[must_use]
    pub fn of(organisation: &OrganisationName, request: &RequestId) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(organisation.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(request.as_str().as_bytes());
        let hash = hasher.finalize();
        let mut prefix = [0_u8; 16];
        prefix.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_le_bytes(prefix))
    }
}

impl std::fmt::Display for BillId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
