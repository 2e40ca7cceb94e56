//! Simulated fleet: nodes, batchers, a log that loses responses, and callers that retry.

mod coverage;
mod holders;
mod log;
mod op;
mod requests;
mod rules;
mod state;

use crate::support::{budget, fund};
use std::collections::BTreeMap;
use toucan_ledger::{
    Ledger, LedgerSettings, RecordBatch, RecordBatcher, RecordBatcherSettings, Wallet,
};
use toucan_types::{IncarnationId, Offset, Tokens};

pub use coverage::Coverage;
pub use op::{AppendResult, Op};
pub use rules::{
    BillEachAttempt, FundsInOtherStream, ProductRules, ReleaseOnTimer, Rules, TrustAppendResponses,
};
pub use state::Simulation;
use state::{Node, Request};

const INITIAL_TOTAL: u64 = 1_000;
const INITIAL_GRANT: u64 = 120;
const MAX_NODES: usize = 9;
const RESERVE_FACTOR: u64 = 2;

impl<R: Rules> Simulation<R> {
    pub fn new() -> Self {
        let mut simulation = Self {
            rules: R::default(),
            nodes: Vec::new(),
            log: Vec::new(),
            first_offset: 0,
            funds: Vec::new(),
            requests: Vec::new(),
            sent_transfers: Vec::new(),
            now_ms: 1_000_000,
            version: 1,
            max_total: INITIAL_TOTAL,
            digests: BTreeMap::new(),
            reference: Ledger::new(LedgerSettings::default()),
            coverage: Coverage::default(),
        };
        let batch = RecordBatch {
            writer: IncarnationId(u64::MAX),
            number: 0,
            records: vec![fund(1, INITIAL_TOTAL)],
        };
        simulation
            .log
            .push((batch.encode().unwrap(), simulation.now_ms));
        for (instance, data_centre) in [(0, 0), (1, 0), (2, 0), (3, 1), (4, 1)] {
            simulation.start(instance, data_centre, None);
        }
        for index in 0..simulation.nodes.len() {
            simulation.sync(index);
        }
        for index in 0..simulation.nodes.len() {
            simulation.choose_holder(index, index + 1);
            let now_ms = simulation.now_ms;
            simulation.nodes[index]
                .wallet
                .draw(&budget(), Tokens(INITIAL_GRANT), now_ms);
            simulation.sync(index);
        }
        simulation
    }

