//! Which gateway is asked for a connection to a target.

use toucan_types::{FastHashMap, VmName, rendezvous_ranking};

/// Time for which a gateway that could not help is asked last.
const PAUSE_MS: u64 = 1_000;
/// Utilisation from which a gateway is asked only if no other one can help.
const HIGH_UTILISATION_PERMILLE: u32 = 850;

/// A live gateway that may connect to targets for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// VM of the gateway.
    pub vm: VmName,
    /// Whether it is in the data centre of this VM.
    pub is_neighbour: bool,
    /// Whether it is cut off from targets itself.
    pub is_cut_off: bool,
    /// Part of its resources that is in use; [`None`] if it has told none.
    pub utilisation_permille: Option<u32>,
}

/// Gateways that could not help a moment ago.
#[derive(Debug, Default)]
pub struct TunnelPeers {
    paused_until_ms: FastHashMap<VmName, u64>,
}

impl TunnelPeers {
    /// Records that a gateway could not help.
    pub fn record_failure(&mut self, vm: &VmName, now_ms: u64) {
        self.paused_until_ms
            .retain(|_vm, until_ms| now_ms < *until_ms);
        self.paused_until_ms.insert(vm.clone(), now_ms + PAUSE_MS);
    }

    /// Returns the gateways to ask, best first.
    ///
    /// Gateways that are cut off at the same time prefer different ones, so that none gets the load of many. Two of
    /// different data centres are asked, since a cut may concern all gateways of one.
    #[must_use]
    pub fn choose(&self, local: &VmName, peers: &[TunnelPeer], now_ms: u64) -> Vec<VmName> {
        let names = peers.iter().map(|peer| &peer.vm);
        let ranked = rendezvous_ranking(local, names, peers.len());
        let rank_of = |vm: &VmName| ranked.iter().position(|ranked| *ranked == vm);
        let mut peers: Vec<&TunnelPeer> = peers.iter().collect();
        peers.sort_by_key(|peer| {
            let is_paused = self
                .paused_until_ms
                .get(&peer.vm)
                .is_some_and(|until_ms| now_ms < *until_ms);
            let is_busy = peer.utilisation_permille >= Some(HIGH_UTILISATION_PERMILLE);
            let is_near = peer.is_neighbour;
            (
                is_paused,
                peer.is_cut_off,
                is_busy,
                !is_near,
                rank_of(&peer.vm),
            )
        });
        let Some(first) = peers.first() else {
            return Vec::new();
        };
        let mut others = peers[1..].iter();
        let elsewhere = others.find(|peer| peer.is_neighbour != first.is_neighbour);
        let second = elsewhere.or(peers.get(1));
        let asked = [Some(first), second].into_iter().flatten();
        asked.map(|peer| peer.vm.clone()).collect()
    }
}
