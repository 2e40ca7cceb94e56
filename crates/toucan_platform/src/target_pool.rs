//! Connection pools by address.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use toucan_types::FastHashMap;

use crate::ClientSettings;
use crate::http_target::HttpTarget;

/// Connection pools by address, created when an address is first used.
pub(crate) struct TargetPool {
    settings: ClientSettings,
    targets: RwLock<FastHashMap<SocketAddr, Arc<HttpTarget>>>,
}

impl TargetPool {
    pub(crate) fn new(settings: ClientSettings) -> Self {
        Self {
            settings,
            targets: RwLock::default(),
        }
    }

    pub(crate) fn get(&self, address: SocketAddr) -> Arc<HttpTarget> {
        let known = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(target) = known.get(&address) {
            return Arc::clone(target);
        }
        drop(known);
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        let target = targets
            .entry(address)
            .or_insert_with(|| Arc::new(HttpTarget::new(address, self.settings.clone())));
        Arc::clone(target)
    }

    /// Removes an address whose target no longer exists; requests in progress continue.
    pub(crate) fn forget(&self, address: SocketAddr) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.remove(&address);
    }
}
