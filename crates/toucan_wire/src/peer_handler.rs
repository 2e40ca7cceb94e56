//! Handler of requests from peers.

use crate::{PeerIdentity, Reply, Request};

/// Handler of requests from peers.
///
/// Implemented for functions that take a peer and its request and return a future of the reply.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles one request; if the server uses TLS, `peer` has been verified.
    fn handle(&self, peer: PeerIdentity, request: Request) -> impl Future<Output = Reply> + Send;
}

impl<F, T> PeerHandler for F
where
    F: Fn(PeerIdentity, Request) -> T + Send + Sync + 'static,
    T: Future<Output = Reply> + Send,
{
    fn handle(&self, peer: PeerIdentity, request: Request) -> impl Future<Output = Reply> + Send {
        self(peer, request)
    }
}
