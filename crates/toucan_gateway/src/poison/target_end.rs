//! The end of a target, and the calls that may have ended it.

use std::fmt;

use toucan_types::TargetName;

use super::Fingerprint;

/// One start of a target. A target that starts again is another instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct TargetInstance {
    /// Target.
    pub name: TargetName,
    /// Unix time of its start.
    pub started_at_unix_ms: u64,
}

/// A call that a target held when it ended, and that may have ended it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectCall {
    /// What it is suspected for.
    pub fingerprints: Vec<Fingerprint>,
    /// When it was sent to the target.
    pub sent_at_ms: u64,
}

impl fmt::Display for SuspectCall {
    /// Writes the fingerprints, for logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&join_fingerprints(&self.fingerprints))
    }
}

/// Returns fingerprints as text for logs.
pub(crate) fn join_fingerprints(fingerprints: &[Fingerprint]) -> String {
    let fingerprints: Vec<String> = fingerprints.iter().map(Fingerprint::to_string).collect();
    fingerprints.join("+")
}

/// The end of a target, as one gateway saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEnd {
    /// Target that ended.
    pub instance: TargetInstance,
    /// When the first of its connections broke.
    pub ended_at_ms: u64,
    /// Number of calls of this gateway that broke off.
    pub broken_calls: u32,
    /// Those of them that may have ended the target.
    pub suspects: Vec<SuspectCall>,
}
