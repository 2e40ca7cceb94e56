//! Membership and roles of router VMs; does no I/O, and takes the current time as an argument.

mod connectivity;
mod data_centres;
mod heartbeats;
mod listed_peer;
mod member;
#[allow(
    clippy::module_inception,
    reason = "the main type of the module has a file of its own"
)]
mod membership;
mod overlay;
mod roles;
mod settings;

pub use connectivity::Connectivity;
pub use data_centres::DataCentreView;
pub use heartbeats::OutgoingHeartbeat;
pub use listed_peer::{ListedPeer, ListedState};
pub use member::{Member, MemberChange};
pub use membership::Membership;
pub use settings::MembershipSettings;
