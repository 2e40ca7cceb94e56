//! What is known of one VM.

use std::net::SocketAddr;

use toucan_types::{DataCentreName, IncarnationId, Offset, VmInstance, VmName};

use super::{ListedState, MembershipSettings};
use crate::{Introduction, LoadHint, MemberState, PeerIdentity, PeerTarget};

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name; a replacement may carry the name of the VM it replaces.
    pub vm: VmName,
    /// The platform's identifier of this creation of the VM.
    pub instance: VmInstance,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// Peer address.
    pub address: SocketAddr,
    /// The process on the VM; [`None`] until it was heard of.
    pub incarnation: Option<IncarnationId>,
    /// State when last looked at.
    pub state: MemberState,
    /// Time since which it is in this state.
    pub since_ms: u64,
    /// Load that it last gave.
    pub load: LoadHint,
    /// Offset up to which it last said it has the document.
    pub document_offset: Offset,
    pub(super) row: u32,
    pub(super) known_at_ms: u64,
    pub(super) heard_at_ms: Option<u64>,
    pub(super) heard_directly_at_ms: Option<u64>,
    pub(super) unreachable_at_ms: Option<u64>,
    pub(super) declared: MemberState,
    pub(super) listed: Option<ListedState>,
}

/// A member whose state changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Name of the VM.
    pub vm: VmName,
    /// The platform's identifier of this creation of the VM.
    pub instance: VmInstance,
    /// State before.
    pub from: MemberState,
    /// State now.
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
            row: 0,
            known_at_ms: now_ms,
            heard_at_ms: None,
            heard_directly_at_ms: None,
            unreachable_at_ms: None,
            declared: MemberState::Live,
            listed: None,
        }
    }

    /// Where to call it.
    #[must_use]
    pub fn target(&self) -> PeerTarget {
        PeerTarget {
            identity: PeerIdentity::new(self.vm.clone(), self.data_centre.clone()),
            address: self.address,
        }
    }

    /// Whether the platform says that the VM is destroyed, so that no process on it runs again.
    #[must_use]
    pub fn is_destroyed(&self) -> bool {
        self.listed == Some(ListedState::Gone)
    }

    /// Takes over another process of the same VM.
    pub(super) fn set_incarnation(&mut self, incarnation: IncarnationId, now_ms: u64) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.row = row_hash(&self.instance, incarnation);
        self.declared = MemberState::Live;
        self.known_at_ms = now_ms;
    }

    /// Takes over the address that a VM gives of itself, unless the platform lists one.
    pub(super) fn suggest_address(&mut self, address: SocketAddr) {
        if self.listed.is_none() {
            self.address = address;
        }
    }

    pub(super) fn hear(&mut self, heard_at_ms: u64) {
        self.heard_at_ms = Some(self.heard_at_ms.unwrap_or(0).max(heard_at_ms));
    }

    pub(super) fn hear_directly(&mut self, now_ms: u64) {
        self.hear(now_ms);
        self.heard_directly_at_ms = Some(now_ms);
        self.unreachable_at_ms = None;
    }

    /// What a process says of itself never goes back.
    pub(super) fn declare(&mut self, declared: MemberState) {
        if matches!(declared, MemberState::Leaving | MemberState::Gone) {
            self.declared = self.declared.max(declared);
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

    /// Time without news, in milliseconds.
    #[must_use]
    pub fn last_seen_age_ms(&self, now_ms: u64) -> u64 {
        let heard_at_ms = self.heard_at_ms.unwrap_or(self.known_at_ms);
        now_ms.saturating_sub(heard_at_ms)
    }

    /// The state that follows from all that is known.
    ///
    /// Members of other data centres are heard of by few, so their silence says nothing.
    pub(super) fn state_at(
        &self,
        is_of_own_data_centre: bool,
        settings: &MembershipSettings,
        now_ms: u64,
    ) -> MemberState {
        if self.is_destroyed() || self.declared == MemberState::Gone {
            return MemberState::Gone;
        }
        let is_avoided = self
            .unreachable_at_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < settings.avoid_for_ms);
        let is_quiet =
            is_of_own_data_centre && self.last_seen_age_ms(now_ms) > settings.suspect_after_ms;
        if is_avoided || is_quiet {
            return MemberState::Suspect;
        }
        if self.declared == MemberState::Leaving || self.listed == Some(ListedState::Leaving) {
            return MemberState::Leaving;
        }
        MemberState::Live
    }
}

/// Hash by which heartbeats speak of a process on a VM; the same on every machine.
fn row_hash(instance: &VmInstance, incarnation: IncarnationId) -> u32 {
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
