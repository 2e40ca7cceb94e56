//! The peers duty: sends requests to other nodes and answers theirs.

mod peer_request_handler;
mod peers_duty;
mod peers_message;

pub(crate) use peer_request_handler::PeerRequestHandler;
pub(crate) use peers_duty::{PeersLinks, run_peers_duty};
pub(crate) use peers_message::PeersMessage;
