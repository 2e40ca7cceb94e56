//! State of one VM as a node sees it.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, IncarnationId, Offset, VmInstance, VmName};

use super::{ListedState, MembershipSettings};
use crate::{Introduction, LoadHint, MemberState, PeerIdentity, PeerTarget};

/// State of one VM as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM; a replacement may have the same name as the VM it replaces.
    pub vm: VmName,
    /// The platform's identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Address of its peer port.
    pub address: SocketAddr,
    /// Incarnation of the process on the VM; [`None`] until it is known.
    pub incarnation: Option<IncarnationId>,
    /// State at the last update.
    pub state: MemberState,
    /// Time at which it entered this state, in milliseconds.
    pub since_ms: u64,
    /// Load that it last reported.
    pub load: LoadHint,
    /// Highest offset up to which it reported having the document.
    pub document_offset: Offset,
    pub(super) id_hash: u32,
    pub(super) known_since_ms: u64,
    pub(super) last_seen_at_ms: Option<u64>,
    pub(super) last_contact_at_ms: Option<u64>,
    pub(super) unreachable_at_ms: Option<u64>,
    pub(super) reported_state: MemberState,
    pub(super) listed: Option<ListedState>,
}

/// Change of a member's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this instance of the VM.
    pub instance: VmInstance,
    /// Previous state.
    pub from: MemberState,
    /// New state.
    pub to: MemberState,
}

impl Member {
    pub(super) fn new(
        identity: PeerIdentity,
        instance: VmInstance,
        address: SocketAddr,
        now_ms: u64,
    ) -> Self {
        Self {
            vm: identity.vm,
            instance,
            data_centre: identity.data_centre,
            address,
            incarnation: None,
            state: MemberState::Live,
            since_ms: now_ms,
            load: LoadHint::default(),
            document_offset: Offset::default(),
            id_hash: 0,
            known_since_ms: now_ms,
            last_seen_at_ms: None,
            last_contact_at_ms: None,
            unreachable_at_ms: None,
            reported_state: MemberState::Live,
            listed: None,
        }
    }

    /// Returns its identity and address.
    #[must_use]
    pub fn target(&self) -> PeerTarget {
        PeerTarget {
            identity: PeerIdentity::new(self.vm.clone(), self.data_centre.clone()),
            address: self.address,
        }
    }

    /// Returns whether the platform reports the VM as destroyed, so that no process can run on it
    /// again.
    #[must_use]
    pub fn is_destroyed(&self) -> bool {
        self.listed == Some(ListedState::Gone)
    }

    /// Sets the incarnation, resetting the state that the previous one reported.
    pub(super) fn set_incarnation(&mut self, incarnation: IncarnationId, now_ms: u64) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.id_hash = id_hash(&self.instance, incarnation);
        self.reported_state = MemberState::Live;
        self.known_since_ms = now_ms;
    }

    /// Sets the address that the VM reports of itself, unless the platform lists the VM.
    pub(super) fn suggest_address(&mut self, address: SocketAddr) {
        if self.listed.is_none() {
            self.address = address;
        }
    }

    pub(super) fn record_seen(&mut self, last_seen_at_ms: u64) {
        self.last_seen_at_ms = Some(self.last_seen_at_ms.unwrap_or(0).max(last_seen_at_ms));
    }

    pub(super) fn record_contact(&mut self, now_ms: u64) {
        self.record_seen(now_ms);
        self.last_contact_at_ms = Some(now_ms);
        self.unreachable_at_ms = None;
    }

    /// Records the state that a process reports of itself, which never reverts to an earlier one.
    pub(super) fn record_reported_state(&mut self, reported: MemberState) {
        if matches!(reported, MemberState::Leaving | MemberState::Gone) {
            self.reported_state = self.reported_state.max(reported);
        }
    }

    pub(super) fn introduction(&self) -> Option<Introduction> {
        Some(Introduction {
            vm: self.vm.clone(),
            instance: self.instance.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address,
            incarnation: self.incarnation?,
        })
    }

    /// Returns the time since the member was last seen, in milliseconds.
    #[must_use]
    pub fn last_seen_age_ms(&self, now_ms: u64) -> u64 {
        let last_seen_at_ms = self.last_seen_at_ms.unwrap_or(self.known_since_ms);
        now_ms.saturating_sub(last_seen_at_ms)
    }

    /// Returns the state that follows from all available information.
    ///
    /// Only a few nodes exchange heartbeats with other data centres, so a member of another data
    /// centre is not suspected when it has not been seen.
    pub(super) fn state_at(
        &self,
        is_in_own_data_centre: bool,
        settings: &MembershipSettings,
        now_ms: u64,
    ) -> MemberState {
        if self.is_destroyed() || self.reported_state == MemberState::Gone {
            return MemberState::Gone;
        }
        let is_unreachable = self
            .unreachable_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < settings.unreachable_cooldown_ms);
        let is_not_seen =
            is_in_own_data_centre && self.last_seen_age_ms(now_ms) > settings.suspect_after_ms;
        if is_unreachable || is_not_seen {
            return MemberState::Suspect;
        }
        if self.reported_state == MemberState::Leaving || self.listed == Some(ListedState::Leaving)
        {
            return MemberState::Leaving;
        }
        MemberState::Live
    }
}

/// Returns the hash that identifies a process on a VM in heartbeats; the same on every machine.
fn id_hash(instance: &VmInstance, incarnation: IncarnationId) -> u32 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&incarnation.0.to_le_bytes());
    hasher.update(instance.as_str().as_bytes());
    short_hash(&hasher)
}

pub(super) fn short_hash(hasher: &blake3::Hasher) -> u32 {
    let hash = hasher.finalize();
    let [a, b, c, d, ..] = *hash.as_bytes();
    u32::from_le_bytes([a, b, c, d])
}
