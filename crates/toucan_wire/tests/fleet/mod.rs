//! Simulated fleet of memberships; heartbeats arrive within one step.

#![allow(dead_code, reason = "each test uses a part of this module")]
#![allow(
    clippy::unwrap_used,
    reason = "clippy does not recognise this as part of a test"
)]

use std::collections::BTreeMap;

use toucan_types::{IncarnationId, Offset, VmName};
use toucan_wire::{
    Heartbeat, Introduction, ListedPeer, ListedState, LoadHint, Membership, MembershipSettings,
    NEWEST_FRAME_VERSION, Request, encode_request,
};

/// Step of the simulation, in milliseconds.
pub const STEP_MS: u64 = 250;

const LOAD: LoadHint = LoadHint {
    running: 120,
    waiting: 30,
};

pub struct Node {
    pub local: Introduction,
    pub membership: Membership,
    pub is_running: bool,
    /// Size of all frames in both directions, in bytes.
    pub frame_bytes: u64,
    /// Heartbeat exchanges started by either side.
    pub exchanges: u64,
}

impl Node {
    fn record_exchange(&mut self, size_bytes: u64) {
        self.exchanges += 1;
        self.frame_bytes += size_bytes;
    }
}

fn heartbeat_bytes(heartbeat: &Heartbeat) -> u64 {
    let request = Request::Heartbeat(Box::new(heartbeat.clone()));
    encode_request(&request, NEWEST_FRAME_VERSION)
        .unwrap()
        .len() as u64
}

pub struct Fleet {
    pub nodes: BTreeMap<VmName, Node>,
    pub now_ms: u64,
    /// Data centres that are cut off from all others.
    pub cut_off: Vec<usize>,
    pub document_offset: Offset,
}

pub fn introduction(data_centre: usize, vm: usize) -> Introduction {
    let number = u16::try_from(data_centre * 1_000 + vm).unwrap();
    Introduction {
        vm: format!("vm-{data_centre}-{vm}").into(),
        instance: format!("i-{data_centre:02x}{vm:06x}").into(),
        data_centre: format!("dc-{data_centre}").into(),
        address: ([10, 0, 0, 1], 10_000 + number).into(),
        incarnation: IncarnationId(u64::from(number) | 0x9e37_79b9_0000_0000),
    }
}

pub fn listed(peer: &Introduction, state: ListedState) -> ListedPeer {
    ListedPeer {
        vm: peer.vm.clone(),
        instance: peer.instance.clone(),
        data_centre: peer.data_centre.clone(),
        address: peer.address,
        state,
    }
}

impl Fleet {
    /// Creates data centres of the given sizes; each node knows the platform's list.
    pub fn new(sizes: &[usize]) -> Self {
        let mut fleet = Self {
            nodes: BTreeMap::new(),
            now_ms: 0,
            cut_off: Vec::new(),
            document_offset: Offset(0),
        };
        for (data_centre, size) in sizes.iter().enumerate() {
            for vm in 0..*size {
                fleet.start(introduction(data_centre, vm));
            }
        }
        fleet.apply_lists();
        fleet
    }

    pub fn start(&mut self, local: Introduction) {
        let settings = MembershipSettings::default();
        let node = Node {
            membership: Membership::new(settings, local.clone(), self.now_ms),
            is_running: true,
            frame_bytes: 0,
            exchanges: 0,
            local: local.clone(),
        };
        self.nodes.insert(local.vm, node);
    }

    /// Applies the platform's list, in which all VMs are live, to all nodes.
    pub fn apply_lists(&mut self) {
        let all: Vec<ListedPeer> = self
            .nodes
            .values()
            .map(|node| listed(&node.local, ListedState::Live))
            .collect();
        let now_ms = self.now_ms;
        for node in self.nodes.values_mut() {
            node.membership.apply_list(now_ms, all.clone(), now_ms);
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let mut sent = Vec::new();
        for node in self.nodes.values_mut().filter(|node| node.is_running) {
            for outgoing in node
                .membership
                .due_heartbeats(now_ms, LOAD, self.document_offset)
            {
                sent.push((node.local.clone(), outgoing.to, outgoing.heartbeat));
            }
        }
        for (from, to, heartbeat) in sent {
            let is_crossing = from.data_centre != to.identity.data_centre;
            let is_cut_off = |name: &str| {
                self.cut_off
                    .iter()
                    .any(|data_centre| name == format!("dc-{data_centre}"))
            };
            let is_lost = is_crossing
                && (is_cut_off(from.data_centre.as_str())
                    || is_cut_off(to.identity.data_centre.as_str()));
            let size_bytes = heartbeat_bytes(&heartbeat);
            self.node(&from.vm).record_exchange(size_bytes);
            let document_offset = self.document_offset;
            let answer = self
                .nodes
                .get_mut(&to.identity.vm)
                .filter(|node| node.is_running && !is_lost)
                .map(|node| {
                    let membership = &mut node.membership;
                    let answer =
                        membership.answer_heartbeat(&heartbeat, now_ms, LOAD, document_offset);
                    node.record_exchange(size_bytes + heartbeat_bytes(&answer));
                    answer
                });
            let sender = self.node(&from.vm);
            match answer {
                Some(answer) => {
                    sender.frame_bytes += heartbeat_bytes(&answer);
                    sender.membership.apply_heartbeat(&answer, now_ms);
                }
                None => sender
                    .membership
                    .record_unreachable(&to.identity.vm, now_ms),
            }
        }
    }

    pub fn node(&mut self, vm: &VmName) -> &mut Node {
        self.nodes.get_mut(vm).unwrap()
    }

    pub fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.is_running)
    }
}
