//! Targets that leave, as gateways read it from the store and tell each other.

use toucan_types::{Offset, TargetName};

use crate::poison::TargetInstance;

/// Place of a record about a target in the store. Later records have greater places, also those that are written
/// after a restore of the store, which gives offsets out again.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct RecordPlace {
    /// Number of restores of the store before the record was written.
    pub restore: u64,
    /// Offset of the record.
    pub offset: Offset,
}

/// A record of the store by which a target leaves: it drains, or its registration has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Departure {
    /// Target.
    pub target: TargetName,
    /// Unix time of the target's start.
    pub started_at_unix_ms: u64,
    /// Place of the record.
    pub place: RecordPlace,
}

impl Departure {
    /// Returns the start of the target that leaves.
    #[must_use]
    pub fn instance(&self) -> TargetInstance {
        TargetInstance {
            name: self.target.clone(),
            started_at_unix_ms: self.started_at_unix_ms,
        }
    }
}
