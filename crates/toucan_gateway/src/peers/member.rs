//! The gateways of the fleet.

use std::net::SocketAddrV4;

use toucan_types::{DataCentreName, FastHashMap, VmName};

use crate::{binary_format, budget::PeerRecovery, overload::UtilisationReport, paths::TunnelPeer};

use super::{GatewayLocation, permit_share::MajorityWatch};

/// Time after its last datagram or its registration for which a gateway counts as live.
pub(super) const LIVENESS_TIMEOUT_MS: u64 = 5_000;
/// Time since its last datagram for which a gateway may hold tokens that a restored store lost.
const RECOVERING_MS: u64 = 20_000;
/// Time since its last datagram for which a gateway is asked for tunnels to targets.
const TUNNEL_SILENCE_MS: u64 = 3_000;
/// Time for which a gateway that has told that it is cut off counts as such.
const CUT_OFF_MS: u64 = 1_500;
/// Time since its last datagram after which a gateway no longer counts at all. VMs that were
/// replaced stay registered and would otherwise keep a share of the fleet's limits forever.
pub(super) const MEMBER_EXPIRY_MS: u64 = 600_000;

/// The registration of a gateway in the store.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberEntry {
    /// Random identifier of the process's start.
    pub start: u64,
    /// Address at which the gateway receives datagrams.
    pub address: SocketAddrV4,
    /// Key that authenticates its datagrams.
    pub key: [u8; 32],
    /// Data centre of its VM.
    pub data_centre: DataCentreName,
}

impl MemberEntry {
    /// Encodes the entry as the value of a record.
    ///
    /// # Errors
    ///
    /// The encoder's error.
    pub fn encode(&self) -> Result<Vec<u8>, bincode::error::EncodeError> {
        binary_format::encode(self)
    }

    /// Decodes the value of a record.
    ///
    /// # Errors
    ///
    /// The decoder's error if the value is no registration.
    pub fn decode(bytes: &[u8]) -> Result<Self, bincode::error::DecodeError> {
        binary_format::decode(bytes)
    }
}

/// Another gateway, as seen by this one.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its registration.
    pub(crate) entry: MemberEntry,
    /// Time of its last datagram or registration.
    pub last_seen_ms: u64,
    /// How far it has come since the store's last restore.
    pub(crate) recovery: PeerRecovery,
    /// Its utilisation; [`None`] before its first report.
    pub(crate) utilisation: Option<UtilisationReport>,
    /// When it last told that it is cut off from targets; [`None`] if it is not.
    pub(crate) cut_off_at_ms: Option<u64>,
}

impl Member {
    fn is_live(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_seen_ms) <= LIVENESS_TIMEOUT_MS
    }
}

/// All registered gateways except this one.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_vm: FastHashMap<VmName, Member>,
    pub(super) majority: MajorityWatch,
}

impl Members {
    /// Adds a registration, unless it is of a known start.
    pub fn register(&mut self, vm: VmName, entry: MemberEntry, now_ms: u64) {
        let is_known = self
            .by_vm
            .get(&vm)
            .is_some_and(|member| member.entry.start == entry.start);
        if is_known {
            return;
        }
        let member = Member {
            entry,
            last_seen_ms: now_ms,
            recovery: PeerRecovery::default(),
            utilisation: None,
            cut_off_at_ms: None,
        };
        self.by_vm.insert(vm, member);
    }

    /// Removes a gateway that has stopped.
    pub(crate) fn remove(&mut self, vm: &VmName) {
        self.by_vm.remove(vm);
    }

    /// Removes the gateways for which `is_registered` returns false.
    pub fn retain(&mut self, is_registered: impl Fn(&VmName) -> bool) {
        self.by_vm.retain(|vm, _member| is_registered(vm));
    }

    /// Returns one gateway.
    pub fn get_mut(&mut self, vm: &VmName) -> Option<&mut Member> {
        self.by_vm.get_mut(vm)
    }

    /// Returns the random identifier of a gateway's start.
    pub(crate) fn start_of(&self, vm: &VmName) -> Option<u64> {
        self.by_vm.get(vm).map(|member| member.entry.start)
    }

