//! A simulated fleet of gateways with the decisions of the real ones, before one target with a limit.

use std::{cmp::Reverse, collections::BinaryHeap, net::SocketAddrV4};

use rand::{Rng, SeedableRng, rngs::StdRng};
use toucan_gateway::{
    limits::{CallRate, PermitGrant, PermitGranter, PermitRequest, PermitStep, Permits},
    peers::{GatewayLocation, MemberEntry, Members},
};
use toucan_types::{DataCentreName, TargetName, VmName};

/// Length of a history.
pub const LENGTH_MS: u64 = 30_000;
/// Time from the start of the gateways to the first call.
const WARM_UP_MS: u64 = 10_000;
/// Longest time that a datagram takes, and one datagram in how many is lost.
const MAX_DATAGRAM_MS: u64 = 20;
const DATAGRAMS_PER_LOSS: u32 = 100;
/// Longest time in which a gateway learns of a registration or its end.
const MAX_REGISTRATION_MS: u64 = 500;
/// Time for which a call waits for permits.
const MAX_WAIT_MS: u64 = 150;

/// What happens in a history.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub limit_per_s: f64,
    /// Calls per second of the whole fleet that want the target.
    pub calls_per_s: f64,
    /// Number of gateways that get the calls.
    pub busy_gateways: usize,
    /// What happens to gateways.
    pub trouble: Trouble,
}

/// What happens to gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Every few seconds one process ends and another one starts on its VM.
    Restarts,
    /// VMs are added, and others end for good.
    Replacements,
    /// A part of the fleet is cut off from the rest for some seconds.
    Cuts,
    /// Gateways are suspended for some seconds.
    Freezes,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Heartbeat(usize, u64),
    Call,
    Step(usize),
    Query {
        from: usize,
        to: usize,
        request: u64,
        permits: u32,
    },
    Answer {
        to: usize,
        request: u64,
        permits: u32,
        return_ms: u64,
    },
    Registered {
        at: usize,
        vm: usize,
        start: u64,
    },
    Trouble,
    Heal,
    Thaw(usize),
}

struct Gateway {
    members: Members,
    permits: Permits,
    granter: PermitGranter,
    /// Number of the process's start; [`None`] while there is none.
    start: Option<u64>,
    cut_group: usize,
    frozen_until_ms: u64,
}

/// A call that waits for permits.
#[derive(Clone, Copy)]
struct WaitingCall {
    gateway: usize,
    start: u64,
    arrived_ms: u64,
    is_over: bool,
}

/// Gateways and the calls that they send.
pub struct Fleet {
    plan: Plan,
    random: StdRng,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    gateways: Vec<Gateway>,
    calls: Vec<WaitingCall>,
    /// When calls reached the target.
    sent_ms: Vec<u64>,
}

fn location(at: usize) -> GatewayLocation {
    GatewayLocation {
        vm: VmName::from(format!("vm-{at}")),
        data_centre: DataCentreName::from("a"),
    }
}

fn entry(start: u64) -> MemberEntry {
    MemberEntry {
        start,
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        key: [0; 32],
        data_centre: DataCentreName::from("a"),
    }
}

