//! Which VMs are live and which of them has a role.

use toucan_types::{FastHashMap, IncarnationId, VmInstance, VmName};

use super::data_centres::{DataCentres, heard_at_ms};
use super::{ListedPeer, Member, MemberChange, MembershipSettings};
use crate::{Heartbeat, Introduction, MemberRow, MemberState, PeerIdentity, PeerTarget};

/// Which VMs are live and which of them has a role, as one node sees it.
///
/// Fed by heartbeats and by the platform's lagging list; decides efficiency, never safety: two
/// nodes that see it differently may both take a role.
///
/// ```
/// use toucan_types::{IncarnationId, Offset, ShardIndex};
/// use toucan_wire::{Introduction, LoadHint, Membership, MembershipSettings};
///
/// let me = Introduction {
///     vm: "vm-1".into(),
///     instance: "i-1".into(),
///     data_centre: "dc-a".into(),
///     address: ([127, 0, 0, 1], 7000).into(),
///     incarnation: IncarnationId(1),
/// };
/// let mut membership = Membership::new(MembershipSettings::default(), me, 0);
/// assert!(membership.due_heartbeats(0, LoadHint::default(), Offset(0)).is_empty());
/// assert!(membership.is_batcher(ShardIndex(0)));
/// ```
pub struct Membership {
    pub(super) settings: MembershipSettings,
    pub(super) me: Introduction,
    pub(super) is_leaving: bool,
    pub(super) members: FastHashMap<VmInstance, Member>,
    pub(super) data_centres: DataCentres,
    pub(super) contacts: Vec<PeerTarget>,
    pub(super) list_as_of_ms: Option<u64>,
    pub(super) list_read_at_ms: u64,
    pub(super) next_heartbeat_ms: u64,
    pub(super) next_cross_ms: u64,
    pub(super) next_suspect_ms: u64,
    pub(super) turn: usize,
    pub(super) partners: Vec<VmInstance>,
    pub(super) are_partners_outdated: bool,
}

impl Membership {
    /// The view of a node that has heard nothing yet.
    #[must_use]
    pub fn new(settings: MembershipSettings, me: Introduction, now_ms: u64) -> Self {
        Self {
            settings,
            me,
            is_leaving: false,
            members: FastHashMap::default(),
            data_centres: DataCentres::default(),
            contacts: Vec::new(),
            list_as_of_ms: None,
            list_read_at_ms: now_ms,
            next_heartbeat_ms: now_ms,
            next_cross_ms: now_ms,
            next_suspect_ms: now_ms,
            turn: 0,
            partners: Vec::new(),
            are_partners_outdated: true,
        }
    }

    /// Sets addresses that are called until somebody there has been heard of.
    #[must_use]
    pub fn with_contacts(mut self, contacts: impl IntoIterator<Item = PeerTarget>) -> Self {
        self.contacts.extend(contacts);
        self
    }

