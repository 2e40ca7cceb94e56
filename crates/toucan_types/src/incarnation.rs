//! Identifier of one run of a process.

/// Random identifier of one run of one process on one VM.
///
/// Each restart gets a new identifier, which distinguishes its records from those of earlier runs.
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
pub struct IncarnationId(pub u64);

impl std::fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
