//! Evidence for a fence and proof for a release.

use serde::{Deserialize, Serialize};
use toucan_types::{IncarnationId, VmInstance};

/// Why an incarnation was fenced; a suspicion suffices, since a fence frees no tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceEvidence {
    /// No response within the timeout.
    Silent {
        /// Time without a response, in milliseconds.
        silent_ms: u64,
    },
    /// The platform's VM list marks the VM instance as leaving or gone.
    ListedAway,
    /// The VM instance runs a newer incarnation.
    Superseded(IncarnationId),
    /// An operator requested it.
    Operator,
}

/// Proof that the process of an incarnation can no longer run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseProof {
    /// A newer incarnation on the same VM instance holds the exclusive peer port.
    ///
    /// The ledger checks that the newer incarnation itself stated so in the log. A later announce
    /// alone is no proof, since an announce may be appended late.
    Successor(IncarnationId),
    /// The platform's VM list states that the VM instance was destroyed.
    InstanceGone {
        /// The instance; the ledger checks that it belongs to the incarnation.
        instance: VmInstance,
        /// `as_of_ms` of the VM list, in milliseconds since 1970.
        listed_at_ms: u64,
    },
    /// An operator states that the incarnation cannot run and that its possible spending is
    /// settled.
    Operator,
}
