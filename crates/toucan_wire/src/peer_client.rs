//! Client for all peers of a node.

use std::sync::{Arc, PoisonError, RwLock};

use toucan_types::FastHashMap;

use crate::{LinkError, LinkSettings, PeerIdentity, PeerLink, PeerTarget, Reply, Request, Tls};

/// Client for all peers of a node; creates the link to a peer when it is first used.
pub struct PeerClient {
    local: PeerIdentity,
    tls: Option<Arc<Tls>>,
    settings: LinkSettings,
    links: RwLock<FastHashMap<PeerTarget, Arc<PeerLink>>>,
}

impl PeerClient {
    /// Creates a client for the VM `local`; without `tls` it can only call servers without TLS.
    #[must_use]
    pub fn new(local: PeerIdentity, tls: Option<Arc<Tls>>, settings: LinkSettings) -> Self {
        Self {
            local,
            tls,
            settings,
            links: RwLock::default(),
        }
    }

    /// Returns the link to a peer.
    #[must_use]
    pub fn link(&self, peer: &PeerTarget) -> Arc<PeerLink> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(peer) {
            return Arc::clone(link);
        }
        drop(links);
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let link = links
            .entry(peer.clone())
            .or_insert_with(|| Arc::new(self.new_link(peer)));
        Arc::clone(link)
    }

    /// Sends a request to a peer and waits for its reply.
    ///
    /// # Errors
    ///
    /// As [`PeerLink::request`].
    pub async fn request(&self, peer: &PeerTarget, request: &Request) -> Result<Reply, LinkError> {
        self.link(peer).request(request).await
    }

    /// Closes the links to all peers for which `keep` returns `false`.
    pub fn retain(&self, keep: impl Fn(&PeerTarget) -> bool) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.retain(|peer, _| keep(peer));
    }

    /// Returns all links.
    #[must_use]
    pub fn links(&self) -> Vec<Arc<PeerLink>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().map(Arc::clone).collect()
    }

    fn new_link(&self, peer: &PeerTarget) -> PeerLink {
        let settings = self.settings.clone();
        PeerLink::new(peer.clone(), &self.local, self.tls.clone(), settings)
    }
}
