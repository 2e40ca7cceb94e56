//! State and message handling of the membership duty.

use serde_json::json;
use toucan_platform::formats::{VmKind, VmState};
use toucan_platform::{ListedVm, VmListing};
use toucan_types::{DataCentreName, Offset, ShardIndex};
use toucan_wire::{
    Introduction, ListedPeer, ListedState, LoadHint, MemberState, Membership, MembershipSettings,
    PeerTarget,
};

use super::{FleetMember, FleetView, MembershipMessage};
use crate::{
    admission::AdmissionMessage,
    kernel::{Duty, Identity, Ring},
    ledger::{LedgerMessage, MemberFacts, ShardRole},
    orders::{LiveNodes, OrdersMessage},
    peers::PeersMessage,
};

/// Time between two reports to the other duties, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 250;

/// Time for which a node may be behind another node's document before it requests the missing
/// records, in milliseconds.
const MAX_DOCUMENT_LAG_MS: u64 = 750;

/// Rings that the membership duty writes to.
pub(crate) struct MembershipLinks {
    /// The admission duty.
    pub(crate) admission: Ring<AdmissionMessage>,
    /// The ledger duty.
    pub(crate) ledger: Ring<LedgerMessage>,
    /// The peers duty.
    pub(crate) peers: Ring<PeersMessage>,
    /// The orders duty.
    pub(crate) orders: Ring<OrdersMessage>,
}

/// Tracks which router VMs are live and which role each has.
pub(crate) struct MembershipDuty {
    identity: Identity,
    membership: Membership,
    links: MembershipLinks,
    shards: u16,
    document_offset: Offset,
    /// Document offset at which this node is behind another node, and since when.
    behind_since: Option<(Offset, u64)>,
    listed_at_ms: u64,
    next_report_at_ms: u64,
    reported_roles: Vec<ShardRole>,
    reported_nodes: (u32, u32),
    reported_live: LiveNodes,
    leaving: bool,
}

impl MembershipDuty {
    /// Creates a duty that knows this node and the addresses of some others.
    pub(crate) fn new(
        identity: Identity,
        address: std::net::SocketAddr,
        contacts: Vec<PeerTarget>,
        settings: MembershipSettings,
        links: MembershipLinks,
        now_ms: u64,
    ) -> Self {
        let local = Introduction {
            vm: identity.vm.clone(),
            instance: identity.instance.clone(),
            data_centre: identity.data_centre.clone(),
            address,
            incarnation: identity.incarnation,
        };
        Self {
            identity,
            membership: Membership::new(settings, local, now_ms).with_contacts(contacts),
            links,
            shards: 0,
            document_offset: Offset(0),
            behind_since: None,
            listed_at_ms: 0,
            next_report_at_ms: 0,
            reported_roles: Vec::new(),
            reported_nodes: (0, 0),
            reported_live: LiveNodes::default(),
            leaving: false,
        }
    }

    fn apply_listing(&mut self, listing: &VmListing, now_ms: u64) {
        self.listed_at_ms = self.listed_at_ms.max(listing.as_of_ms);
        let routers = listing.vms.iter().filter(|vm| vm.kind == VmKind::Router);
        self.membership
            .apply_list(listing.as_of_ms, routers.map(listed_peer), now_ms);
    }

    fn report(&mut self, now_ms: u64) {
        if now_ms < self.next_report_at_ms {
            return;
        }
        self.next_report_at_ms = now_ms.saturating_add(REPORT_INTERVAL_MS);
        self.report_roles();
        self.report_nodes();
        self.report_live();
        self.report_members(now_ms);
        self.request_missing_records(now_ms);
    }

    fn report_roles(&mut self) {
        let roles: Vec<ShardRole> = (0..self.shards)
            .map(|shard| self.role(ShardIndex(shard)))
            .collect();
        if roles == self.reported_roles {
            return;
        }
        if self
            .links
            .ledger
            .try_send(LedgerMessage::Roles(roles.clone()))
            .is_ok()
        {
            self.reported_roles = roles;
        }
    }

