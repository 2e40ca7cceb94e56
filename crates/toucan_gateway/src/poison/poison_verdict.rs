//! The verdict that a fingerprint ends targets, as it is told and stored.

use bytes::Bytes;

use super::{Fingerprint, TargetInstance};

/// The verdict that a fingerprint ends targets.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PoisonVerdict {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Fingerprints that a call must all have to be refused, the fingerprint among them. It is not known which of
    /// them ends targets.
    pub companions: Vec<Fingerprint>,
    /// Number of ended targets that the verdict rests on.
    pub ended_targets: u32,
    /// Targets that ended under it, so that a gateway which did not learn of each end can tell what explains
    /// them. Empty in a record of an earlier version.
    #[serde(default)]
    pub ended: Vec<TargetInstance>,
    /// Number of calls that were tried since the verdict.
    pub trials: u32,
    /// Unix time of the verdict or of the last trial.
    pub written_at_unix_ms: u64,
}

impl PoisonVerdict {
    /// Encodes the verdict as the value of a record.
    ///
    /// # Errors
    ///
    /// The encoder's error.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(self).map(Bytes::from)
    }

    /// Decodes the value of a record.
    ///
    /// # Errors
    ///
    /// The decoder's error if the value is no verdict.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}