    /// Returns whether a gateway is known to be in a data centre.
    pub(crate) fn is_in_data_centre(&self, vm: &VmName, data_centre: &DataCentreName) -> bool {
        self.by_vm
            .get(vm)
            .is_some_and(|member| member.entry.data_centre == *data_centre)
    }

    /// Returns all other gateways.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.by_vm.iter()
    }

    /// Returns the other gateways in the data centre of `local`.
    pub(crate) fn neighbours(&self, local: &GatewayLocation) -> Vec<VmName> {
        let neighbours = self
            .by_vm
            .iter()
            .filter(|(_vm, member)| member.entry.data_centre == local.data_centre);
        neighbours.map(|(vm, _member)| vm.clone()).collect()
    }

    /// Returns the utilisation of the other live gateways in the data centre of `local`.
    pub(crate) fn utilisations(
        &self,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> Vec<UtilisationReport> {
        let neighbours = self
            .live(now_ms)
            .filter(|(_vm, member)| member.entry.data_centre == local.data_centre);
        neighbours
            .filter_map(|(_vm, member)| member.utilisation)
            .collect()
    }

    /// Returns the live gateways that may reach targets which the one at `local` does not.
    pub(crate) fn tunnel_peers(&self, local: &GatewayLocation, now_ms: u64) -> Vec<TunnelPeer> {
        self.seen_within(TUNNEL_SILENCE_MS, now_ms)
            .map(|(vm, member)| TunnelPeer {
                vm: vm.clone(),
                is_neighbour: member.entry.data_centre == local.data_centre,
                is_cut_off: member
                    .cut_off_at_ms
                    .is_some_and(|at_ms| now_ms <= at_ms + CUT_OFF_MS),
                utilisation_permille: member.utilisation.map(|report| report.utilisation_permille),
            })
            .collect()
    }

    /// Returns the number of gateways that share the fleet's limits, including this one.
    ///
    /// A gateway that hears from a majority assumes that the others have ended or are a minority
    /// behind a network partition, and counts only the live ones. A gateway that does not may be in
    /// the minority itself. It counts all gateways, because those that it cannot hear may be
    /// serving calls.
    #[must_use]
    pub fn process_count(&self, now_ms: u64) -> u32 {
        let others = u32::try_from(self.counted(now_ms).count());
        others.map_or(u32::MAX, |others| others.saturating_add(1))
    }

    /// Returns how far the other gateways have come since the store's last restore, without those that
    /// were silent before it.
    pub(crate) fn recoveries(&self, now_ms: u64) -> impl Iterator<Item = &PeerRecovery> {
        self.seen_within(RECOVERING_MS, now_ms)
            .map(|(_vm, member)| &member.recovery)
    }

    /// Returns the other gateways that [`Self::process_count`] counts.
    pub(crate) fn counted(&self, now_ms: u64) -> impl Iterator<Item = (&VmName, &Member)> {
        let max_age_ms = if self.hears_majority(now_ms) {
            LIVENESS_TIMEOUT_MS
        } else {
            MEMBER_EXPIRY_MS
        };
        self.seen_within(max_age_ms, now_ms)
    }

    /// Returns whether this gateway hears from a majority of all gateways, itself included.
    pub(super) fn hears_majority(&self, now_ms: u64) -> bool {
        let registered = 1 + self.seen_within(MEMBER_EXPIRY_MS, now_ms).count();
        let live = 1 + self.seen_within(LIVENESS_TIMEOUT_MS, now_ms).count();
        live * 2 > registered
    }

    pub(super) fn seen_within(
        &self,
        age_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = (&VmName, &Member)> {
        self.by_vm
            .iter()
            .filter(move |(_vm, member)| now_ms.saturating_sub(member.last_seen_ms) <= age_ms)
    }

    /// Returns whether another gateway is live.
    pub(crate) fn is_live(&self, vm: &VmName, now_ms: u64) -> bool {
        self.by_vm
            .get(vm)
            .is_some_and(|member| member.is_live(now_ms))
    }

    /// Returns the live gateways, without this one.
    pub(crate) fn live(&self, now_ms: u64) -> impl Iterator<Item = (&VmName, &Member)> {
        self.seen_within(LIVENESS_TIMEOUT_MS, now_ms)
    }
}