    fn role(&self, shard: ShardIndex) -> ShardRole {
        let local_batcher = || ShardRole::Batcher {
            replica: self.membership.replica(shard),
        };
        if self.membership.is_batcher(shard) {
            return local_batcher();
        }
        let vm = self.membership.batcher(shard);
        let Some(batcher) = self.membership.target(vm) else {
            return local_batcher();
        };
        let member = self
            .membership
            .live_peers()
            .into_iter()
            .find(|member| member.vm == *vm);
        let incarnation = member.and_then(|member| member.incarnation);
        ShardRole::Member {
            batcher,
            incarnation,
        }
    }

    fn report_nodes(&mut self) {
        let mut here = 1;
        let mut all = 1;
        for member in self.membership.members() {
            if member.state != MemberState::Live {
                continue;
            }
            all += 1;
            if member.data_centre == self.identity.data_centre {
                here += 1;
            }
        }
        if self.reported_nodes != (here, all)
            && self
                .links
                .admission
                .try_send(AdmissionMessage::Nodes { here, all })
                .is_ok()
        {
            self.reported_nodes = (here, all);
        }
    }

    /// Informs the orders duty which nodes may decide the orders to this data centre's targets.
    fn report_live(&mut self) {
        let mut live = LiveNodes::default();
        if !self.leaving {
            live.here.push(self.identity.vm.clone());
        }
        for member in self.membership.members() {
            if member.state != MemberState::Live {
                continue;
            }
            live.incarnations.extend(member.incarnation);
            if member.data_centre == self.identity.data_centre {
                live.here.push(member.vm.clone());
            }
        }
        live.here.sort();
        let message = OrdersMessage::LiveNodes(live.clone());
        if self.reported_live != live && self.links.orders.try_send(message).is_ok() {
            self.reported_live = live;
        }
    }

    fn report_members(&self, now_ms: u64) {
        let mut facts = MemberFacts {
            listed_at_ms: self.listed_at_ms,
            ..MemberFacts::default()
        };
        for member in self.membership.members() {
            let listed = if member.is_destroyed() {
                toucan_ledger::ListedState::Gone
            } else {
                toucan_ledger::ListedState::Unlisted
            };
            let silent_ms = member.last_seen_age_ms(now_ms);
            facts
                .instances
                .insert(member.instance.clone(), (silent_ms, listed));
        }
        let live_peers = self.membership.live_peers();
        facts.live_peers = live_peers
            .into_iter()
            .map(toucan_wire::Member::target)
            .collect();
        let _full = self
            .links
            .ledger
            .try_send(LedgerMessage::Members(facts.clone()));
        let _full = self
            .links
            .peers
            .try_send(PeersMessage::LivePeers(facts.live_peers));
    }

    /// Requests missing document records from a node that has them, once this node has been behind
    /// for a while.
    ///
    /// A node that can read the log is behind for a few milliseconds only. Waiting until the
    /// platform counts as lost would take several times as long as an edit may take to be in force.
    fn request_missing_records(&mut self, now_ms: u64) {
        let Some(ahead) = self.membership.most_recent_after(self.document_offset) else {
            self.behind_since = None;
            return;
        };
        let to = ahead.target();
        let since = match self.behind_since {
            Some((offset, since_ms)) if offset == self.document_offset => since_ms,
            _ => {
                self.behind_since = Some((self.document_offset, now_ms));
                now_ms
            }
        };
        let is_empty = self.document_offset == Offset(0);
        if !is_empty && now_ms.saturating_sub(since) < MAX_DOCUMENT_LAG_MS {
            return;
        }
        let from = self.document_offset;
        let _full = self
            .links
            .peers
            .try_send(PeersMessage::DocumentSince { to, from });
    }

