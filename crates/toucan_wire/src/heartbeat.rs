//! Heartbeats: the state of a node and what it knows about its peers.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, IncarnationId, Offset, VmInstance, VmName};

/// State of a router VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Serves requests.
    #[default]
    Live,
    /// Is shutting down and takes no new role.
    Leaving,
    /// Not seen for some time, or unreachable.
    Suspect,
    /// Destroyed according to the platform, or has sent its shutdown notice.
    Gone,
}

/// Approximate load of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadHint {
    /// Requests in flight.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
}

/// Identity and address of a member, for nodes that do not know it yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Introduction {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Incarnation of the process on the VM.
    pub incarnation: IncarnationId,
}

/// Age of the latest news of a member of the sender's data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberDigest {
    /// Hash of the instance and the incarnation.
    pub member: u32,
    /// Age in units of 100 ms; 255 if it is out of range.
    pub age_100_ms: u8,
    /// State that the member reported of itself.
    pub state: MemberState,
}

/// Age of the latest news of a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DataCentreDigest {
    /// Hash of the data centre's name.
    pub data_centre: u32,
    /// Age in units of 100 ms; 255 if it is out of range.
    pub age_100_ms: u8,
}

/// State of a node and what it knows about its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub sender: Introduction,
    /// The sender's state.
    pub state: MemberState,
    /// The sender's load.
    pub load: LoadHint,
    /// Offset up to which the sender has read the document.
    pub document_offset: Offset,
    /// Recently seen members of the sender's data centre.
    pub members: Vec<MemberDigest>,
    /// Recently seen other data centres.
    pub data_centres: Vec<DataCentreDigest>,
    /// In a reply: members that the receiver does not know.
    pub introductions: Vec<Introduction>,
}