    /// Takes in the platform's list; an older one than before changes nothing.
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
            // That a VM is destroyed stays true when the platform no longer lists it.
            if !member.is_destroyed() {
                member.listed = None;
            }
        }
        for peer in peers {
            if peer.instance == self.me.instance {
                continue;
            }
            self.note_listed(peer, now_ms);
        }
    }

    fn note_listed(&mut self, peer: ListedPeer, now_ms: u64) {
        let identity = PeerIdentity::new(peer.vm, peer.data_centre);
        let member = self.learn(identity, peer.instance, peer.address, now_ms);
        if !member.is_destroyed() {
            member.listed = Some(peer.state);
        }
        // The list says how to reach a VM from here; the VM only knows its own address.
        member.address = peer.address;
    }

    /// Takes in a heartbeat.
    pub fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) {
        let sender = &heartbeat.sender;
        if sender.instance == self.me.instance {
            return;
        }
        let is_of_own = sender.data_centre == self.me.data_centre;
        let member = self.learn_introduced(sender, now_ms);
        member.set_incarnation(sender.incarnation, now_ms);
        member.suggest_address(sender.address);
        member.hear_directly(now_ms);
        member.declare(heartbeat.state);
        member.load = heartbeat.load;
        member.document_offset = member.document_offset.max(heartbeat.document_offset);
        if !is_of_own {
            self.data_centres.hear(&sender.data_centre, now_ms);
            return;
        }
        self.data_centres.hear_rows(&heartbeat.data_centres, now_ms);
        for introduction in &heartbeat.introductions {
            self.note_introduction(introduction, now_ms);
        }
        self.note_rows(&heartbeat.members, now_ms);
    }

    fn note_introduction(&mut self, introduction: &Introduction, now_ms: u64) {
        if introduction.instance == self.me.instance
            || introduction.data_centre != self.me.data_centre
        {
            return;
        }
        let suspect_after_ms = self.settings.suspect_after_ms;
        let member = self.learn_introduced(introduction, now_ms);
        // Word of an older process of the VM may still go round after its successor was heard.
        if member.incarnation.is_none() || member.last_seen_age_ms(now_ms) > suspect_after_ms / 2 {
            member.set_incarnation(introduction.incarnation, now_ms);
            member.suggest_address(introduction.address);
        }
    }

    fn note_rows(&mut self, rows: &[MemberRow], now_ms: u64) {
        let rows: FastHashMap<u32, &MemberRow> = rows.iter().map(|row| (row.member, row)).collect();
        for member in self.members.values_mut() {
            if member.incarnation.is_none() || member.data_centre != self.me.data_centre {
                continue;
            }
            let Some(row) = rows.get(&member.row) else {
                continue;
            };
            member.declare(row.state);
            if let Some(heard_at_ms) = heard_at_ms(row.age_100_ms, now_ms) {
                member.hear(heard_at_ms);
            }
        }
    }

    /// Notes that a request to a VM failed; it gets no role for a while.
    pub fn record_unreachable(&mut self, vm: &VmName, now_ms: u64) {
        for member in self.members.values_mut() {
            if member.vm == *vm {
                member.unreachable_at_ms = Some(now_ms);
            }
        }
    }

    /// Notes that a VM answered a request.
    pub fn record_reachable(&mut self, vm: &VmName, now_ms: u64) {
        let mut reached = None;
        for member in self.members.values_mut() {
            if member.vm == *vm && member.incarnation.is_some() && !member.is_destroyed() {
                member.hear_directly(now_ms);
                reached = Some(member.data_centre.clone());
            }
        }
        if let Some(name) = reached {
            self.data_centres.hear(&name, now_ms);
        }
    }

    /// Notes that an incarnation has said farewell or that its VM takes no new work.
    pub fn record_shutdown_notice(
        &mut self,
        instance: &VmInstance,
        incarnation: IncarnationId,
        state: MemberState,
    ) {
        if let Some(member) = self.members.get_mut(instance)
            && member.incarnation == Some(incarnation)
        {
            member.declare(state);
        }
    }

    /// Tells others from now on that this node takes no new role.
    pub fn set_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Brings the states up to date and gives those that changed.
    pub fn update_states(&mut self, now_ms: u64) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let is_of_own = member.data_centre == self.me.data_centre;
            let state = member.state_at(is_of_own, &self.settings, now_ms);
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
        self.forget(now_ms);
        self.are_partners_outdated |= !changes.is_empty();
        changes
    }

    fn forget(&mut self, now_ms: u64) {
        let forget_after_ms = self.settings.forget_after_ms;
        self.members.retain(|_, member| {
            let is_over = matches!(member.state, MemberState::Suspect | MemberState::Gone);
            let is_old = now_ms.saturating_sub(member.since_ms) > forget_after_ms;
            member.listed.is_some() || !is_over || !is_old
        });
    }

    fn learn_introduced(&mut self, introduction: &Introduction, now_ms: u64) -> &mut Member {
        let identity = PeerIdentity::new(introduction.vm.clone(), introduction.data_centre.clone());
        let instance = introduction.instance.clone();
        self.learn(identity, instance, introduction.address, now_ms)
    }

    fn learn(
        &mut self,
        identity: PeerIdentity,
        instance: VmInstance,
        address: std::net::SocketAddr,
        now_ms: u64,
    ) -> &mut Member {
        if identity.data_centre != self.me.data_centre {
            self.data_centres.learn(&identity.data_centre, now_ms);
        }
        self.are_partners_outdated |= !self.members.contains_key(&instance);
        self.members
            .entry(instance.clone())
            .or_insert_with(|| Member::new(identity, instance, address, now_ms))
    }
}
