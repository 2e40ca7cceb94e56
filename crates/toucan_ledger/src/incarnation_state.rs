//! What the fold knows of one incarnation.

use serde::{Deserialize, Serialize};
use toucan_types::{DataCentreName, IncarnationId, Offset, Sequence, VmInstance, VmName};

/// Stage in the life of an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum IncarnationStatus {
    /// May draw.
    Live,
    /// May settle, from tokens that are held.
    Fenced,
    /// Proven dead; what it held went back, less open reservations.
    Released,
    /// Ended by itself.
    Ended,
}

/// What the fold knows of one incarnation.
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
    /// Last of its numbers that is folded.
    pub watermark: Sequence,
    /// Stage.
    #[serde(rename = "stage")]
    pub status: IncarnationStatus,
    /// Incarnation that stated to hold the peer port of the VM instance after it.
    pub succeeded_by: Option<IncarnationId>,
    /// Offset at which it was fenced or released first.
    pub fenced_at: Option<Offset>,
    /// Log time of the last change of stage, in milliseconds since 1970.
    #[serde(rename = "stage_since_ms")]
    pub status_since_ms: u64,
}

impl IncarnationState {
    /// Whether `other` belongs to another process of the same VM instance.
    ///
    /// Only one of the two can hold the peer port; a statement of one that runs shows that the other
    /// does not. The order of their announces shows nothing: an announce may be appended late.
    pub(crate) fn succeeds(&self, other: &Self) -> bool {
        let announced = other.watermark >= crate::ANNOUNCE_SEQUENCE;
        announced && self.instance == other.instance && self.process != other.process
    }
}
