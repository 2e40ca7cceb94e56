//! Membership of router VMs as one node sees it.

use toucan_types::{FastHashMap, IncarnationId, VmInstance, VmName};

use super::data_centres::{DataCentres, seen_at_ms};
use super::{ListedPeer, Member, MemberChange, MembershipSettings};
use crate::{Heartbeat, Introduction, MemberDigest, MemberState, PeerIdentity, PeerTarget};

/// Which router VMs are live and which of them has a role, as one node sees it.
///
/// Based on heartbeats and on the platform's list, which lags. Two nodes with different views may
/// both take a role, so efficiency may depend on the membership, but safety must not.
///
/// ```
/// use toucan_types::{IncarnationId, Offset, ShardIndex};
/// use toucan_wire::{Introduction, LoadHint, Membership, MembershipSettings};
///
/// let local = Introduction {
///     vm: "vm-1".into(),
///     instance: "i-1".into(),
///     data_centre: "dc-a".into(),
///     address: ([127, 0, 0, 1], 7000).into(),
///     incarnation: IncarnationId(1),
/// };
/// let mut membership = Membership::new(MembershipSettings::default(), local, 0);
/// assert!(membership.due_heartbeats(0, LoadHint::default(), Offset(0)).is_empty());
/// assert!(membership.is_batcher(ShardIndex(0)));
/// ```
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) local: Introduction,
    pub(super) is_leaving: bool,
    pub(super) members: FastHashMap<VmInstance, Member>,
    pub(super) data_centres: DataCentres,
    pub(super) contacts: Vec<PeerTarget>,
    pub(super) list_as_of_ms: Option<u64>,
    pub(super) list_read_at_ms: u64,
    pub(super) next_heartbeat_ms: u64,
    pub(super) next_cross_data_centre_ms: u64,
    pub(super) next_suspect_ms: u64,
    pub(super) round: usize,
    pub(super) partners: Vec<VmInstance>,
    pub(super) are_partners_outdated: bool,
}

impl Membership {
    /// Creates the view of a node that knows no other node yet.
    #[must_use]
    pub fn new(settings: MembershipSettings, local: Introduction, now_ms: u64) -> Self {
        Self {
            settings,
            local,
            is_leaving: false,
            members: FastHashMap::default(),
            data_centres: DataCentres::default(),
            contacts: Vec::new(),
            list_as_of_ms: None,
            list_read_at_ms: now_ms,
            next_heartbeat_ms: now_ms,
            next_cross_data_centre_ms: now_ms,
            next_suspect_ms: now_ms,
            round: 0,
            partners: Vec::new(),
            are_partners_outdated: true,
        }
    }

    /// Adds peers that are sent heartbeats until they have been contacted successfully.
    #[must_use]
    pub fn with_contacts(mut self, contacts: impl IntoIterator<Item = PeerTarget>) -> Self {
        self.contacts.extend(contacts);
        self
    }

    /// Applies the platform's list; a list older than the last one changes no member.
    pub fn apply_list(
        &mut self,
        as_of_ms: u64,
        peers: impl IntoIterator<Item = ListedPeer>,
        now_ms: u64,
    ) {
        self.list_read_at_ms = now_ms;
        if self
            .list_as_of_ms
            .is_some_and(|known_ms| as_of_ms < known_ms)
        {
            return;
        }
        self.list_as_of_ms = Some(as_of_ms);
        for member in self.members.values_mut() {
            // A destroyed VM stays destroyed when the platform no longer lists it.
            if !member.is_destroyed() {
                member.listed = None;
            }
        }
        for peer in peers {
            if peer.instance == self.local.instance {
                continue;
            }
            self.apply_listed_peer(peer, now_ms);
        }
    }

    fn apply_listed_peer(&mut self, peer: ListedPeer, now_ms: u64) {
        let identity = PeerIdentity::new(peer.vm, peer.data_centre);
        let member = self.member_or_insert(identity, peer.instance, peer.address, now_ms);
        if !member.is_destroyed() {
            member.listed = Some(peer.state);
        }
        // The listed address is reachable from here; the one that a VM reports may not be.
        member.address = peer.address;
    }

