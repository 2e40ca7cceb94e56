//! Ledger state of one incarnation.

use serde::{Deserialize, Serialize};
use toucan_types::{DataCentreName, IncarnationId, Offset, Sequence, VmInstance, VmName};

/// Lifecycle status of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum IncarnationStatus {
    /// Running; may draw.
    Live,
    /// Fenced; may still settle from its held tokens but not draw.
    Fenced,
    /// Its process is proven to have ended; its grants were returned, less open reservations.
    Released,
    /// Shut down on its own.
    Ended,
}

/// Ledger state of one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationState {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// First incarnation of its process.
    pub process: IncarnationId,
    /// Name of its VM.
    pub vm: VmName,
    /// Instance of its VM.
    pub instance: VmInstance,
    /// Data centre of its VM.
    pub data_centre: DataCentreName,
    /// Offset at which it was announced.
    pub announced_at: Offset,
    /// Sequence number of its last applied record.
    pub watermark: Sequence,
    /// Lifecycle status.
    #[serde(rename = "stage")]
    pub status: IncarnationStatus,
    /// Incarnation that stated that it took over the peer port of the VM instance.
    pub succeeded_by: Option<IncarnationId>,
    /// Offset at which it was first fenced or released.
    pub fenced_at: Option<Offset>,
    /// Log time of the last status change, in milliseconds since 1970.
    #[serde(rename = "stage_since_ms")]
    pub status_since_ms: u64,
}

impl IncarnationState {
    /// Returns whether `other` belongs to another process of the same VM instance.
    ///
    /// Only one of the two can hold the peer port, so a statement by a running one proves that the
    /// other has ended. The order of their announces proves nothing, since an announce may be
    /// appended late.
    pub(crate) fn succeeds(&self, other: &Self) -> bool {
        let announced = other.watermark >= crate::ANNOUNCE_SEQUENCE;
        announced && self.instance == other.instance && self.process != other.process
    }
}
