//! Which gateways remember where a stream began.
//!
//! The gateway of a stream may die with it, so it tells the origin to a few others before the caller
//! gets the first event. Every gateway finds them by hashing the id of the caller's attempt. Two
//! gateways that see different members may find others; a stream that nobody remembers is refused.

use std::collections::BTreeMap;

use toucan_types::{DataCentreName, RequestId, VmName, rendezvous_ranking};

use super::{GatewayLocation, Members};

/// Number of other gateways that are told the origin of a stream. More than half of all gateways may
/// die at once.
const REPLICAS: usize = 3;
/// Number of them in other data centres, if there are any. They survive the loss of the data centre.
const REMOTE_REPLICAS: usize = 1;
/// Number of gateways of each data centre that are asked. The gateway that served the stream may
/// rank before all of its replicas.
const ASKED_PER_DATA_CENTRE: usize = REPLICAS + 1;

impl Members {
    /// Returns the other gateways that the gateway at `local` tells where a stream began.
    #[must_use]
    pub fn origin_replicas(
        &self,
        attempt: &RequestId,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> Vec<VmName> {
        let mut by_data_centre = self.live_by_data_centre(now_ms);
        let neighbours = by_data_centre
            .remove(&local.data_centre)
            .unwrap_or_default();
        let elsewhere: Vec<&VmName> = by_data_centre.into_values().flatten().collect();
        let remote = (REPLICAS.saturating_sub(neighbours.len()))
            .max(REMOTE_REPLICAS)
            .min(elsewhere.len());
        let mut replicas = rendezvous_ranking(attempt, neighbours, REPLICAS - remote);
        replicas.extend(rendezvous_ranking(attempt, elsewhere, remote));
        replicas.into_iter().cloned().collect()
    }

    /// Returns the other gateways that may know where a stream began which any gateway served.
    #[must_use]
    pub fn possible_origin_replicas(&self, attempt: &RequestId, now_ms: u64) -> Vec<VmName> {
        let ranked = self
            .live_by_data_centre(now_ms)
            .into_values()
            .flat_map(|gateways| rendezvous_ranking(attempt, gateways, ASKED_PER_DATA_CENTRE));
        ranked.cloned().collect()
    }

    fn live_by_data_centre(&self, now_ms: u64) -> BTreeMap<&DataCentreName, Vec<&VmName>> {
        let mut by_data_centre: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (vm, member) in self.live(now_ms) {
            let gateways = by_data_centre.entry(&member.entry.data_centre).or_default();
            gateways.push(vm);
        }
        by_data_centre
    }
}
