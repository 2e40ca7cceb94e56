//! Index of a ledger shard.

use crate::{BudgetName, StreamName};

/// Index of a ledger shard, less than the number of shards that the configuration document sets.
///
/// ```
/// use toucan_types::{BudgetName, ShardIndex};
///
/// let shard = ShardIndex::of_budget(&BudgetName::from("drafting"), 16);
/// assert!(shard.0 < 16);
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
pub struct ShardIndex(pub u16);

impl ShardIndex {
    /// Returns the shard of a budget. The mapping is the same on every machine and in every release.
    #[must_use]
    pub fn of_budget(budget: &BudgetName, shards: u16) -> Self {
        let hash = blake3::hash(budget.as_str().as_bytes());
        let mut prefix = [0_u8; 8];
        prefix.copy_from_slice(&hash.as_bytes()[..8]);
        Self::of_hash(u64::from_le_bytes(prefix), shards)
    }

    /// Returns the shard of a key that is already a hash.
    #[must_use]
    pub fn of_hash(hash: u64, shards: u16) -> Self {
        let index = hash % u64::from(shards.max(1));
        Self(u16::try_from(index).unwrap_or_default())
    }

    /// Returns the name of the shard's log stream.
    #[must_use]
    pub fn stream(self) -> StreamName {
        StreamName::from(format!("ledger-{}", self.0))
    }
}

impl std::fmt::Display for ShardIndex {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
