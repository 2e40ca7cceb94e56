//! Identity of a node.

use toucan_types::{DataCentreName, IncarnationId, VmInstance, VmName};

/// Names of a node's VM and the identifier of its process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Identity {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this creation of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Identifier of this start of the process.
    pub incarnation: IncarnationId,
}