    /// Applies a heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let sender = &heartbeat.sender;
        if sender.instance == self.local.instance {
            return;
        }
        let is_in_own_data_centre = sender.data_centre == self.local.data_centre;
        let member = self.introduced_member(sender, now_ms);
        member.set_incarnation(sender.incarnation, now_ms);
        member.suggest_address(sender.address);
        member.record_contact(now_ms);
        member.record_reported_state(heartbeat.state);
        member.load = heartbeat.load;
        member.document_offset = member.document_offset.max(heartbeat.document_offset);
        if !is_in_own_data_centre {
            self.data_centres.record_seen(&sender.data_centre, now_ms);
            return;
        }
        self.data_centres
            .apply_digests(&heartbeat.data_centres, now_ms);
        for introduction in &heartbeat.introductions {
            self.apply_introduction(introduction, now_ms);
        }
        self.apply_member_digests(&heartbeat.members, now_ms);
    }

    fn apply_introduction(&mut self, introduction: &Introduction, now_ms: u64) {
        if introduction.instance == self.local.instance
            || introduction.data_centre != self.local.data_centre
        {
            return;
        }
        let suspect_after_ms = self.settings.suspect_after_ms;
        let member = self.introduced_member(introduction, now_ms);
        // News of an older process of the VM may still arrive after its successor was seen.
        if member.incarnation.is_none() || member.last_seen_age_ms(now_ms) > suspect_after_ms / 2 {
            member.set_incarnation(introduction.incarnation, now_ms);
            member.suggest_address(introduction.address);
        }
    }

    fn apply_member_digests(&mut self, digests: &[MemberDigest], now_ms: u64) {
        let digests: FastHashMap<u32, &MemberDigest> = digests
            .iter()
            .map(|digest| (digest.member, digest))
            .collect();
        for member in self.members.values_mut() {
            if member.incarnation.is_none() || member.data_centre != self.local.data_centre {
                continue;
            }
            let Some(digest) = digests.get(&member.id_hash) else {
                continue;
            };
            member.record_reported_state(digest.state);
            if let Some(last_seen_at_ms) = seen_at_ms(digest.age_100_ms, now_ms) {
                member.record_seen(last_seen_at_ms);
            }
        }
    }

    /// Records that a request to a VM failed; the VM has no role until the cooldown has passed.
    pub fn record_unreachable(&mut self, vm: &VmName, now_ms: u64) {
        for member in self.members.values_mut() {
            if member.vm == *vm {
                member.unreachable_at_ms = Some(now_ms);
            }
        }
    }

    /// Records that a VM answered a request.
    pub fn record_reachable(&mut self, vm: &VmName, now_ms: u64) {
        let mut reached_data_centre = None;
        for member in self.members.values_mut() {
            if member.vm == *vm && member.incarnation.is_some() && !member.is_destroyed() {
                member.record_contact(now_ms);
                reached_data_centre = Some(member.data_centre.clone());
            }
        }
        if let Some(name) = reached_data_centre {
            self.data_centres.record_seen(&name, now_ms);
        }
    }

    /// Records that an incarnation has ended or that its VM takes no new work.
    pub fn record_shutdown_notice(
        &mut self,
        instance: &VmInstance,
        incarnation: IncarnationId,
        state: MemberState,
    ) {
        if let Some(member) = self.members.get_mut(instance)
            && member.incarnation == Some(incarnation)
        {
            member.record_reported_state(state);
        }
    }

    /// Marks this node as leaving; its heartbeats then say that it takes no new role.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Updates the states of all members and returns the changes.
    pub fn update_states(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let is_in_own_data_centre = member.data_centre == self.local.data_centre;
            let state = member.state_at(is_in_own_data_centre, &self.settings, now_ms);
            if state == member.state {
                continue;
            }
            changes.push(MemberChange {
                vm: member.vm.clone(),
                instance: member.instance.clone(),
                from: member.state,
                to: state,
            });
            member.state = state;
            member.since_ms = now_ms;
        }
        self.remove_expired(now_ms);
        self.are_partners_outdated |= !changes.is_empty();
        changes
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        self.members.retain(|_, member| {
            let is_over = matches!(member.state, MemberState::Suspect | MemberState::Gone);
            let is_old = now_ms.saturating_sub(member.since_ms) > forget_after_ms;
            member.listed.is_some() || !is_over || !is_old
        });
    }

    fn introduced_member(&mut self, introduction: &Introduction, now_ms: u64) -> &mut Member {
        let identity = PeerIdentity::new(introduction.vm.clone(), introduction.data_centre.clone());
        let instance = introduction.instance.clone();
        self.member_or_insert(identity, instance, introduction.address, now_ms)
    }

    fn member_or_insert(
        &mut self,
        identity: PeerIdentity,
        instance: VmInstance,
        address: std::net::SocketAddr,
        now_ms: u64,
    ) -> &mut Member {
        if identity.data_centre != self.local.data_centre {
            self.data_centres.track(&identity.data_centre, now_ms);
        }
        self.are_partners_outdated |= !self.members.contains_key(&instance);
        self.members
            .entry(instance.clone())
            .or_insert_with(|| Member::new(identity, instance, address, now_ms))
    }
}