    fn fleet(&self, now_ms: u64) -> FleetView {
        let connectivity = self.membership.connectivity(now_ms);
        let members = self
            .membership
            .members()
            .into_iter()
            .map(|member| FleetMember {
                vm: member.vm.to_string(),
                instance: member.instance.to_string(),
                data_centre: member.data_centre.to_string(),
                state: state_name(member.state),
                since_ms: member.since_ms,
                incarnation: member
                    .incarnation
                    .map(|incarnation| incarnation.to_string()),
                document_offset: member.document_offset.0,
            });
        let mut members: Vec<FleetMember> = members.collect();
        members.push(FleetMember {
            vm: self.identity.vm.to_string(),
            instance: self.identity.instance.to_string(),
            data_centre: self.identity.data_centre.to_string(),
            state: "live",
            since_ms: 0,
            incarnation: Some(self.identity.incarnation.to_string()),
            document_offset: self.document_offset.0,
        });
        FleetView {
            members,
            platform_lost: connectivity.is_platform_lost,
            data_centres_lost: connectivity
                .lost
                .iter()
                .map(DataCentreName::to_string)
                .collect(),
        }
    }

    fn send_heartbeats(&mut self, now_ms: u64) {
        let due = self
            .membership
            .due_heartbeats(now_ms, LoadHint::default(), self.document_offset);
        for outgoing in due {
            let message = PeersMessage::Heartbeat {
                to: outgoing.to,
                heartbeat: Box::new(outgoing.heartbeat),
            };
            let _full = self.links.peers.try_send(message);
        }
    }
}

impl Duty for MembershipDuty {
    type Message = MembershipMessage;

    const NAME: &'static str = "membership";
    const TICK_MS: u64 = 50;

    fn handle(&mut self, message: MembershipMessage, now_ms: u64) {
        match message {
            MembershipMessage::HeartbeatRequest { heartbeat, reply } => {
                let own = self.membership.answer_heartbeat(
                    &heartbeat,
                    now_ms,
                    LoadHint::default(),
                    self.document_offset,
                );
                let _unread = reply.send(own);
            }
            MembershipMessage::HeartbeatResponse(heartbeat) => {
                self.membership.apply_heartbeat(&heartbeat, now_ms);
            }
            MembershipMessage::VmList(listing) => self.apply_listing(&listing, now_ms),
            MembershipMessage::Reached(vm) => self.membership.record_reachable(&vm, now_ms),
            MembershipMessage::Unreachable(vm) => {
                self.membership.record_unreachable(&vm, now_ms);
                self.next_report_at_ms = now_ms;
            }
            MembershipMessage::StateAnnounced {
                instance,
                incarnation,
                state,
            } => {
                self.membership
                    .record_shutdown_notice(&instance, incarnation, state);
                self.next_report_at_ms = now_ms;
            }
            MembershipMessage::Document(document, offset) => {
                if self.shards == 0 && document.budgets().len() > 0 {
                    self.shards = document.operations().ledger.shards;
                }
                self.document_offset = offset;
            }
            MembershipMessage::Drain => {
                self.membership.set_leaving();
                self.leaving = true;
            }
            MembershipMessage::Fleet(reply) => {
                let _unread = reply.send(self.fleet(now_ms));
            }
        }
    }

    fn tick(&mut self, now_ms: u64) {
        for change in self.membership.update_states(now_ms) {
            log::info!(
                "router VM {} is {}, was {}",
                change.vm,
                state_name(change.to),
                state_name(change.from)
            );
            self.next_report_at_ms = now_ms;
        }
        self.send_heartbeats(now_ms);
        self.report(now_ms);
    }

    fn dump(&self, now_ms: u64) -> serde_json::Value {
        let roles = self.reported_roles.iter().enumerate().map(|(shard, role)| {
            let batcher = match role {
                ShardRole::Batcher { .. } => self.identity.vm.to_string(),
                ShardRole::Member { batcher, .. } => batcher.identity.vm.to_string(),
            };
            json!({ "shard": shard, "gatherer": batcher })
        });
        json!({ "fleet": self.fleet(now_ms), "roles": roles.collect::<Vec<_>>() })
    }
}

fn listed_peer(vm: &ListedVm) -> ListedPeer {
    ListedPeer {
        vm: vm.vm.clone(),
        instance: vm.instance.clone(),
        data_centre: vm.data_centre.clone(),
        address: vm.address,
        state: match vm.state {
            VmState::Live => ListedState::Live,
            VmState::Leaving => ListedState::Leaving,
            VmState::Gone => ListedState::Gone,
        },
    }
}

fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Live => "live",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Gone => "gone",
    }
}