impl Fleet {
    /// Creates a fleet whose calls and troubles follow from a seed.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut fleet = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            gateways: Vec::new(),
            calls: Vec::new(),
            sent_ms: Vec::new(),
        };
        for at in 0..plan.gateways {
            fleet.gateways.push(fleet.started_gateway(1, at));
            fleet.push(
                fleet.interval_ms() * at as u64 / plan.gateways as u64,
                Event::Heartbeat(at, 1),
            );
        }
        fleet.push(WARM_UP_MS, Event::Call);
        if plan.trouble != Trouble::None {
            fleet.push(WARM_UP_MS, Event::Trouble);
        }
        fleet
    }

    /// Returns a process that has read the registrations of all live gateways.
    fn started_gateway(&self, start: u64, at: usize) -> Gateway {
        let mut members = Members::default();
        for other in (0..self.plan.gateways.max(self.gateways.len())).filter(|other| *other != at) {
            let other_start = self
                .gateways
                .get(other)
                .map_or(Some(1), |gateway| gateway.start);
            if let Some(other_start) = other_start {
                members.register(location(other).vm, entry(other_start), self.now_ms);
            }
        }
        Gateway {
            members,
            permits: Permits::default(),
            granter: PermitGranter::default(),
            start: Some(start),
            cut_group: 0,
            frozen_until_ms: 0,
        }
    }

    /// Plays the history and returns when calls reached the target.
    pub fn run(mut self) -> Vec<u64> {
        while let Some(Reverse((at_ms, _sequence, event))) = self.queue.pop() {
            if at_ms > LENGTH_MS {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.sent_ms
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at_ms, self.sequence, event)));
    }

    fn interval_ms(&self) -> u64 {
        (10 * self.plan.gateways as u64).max(250)
    }

    fn is_running(&self, at: usize) -> bool {
        let gateway = &self.gateways[at];
        gateway.start.is_some() && self.now_ms >= gateway.frozen_until_ms
    }

    /// Returns when a datagram arrives; [`None`] if it is lost.
    fn datagram_ms(&mut self, from: usize, to: usize) -> Option<u64> {
        let is_cut = self.gateways[from].cut_group != self.gateways[to].cut_group;
        let is_lost = self.random.random_ratio(1, DATAGRAMS_PER_LOSS);
        let delay_ms = self.random.random_range(1..=MAX_DATAGRAM_MS);
        (!is_cut && !is_lost).then_some(self.now_ms + delay_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Heartbeat(at, start) => self.heartbeat(at, start),
            Event::Call => self.call(),
            Event::Step(call) => self.step(call),
            Event::Query {
                from,
                to,
                request,
                permits,
            } => {
                if self.hears(to, from) {
                    let grant = self.grant(to, permits);
                    self.answer(to, from, request, grant);
                }
            }
            Event::Answer {
                to,
                request,
                permits,
                return_ms,
            } => {
                if self.is_running(to) {
                    let grant = PermitGrant { permits, return_ms };
                    let id = toucan_gateway::limits::PermitRequestId(request);
                    self.gateways[to].permits.accept(id, grant, self.now_ms);
                    self.wake_calls(to);
                }
            }
            Event::Registered { at, vm, start } => {
                if self.gateways[at].start.is_some() && at != vm {
                    let members = &mut self.gateways[at].members;
                    members.register(location(vm).vm, entry(start), self.now_ms);
                }
            }
            Event::Trouble => self.trouble(),
            Event::Heal => {
                for gateway in &mut self.gateways {
                    gateway.cut_group = 0;
                }
            }
            Event::Thaw(at) => {
                let calls = 0..self.calls.len();
                for call in calls
                    .filter(|call| self.calls[*call].gateway == at)
                    .collect::<Vec<_>>()
                {
                    self.step(call);
                }
            }
        }
    }

    /// Returns whether a gateway gets a datagram of another one that it knows, and notes that it lives.
    fn hears(&mut self, at: usize, from: usize) -> bool {
        let start = self.gateways[from].start;
        if !self.is_running(at) || start.is_none() {
            return false;
        }
        let member = self.gateways[at].members.get_mut(&location(from).vm);
        let Some(member) = member else {
            return false;
        };
        member.last_seen_ms = self.now_ms;
        true
    }

    fn heartbeat(&mut self, at: usize, start: u64) {
        if self.gateways[at].start != Some(start) {
            return;
        }
        self.push(
            self.now_ms + self.interval_ms(),
            Event::Heartbeat(at, start),
        );
        if !self.is_running(at) {
            return;
        }
        self.gateways[at].members.observe(self.now_ms);
        for to in 0..self.gateways.len() {
            if to != at && self.datagram_ms(at, to).is_some() {
                self.hears(to, at);
            }
        }
    }

    fn call(&mut self) {
        let gap_ms =
            -self.random.random_range(1e-9..1.0_f64).ln() * 1_000.0 / self.plan.calls_per_s;
        self.push(self.now_ms + gap_ms as u64, Event::Call);
        let gateway = self.random.random_range(0..self.plan.busy_gateways);
        if !self.is_running(gateway) {
            return;
        }
        self.calls.push(WaitingCall {
            gateway,
            start: self.gateways[gateway].start.unwrap_or_default(),
            arrived_ms: self.now_ms,
            is_over: false,
        });
        self.step(self.calls.len() - 1);
    }

    fn step(&mut self, call: usize) {
        let WaitingCall {
            gateway: at,
            start,
            arrived_ms,
            is_over,
        } = self.calls[call];
        if is_over || !self.is_running(at) || self.gateways[at].start != Some(start) {
            return;
        }
        let left_ms = (arrived_ms + MAX_WAIT_MS).saturating_sub(self.now_ms);
        match self.gateways[at].permits.next_step(left_ms, self.now_ms) {
            PermitStep::Send => {
                self.calls[call].is_over = true;
                self.sent_ms.push(self.now_ms);
            }
            PermitStep::Denied => self.calls[call].is_over = true,
            PermitStep::Wait { wait_ms } => {
                self.push(self.now_ms + wait_ms.max(1), Event::Step(call));
            }
            PermitStep::Ask { request, wait_ms } => {
                self.push(self.now_ms + wait_ms.max(1), Event::Step(call));
                self.ask(at, request);
            }
        }
    }

    fn ask(&mut self, at: usize, request: PermitRequest) {
        let target = TargetName::from("t");
        let members = &self.gateways[at].members;
        let mut granters = members.permit_granters(&target, &location(at), self.now_ms);
        if !request.is_repeated {
            granters.truncate(1);
        }
        for vm in granters {
            let to = (0..self.gateways.len()).find(|to| location(*to).vm == vm);
            let to = to.expect("the gateway exists");
            if to == at {
                let grant = self.grant(at, request.permits);
                self.gateways[at]
                    .permits
                    .accept(request.id, grant, self.now_ms);
                self.wake_calls(at);
            } else if let Some(at_ms) = self.datagram_ms(at, to) {
                let query = Event::Query {
                    from: at,
                    to,
                    request: request.id.0,
                    permits: request.permits,
                };
                self.push(at_ms, query);
            }
        }
    }

    fn grant(&mut self, at: usize, permits: u32) -> PermitGrant {
        let target = TargetName::from("t");
        let limit = CallRate::from_per_s(self.plan.limit_per_s).expect("the limit is a number");
        let gateway = &mut self.gateways[at];
        let share = gateway
            .members
            .permit_share(&target, &location(at), self.now_ms);
        gateway
            .granter
            .grant(&target, limit, share, permits, self.now_ms)
    }

    fn answer(&mut self, from: usize, to: usize, request: u64, grant: PermitGrant) {
        if let Some(at_ms) = self.datagram_ms(from, to) {
            let answer = Event::Answer {
                to,
                request,
                permits: grant.permits,
                return_ms: grant.return_ms,
            };
            self.push(at_ms, answer);
        }
    }

    fn wake_calls(&mut self, at: usize) {
        let first = self
            .calls
            .partition_point(|call| call.arrived_ms + MAX_WAIT_MS < self.now_ms);
        for call in first..self.calls.len() {
            if self.calls[call].gateway == at && !self.calls[call].is_over {
                self.push(self.now_ms, Event::Step(call));
            }
        }
    }

    fn trouble(&mut self) {
        let pause_ms = self.random.random_range(1_000..6_000);
        self.push(self.now_ms + pause_ms, Event::Trouble);
        let at = self.random.random_range(0..self.gateways.len());
        match self.plan.trouble {
            Trouble::None => {}
            Trouble::Restarts => self.restart(at),
            Trouble::Replacements => {
                self.gateways[at].start = None;
                let added = self.gateways.len();
                let gateway = self.started_gateway(1, added);
                self.gateways.push(gateway);
                self.register(added, 1);
            }
            Trouble::Cuts => {
                let groups = self.random.random_range(2..=3);
                for gateway in &mut self.gateways {
                    gateway.cut_group = self.random.random_range(0..groups);
                }
                let cut_ms = self.random.random_range(500..12_000);
                self.push(self.now_ms + cut_ms, Event::Heal);
            }
            Trouble::Freezes => {
                let freeze_ms = self.random.random_range(500..12_000);
                self.gateways[at].frozen_until_ms = self.now_ms + freeze_ms;
                self.push(self.now_ms + freeze_ms, Event::Thaw(at));
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let start = self.gateways[at].start.unwrap_or_default() + 1;
        self.gateways[at] = self.started_gateway(start, at);
        self.register(at, start);
    }

    /// Registers a process that has started; the others learn of it at different times.
    fn register(&mut self, vm: usize, start: u64) {
        self.push(self.now_ms + 1, Event::Heartbeat(vm, start));
        for at in 0..self.gateways.len() {
            let delay_ms = self.random.random_range(1..=MAX_REGISTRATION_MS);
            self.push(self.now_ms + delay_ms, Event::Registered { at, vm, start });
        }
    }
}
