//! The peers duty: sends requests to other nodes and answers theirs.

mod peer_answers;
mod peers_duty;
mod peers_message;

pub(crate) use peer_answers::PeerAnswers;
pub(crate) use peers_duty::{PeersLinks, run_peers_duty};
pub(crate) use peers_message::PeersMessage;
