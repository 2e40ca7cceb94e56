//! A fleet in memory: nodes, gatherers, a log that loses answers, callers that retry.

mod holders;
mod log;
mod op;
mod requests;
mod rules;
mod seen;
mod state;

use crate::support::{budget, fund};
use std::collections::BTreeMap;
use toucan_ledger::{
    Ledger, LedgerSettings, RecordBatch, RecordBatcher, RecordBatcherSettings, Wallet,
};
use toucan_types::{IncarnationId, Offset, Tokens};

pub use op::{Fate, Op};
pub use rules::{BillTries, FundsElsewhere, ReleaseOnTimer, Rules, Sound, TrustAnswers};
pub use seen::Seen;
pub use state::World;
use state::{Node, Request};

const START_TOTAL: u64 = 1_000;
const START_GRANT: u64 = 120;
const MAX_NODES: usize = 9;
const RESERVE_FACTOR: u64 = 2;

impl<R: Rules> World<R> {
    pub fn new() -> Self {
        let mut world = Self {
            rules: R::default(),
            nodes: Vec::new(),
            log: Vec::new(),
            first_offset: 0,
            funds: Vec::new(),
            requests: Vec::new(),
            flying: Vec::new(),
            now_ms: 1_000_000,
            version: 1,
            greatest_total: START_TOTAL,
            digests: BTreeMap::new(),
            truth: Ledger::new(LedgerSettings::default()),
            seen: Seen::default(),
        };
        let batch = RecordBatch {
            writer: IncarnationId(u64::MAX),
            number: 0,
            records: vec![fund(1, START_TOTAL)],
        };
        world.log.push((batch.encode().unwrap(), world.now_ms));
        for (instance, data_centre) in [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1)] {
            world.start(instance, data_centre, None);
        }
        for index in 0..world.nodes.len() {
            world.pump(index);
        }
        for index in 0..world.nodes.len() {
            world.choose_holder(index, index + 1);
            let now_ms = world.now_ms;
            world.nodes[index]
                .wallet
                .draw(&budget(), Tokens(START_GRANT), now_ms);
            world.pump(index);
        }
        world
    }

    pub(super) fn pump(&mut self, index: usize) {
        self.send(index, false);
        let holder = self.nodes[index].holder;
        if self.nodes[holder].alive {
            self.now_ms += 30;
            self.append(holder, Fate::Answered);
            self.read(holder, false);
        }
    }

    pub(super) fn start(&mut self, instance: u64, data_centre: u64, old: Option<Wallet>) {
        let incarnation = IncarnationId(self.nodes.len() as u64 + 1);
        let name = format!("i-{instance}");
        let centre = format!("dc-{data_centre}");
        let mut wallet = Wallet::new(incarnation, name.clone().into(), name.into(), centre.into());
        if let Some(old) = old {
            wallet = wallet.in_process_of(old.incarnation());
        }
        let settings = RecordBatcherSettings {
            append_interval_ms: 0,
            unknown_wait_ms: 30,
            reappend_after_ms: 60,
            refused_wait_ms: 0,
            ..RecordBatcherSettings::default()
        };
        let index = self.nodes.len();
        self.seen.snapshots_loaded += u64::from(self.first_offset > 0);
        self.nodes.push(Node {
            alive: true,
            destroyed: false,
            instance,
            data_centre,
            wallet,
            ledger: self.load(),
            read_funds: 0,
            batcher: RecordBatcher::new(settings, incarnation),
            holder: index,
            runs: Vec::new(),
            ending: Vec::new(),
            transfers: Vec::new(),
        });
        self.choose_holder(index, index + 1);
    }

    pub(super) fn index(&self, node: usize) -> usize {
        node % self.nodes.len()
    }

    pub(super) fn living(&self, node: usize) -> Option<usize> {
        let index = self.index(node);
        self.nodes[index].alive.then_some(index)
    }

    pub fn step(&mut self, op: Op) {
        self.now_ms += 1;
        match op {
            Op::Request { node, cost } => {
                let Some(index) = self.living(node) else {
                    return;
                };
                let request = self.requests.len();
                self.requests.push(Request {
                    cost,
                    ..Request::default()
                });
                self.run(index, request);
            }
            Op::Finish { node, which } => {
                if let Some(index) = self.living(node) {
                    self.finish(index, which);
                }
            }
            Op::Retry { request, node } => {
                let Some(index) = self.living(node) else {
                    return;
                };
                if !self.requests.is_empty() {
                    self.run(index, request % self.requests.len());
                }
            }
            Op::Send { node, answer_lost } => {
                if let Some(index) = self.living(node) {
                    self.send(index, answer_lost);
                }
            }
            Op::MoveHolder { node, holder } => {
                if let Some(index) = self.living(node) {
                    let holder = self.index(holder);
                    self.choose_holder(index, holder);
                }
            }
            Op::Append { node, fate } => {
                if let Some(index) = self.living(node) {
                    self.append(index, fate);
                }
            }
            Op::Read { node, updates_lost } => {
                if let Some(index) = self.living(node) {
                    self.read(index, updates_lost);
                }
            }
            Op::Give { from, to, tokens } => self.give(from, to, tokens),
            Op::Deliver { which, keep } => self.deliver(which, keep),
            Op::Crash { node, destroyed } => self.crash(node, destroyed),
            Op::Fence { by, target } => self.fence(by, target),
            Op::Release { by, target } => self.release(by, target),
            Op::Fund { by, total } => self.top_up(by, total),
            Op::Snapshot { by } => self.snapshot(by),
            Op::Expire => self.expire(),
            Op::Pump { node } => {
                if let Some(index) = self.living(node) {
                    self.pump(index);
                }
            }
            Op::Wait { ms } => self.now_ms += ms,
        }
    }

    /// Lets every fault end: requests finish, records reach the log, the dead are released.
    pub fn settle(&mut self) {
        for round in 0..8 {
            for index in 0..self.nodes.len() {
                if !self.nodes[index].alive {
                    continue;
                }
                while !self.nodes[index].runs.is_empty() {
                    self.finish(index, 0);
                }
                if !self.nodes[self.nodes[index].holder].alive {
                    self.choose_holder(index, index + 1);
                }
                self.send(index, false);
                for target in 0..self.nodes.len() {
                    if !self.nodes[target].alive && round > 1 {
                        self.release(index, target);
                    }
                }
            }
            for index in 0..self.nodes.len() {
                self.now_ms += 100;
                if self.nodes[index].alive {
                    self.append(index, Fate::Answered);
                    self.read(index, false);
                }
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].alive {
                    self.read(index, false);
                    self.push_updates(index, &[], false);
                }
            }
        }
        for (offset, (data, at_ms)) in (0..).zip(&self.log) {
            let events = self.truth.apply(Offset(offset), *at_ms, data);
            let events = events.expect("the terms add up");
            events.iter().for_each(|event| self.seen.event(event));
        }
    }

    /// Checks what must hold whatever happened; the rest of the checks run at each step.
    pub fn check(&mut self) {
        let account = self.truth.account(&budget()).unwrap();
        let delivered = self.requests.iter().enumerate();
        let delivered = delivered.filter(|(_, request)| !request.delivered_by.is_empty());
        let mut consumed = 0;
        let mut billed = 0;
        for (index, request) in delivered {
            consumed += request.cost;
            self.seen.delivered += 1;
            if self.truth.is_billed(self.id_of_any_try(index)) {
                billed += request.cost;
                continue;
            }
            // Both VMs that knew the bill were lost before the log had it.
            let lost = request
                .delivered_by
                .iter()
                .all(|node| !self.nodes[*node].alive);
            assert!(
                lost,
                "request {index} was answered in full and never billed"
            );
            self.seen.unbilled_by_double_loss += 1;
        }
        let undelivered = self.requests.iter().enumerate();
        let undelivered = undelivered.filter(|(index, request)| {
            request.delivered_by.is_empty() && self.truth.is_billed(self.id_of_any_try(*index))
        });
        let undelivered: u64 = undelivered.map(|(_, request)| request.cost).sum();
        assert!(consumed <= self.greatest_total, "overspent: {consumed}");
        assert!(
            account.spent_tokens.0 <= billed + undelivered,
            "billed twice: {} for {billed} and {undelivered}",
            account.spent_tokens,
        );
        assert_eq!(
            account.spent_tokens.0,
            billed + undelivered,
            "a bill is short"
        );
        let live = self.nodes.iter().filter(|node| node.alive);
        for node in live {
            let incarnation = node.wallet.incarnation();
            let held = node.wallet.available(&budget()).0 + node.wallet.reserved(&budget()).0;
            let folded = self.truth.holdings_of(incarnation).0;
            assert!(
                held <= folded,
                "more at hand than granted: {held} of {folded}"
            );
            self.seen.closed_wallets += u64::from(node.wallet.is_closed());
            let lost = !node.wallet.is_closed() && held < folded;
            assert!(!lost, "less at hand than granted: {held} of {folded}");
        }
    }

    pub fn seen(&self) -> Seen {
        self.seen
    }
}
