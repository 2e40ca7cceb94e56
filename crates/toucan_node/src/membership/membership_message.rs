//! Messages of the membership duty's ring.

use std::sync::Arc;

use tokio::sync::oneshot;
use toucan_config::Document;
use toucan_platform::VmListing;
use toucan_types::{IncarnationId, Offset, VmInstance, VmName};
use toucan_wire::{Heartbeat, MemberState};

/// One router VM as this node sees it, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct FleetMember {
    /// Name of the VM.
    pub(crate) vm: String,
    /// The platform's identifier of this creation of the VM.
    pub(crate) instance: String,
    /// Data centre.
    pub(crate) data_centre: String,
    /// State: `live`, `leaving`, `suspect` or `gone`.
    pub(crate) state: &'static str,
    /// Time at which it entered this state, in milliseconds since 1970.
    pub(crate) since_ms: u64,
    /// Incarnation, if known.
    pub(crate) incarnation: Option<String>,
    /// Offset up to which it has applied the document's records.
    pub(crate) document_offset: u64,
}

/// The fleet as this node sees it, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct FleetView {
    /// Router VMs.
    pub(crate) members: Vec<FleetMember>,
    /// Whether the platform's list has not been read for a while.
    pub(crate) platform_lost: bool,
    /// Data centres none of whose nodes can be reached.
    pub(crate) data_centres_lost: Vec<String>,
}

/// Messages of the membership duty's ring.
pub(crate) enum MembershipMessage {
    /// Another node sent a heartbeat that expects a reply.
    HeartbeatRequest {
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
        /// Receives this node's own heartbeat.
        reply: oneshot::Sender<Heartbeat>,
    },
    /// Another node replied to a heartbeat.
    HeartbeatResponse(Box<Heartbeat>),
    /// The platform's list of VMs was read.
    VmList(Arc<VmListing>),
    /// A VM replied to a request.
    Reached(VmName),
    /// A VM could not be reached.
    Unreachable(VmName),
    /// A VM announced that it is leaving or that its incarnation has ended.
    StateAnnounced {
        /// The VM's instance.
        instance: VmInstance,
        /// Its incarnation.
        incarnation: IncarnationId,
        /// Its new state.
        state: MemberState,
    },
    /// The document in force, and the offset up to which its records are applied.
    Document(Arc<Document>, Offset),
    /// This node is draining and takes no new role.
    Drain,
    /// An operator requests the state of the fleet.
    Fleet(oneshot::Sender<FleetView>),
}