    pub(super) fn sync(&mut self, index: usize) {
        self.send(index, false);
        let holder = self.nodes[index].holder;
        if self.nodes[holder].running {
            self.now_ms += 30;
            self.append(holder, AppendResult::Appended);
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
        self.coverage.snapshots_loaded += u64::from(self.first_offset > 0);
        self.nodes.push(Node {
            running: true,
            destroyed: false,
            instance,
            data_centre,
            wallet,
            ledger: self.load(),
            applied_funds: 0,
            batcher: RecordBatcher::new(settings, incarnation),
            holder: index,
            runs: Vec::new(),
            awaiting_durability: Vec::new(),
            unsent_transfers: Vec::new(),
        });
        self.choose_holder(index, index + 1);
    }

    pub(super) fn index(&self, node: usize) -> usize {
        node % self.nodes.len()
    }

    pub(super) fn running_node(&self, node: usize) -> Option<usize> {
        let index = self.index(node);
        self.nodes[index].running.then_some(index)
    }

    pub fn step(&mut self, op: Op) {
        self.now_ms += 1;
        match op {
            Op::Request { node, cost } => {
                let Some(index) = self.running_node(node) else {
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
                if let Some(index) = self.running_node(node) {
                    self.finish(index, which);
                }
            }
            Op::Retry { request, node } => {
                let Some(index) = self.running_node(node) else {
                    return;
                };
                if !self.requests.is_empty() {
                    self.run(index, request % self.requests.len());
                }
            }
            Op::Send {
                node,
                response_lost,
            } => {
                if let Some(index) = self.running_node(node) {
                    self.send(index, response_lost);
                }
            }
            Op::ChangeHolder { node, holder } => {
                if let Some(index) = self.running_node(node) {
                    let holder = self.index(holder);
                    self.choose_holder(index, holder);
                }
            }
            Op::Append { node, result } => {
                if let Some(index) = self.running_node(node) {
                    self.append(index, result);
                }
            }
            Op::Read { node, updates_lost } => {
                if let Some(index) = self.running_node(node) {
                    self.read(index, updates_lost);
                }
            }
            Op::Transfer { from, to, tokens } => self.transfer(from, to, tokens),
            Op::DeliverTransfer { which, keep } => self.deliver_transfer(which, keep),
            Op::Crash { node, destroyed } => self.crash(node, destroyed),
            Op::Fence { by, target } => self.fence(by, target),
            Op::Release { by, target } => self.release(by, target),
            Op::Fund { by, total } => self.fund_budget(by, total),
            Op::Snapshot { by } => self.snapshot(by),
            Op::Expire => self.expire(),
            Op::Sync { node } => {
                if let Some(index) = self.running_node(node) {
                    self.sync(index);
                }
            }
            Op::Wait { ms } => self.now_ms += ms,
        }
    }

    /// Ends all faults: requests finish, records reach the log, crashed nodes are released.
    pub fn settle(&mut self) {
        for round in 0..8 {
            for index in 0..self.nodes.len() {
                if !self.nodes[index].running {
                    continue;
                }
                while !self.nodes[index].runs.is_empty() {
                    self.finish(index, 0);
                }
                if !self.nodes[self.nodes[index].holder].running {
                    self.choose_holder(index, index + 1);
                }
                self.send(index, false);
                for target in 0..self.nodes.len() {
                    if !self.nodes[target].running && round > 1 {
                        self.release(index, target);
                    }
                }
            }
            for index in 0..self.nodes.len() {
                self.now_ms += 100;
                if self.nodes[index].running {
                    self.append(index, AppendResult::Appended);
                    self.read(index, false);
                }
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].running {
                    self.read(index, false);
                    self.push_updates(index, &[], false);
                }
            }
        }
        for (offset, (data, at_ms)) in (0..).zip(&self.log) {
            let events = self.reference.apply(Offset(offset), *at_ms, data);
            let events = events.expect("the totals add up");
            events.iter().for_each(|event| self.coverage.event(event));
        }
    }

    /// Checks the invariants of a settled fleet; other checks run at each step.
    pub fn check(&mut self) {
        let account = self.reference.account(&budget()).unwrap();
        let delivered = self.requests.iter().enumerate();
        let delivered = delivered.filter(|(_, request)| !request.delivered_by.is_empty());
        let mut consumed = 0;
        let mut billed = 0;
        for (index, request) in delivered {
            consumed += request.cost;
            self.coverage.delivered += 1;
            if self.reference.is_billed(self.id_of_last_attempt(index)) {
                billed += request.cost;
                continue;
            }
            // Both VMs that knew the bill were lost before it reached the log.
            let lost = request
                .delivered_by
                .iter()
                .all(|node| !self.nodes[*node].running);
            assert!(
                lost,
                "request {index} received a complete response and was never billed"
            );
            self.coverage.unbilled_after_two_losses += 1;
        }
        let undelivered = self.requests.iter().enumerate();
        let undelivered = undelivered.filter(|(index, request)| {
            request.delivered_by.is_empty()
                && self.reference.is_billed(self.id_of_last_attempt(*index))
        });
        let undelivered: u64 = undelivered.map(|(_, request)| request.cost).sum();
        assert!(consumed <= self.max_total, "overspent: {consumed}");
        assert!(
            account.spent_tokens.0 <= billed + undelivered,
            "billed twice: {} for {billed} and {undelivered}",
            account.spent_tokens,
        );
        assert_eq!(
            account.spent_tokens.0,
            billed + undelivered,
            "a bill is missing or too low"
        );
        let live = self.nodes.iter().filter(|node| node.running);
        for node in live {
            let incarnation = node.wallet.incarnation();
            let held = node.wallet.available(&budget()).0 + node.wallet.reserved(&budget()).0;
            let granted = self.reference.holdings_of(incarnation).0;
            assert!(
                held <= granted,
                "wallet holds more than granted: {held} of {granted}"
            );
            self.coverage.closed_wallets += u64::from(node.wallet.is_closed());
            let lost = !node.wallet.is_closed() && held < granted;
            assert!(!lost, "wallet holds less than granted: {held} of {granted}");
        }
    }

    pub fn coverage(&self) -> Coverage {
        self.coverage
    }
}
