//! Simulates a fleet: real wallets, record batchers and ledgers, one log, simulated time.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use toucan_ledger::{
    AppendOutcome, DrawPolicy, Ledger, LedgerRecord, LedgerSettings, RecordBatch, RecordBatcher,
    RecordBatcherSettings, Reservation, Wallet,
};
use toucan_types::{
    BillId, BudgetName, DocumentVersion, IncarnationId, Offset, OrganisationName, Tokens,
};

use crate::scenario::{
    DATA_CENTRES, MEAN_COST_TOKENS, NODES, NODES_PER_DATA_CENTRE, Scenario, WARM_UP_MS,
};

const STEP_MS: u64 = 20;
const FLUSH_MS: u64 = 100;
const LOG_LATENCY_MS: u64 = 40;
const HEARTBEAT_MS: u64 = 1_000;
const REQUEST_TIMEOUT_MS: u64 = 1_500;
/// Maximum cost of a request, in tokens; costs are distributed uniformly below it.
const RESERVED_TOKENS: u64 = 2 * MEAN_COST_TOKENS;

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u64,
    pub false_refusals: u64,
    /// False refusals with more than a tenth of the budget unspent.
    pub early_false_refusals: u64,
    pub true_refusals: u64,
    pub draws: u64,
    pub appends: u64,
    /// Unreserved tokens in wallets, in thousandths of the unspent tokens, averaged over time.
    pub unreserved_permille: u64,
    /// Unreserved tokens in wallets at the end, in thousandths of the unspent tokens.
    pub stranded_permille: u64,
}

struct RunningRequest {
    node: usize,
    budget: usize,
    ends_at_ms: u64,
    cost: u64,
    reservation: Reservation,
}

struct WaitingRequest {
    node: usize,
    duration_ms: u64,
    budget: usize,
    deadline_ms: u64,
    cost: u64,
}

/// Fleet of real wallets, record batchers and ledgers with one log, in simulated time.
pub struct Fleet<'a, P: DrawPolicy> {
    scenario: &'a Scenario,
    policy: P,
    names: Vec<BudgetName>,
    wallets: Vec<Wallet>,
    batchers: Vec<RecordBatcher>,
    ledgers: Vec<Ledger>,
    log: Vec<(u64, Vec<u8>)>,
    running: Vec<RunningRequest>,
    waiting: VecDeque<WaitingRequest>,
    purchased: Vec<u64>,
    spent: Vec<u64>,
    reserved: Vec<u64>,
    next_bill: u128,
    random: StdRng,
    outcome: Outcome,
    unreserved_samples: (u128, u128),
}

impl<'a, P: DrawPolicy> Fleet<'a, P> {
    pub fn new(scenario: &'a Scenario, policy: P, seed: u64) -> Self {
        let names = (0..scenario.budgets.len()).map(|index| format!("budget-{index}").into());
        let wallets = (0..NODES).map(|node| {
            let data_centre = format!("dc-{}", node / NODES_PER_DATA_CENTRE);
            let vm = format!("vm-{node}");
            let incarnation = IncarnationId(node as u64 + 1);
            Wallet::new(
                incarnation,
                vm.clone().into(),
                vm.into(),
                data_centre.into(),
            )
        });
        let batchers = (0..DATA_CENTRES).map(|index| {
            let writer = IncarnationId(1_000 + index as u64);
            RecordBatcher::new(RecordBatcherSettings::default(), writer)
        });
        let mut fleet = Self {
            scenario,
            policy,
            names: names.collect(),
            wallets: wallets.collect(),
            batchers: batchers.collect(),
            ledgers: vec![Ledger::new(LedgerSettings::default()); DATA_CENTRES],
            log: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            purchased: scenario.budgets.clone(),
            spent: vec![0; scenario.budgets.len()],
            reserved: vec![0; scenario.budgets.len()],
            next_bill: 0,
            random: StdRng::seed_from_u64(seed),
            outcome: Outcome::default(),
            unreserved_samples: (0, 0),
        };
        for budget in 0..fleet.names.len() {
            fleet.fund(budget, 1);
        }
        for wallet in &mut fleet.wallets {
            for name in &fleet.names {
                wallet.record_demand(name, Tokens(RESERVED_TOKENS), 0);
            }
        }
        fleet
    }

    fn fund(&mut self, budget: usize, version: u64) {
        let record = LedgerRecord::Fund {
            budget: self.names[budget].clone(),
            organisation: OrganisationName::from("guild"),
            version: DocumentVersion(version),
            purchased_total_tokens: Tokens(self.purchased[budget]),
        };
        self.batchers[0]
            .submit(record)
            .expect("the batcher has room");
    }

    pub fn run(mut self) -> Outcome {
        let mut now_ms = 0;
        while now_ms < self.scenario.length_ms {
            now_ms += STEP_MS;
            self.top_up(now_ms);
            self.end_requests(now_ms);
            self.generate_requests(now_ms);
            self.serve_waiting(now_ms);
            for node in 0..NODES {
                if (now_ms / STEP_MS + node as u64).is_multiple_of(FLUSH_MS / STEP_MS) {
                    self.send_records(node, now_ms);
                }
            }
            for data_centre in 0..DATA_CENTRES {
                self.append(data_centre, now_ms);
                self.read_log(data_centre, now_ms);
            }
            self.sample(now_ms);
        }
        self.finish()
    }

    fn is_partitioned(&self, data_centre: usize, now_ms: u64) -> bool {
        let partition = self.scenario.partition;
        partition.is_some_and(|(partitioned, from, until)| {
            partitioned == data_centre && (from..until).contains(&now_ms)
        })
    }

    fn top_up(&mut self, now_ms: u64) {
        if let Some((budget, at_ms, tokens)) = self.scenario.top_up
            && now_ms == at_ms
        {
            self.purchased[budget] += tokens;
            self.fund(budget, 2);
        }
    }

    fn generate_requests(&mut self, now_ms: u64) {
        for budget in 0..self.names.len() {
            for node in 0..NODES {
                let mut rate_per_s = self.scenario.rates_per_s[budget][node];
                if let Some((data_centre, factor, from, until)) = self.scenario.burst
                    && data_centre == node / NODES_PER_DATA_CENTRE
                    && (from..until).contains(&now_ms)
                {
                    rate_per_s *= factor;
                }
                let mut expected = rate_per_s * STEP_MS as f64 / 1000.0;
                while self.random.random::<f64>() < expected {
                    expected -= 1.0;
                    let cost = self.random.random_range(1..RESERVED_TOKENS);
                    let duration_ms = self.random.random_range(500..4_000);
                    self.outcome.requests += u64::from(now_ms >= WARM_UP_MS);
                    let deadline_ms = now_ms + REQUEST_TIMEOUT_MS;
                    let request = WaitingRequest {
                        duration_ms,
                        node,
                        budget,
                        deadline_ms,
                        cost,
                    };
                    if !self.admit(&request, now_ms) {
                        self.waiting.push_back(request);
                    }
                }
            }
        }
    }

    fn admit(&mut self, request: &WaitingRequest, now_ms: u64) -> bool {
        let name = &self.names[request.budget];
        let reserve = Tokens(RESERVED_TOKENS);
        let node = request.node;
        let mut reserved = self.wallets[node].reserve(name, reserve, now_ms);
        if reserved.is_err() {
            self.request_transfers(node, request.budget);
            let name = &self.names[request.budget];
            reserved = self.wallets[node].reserve(name, reserve, now_ms);
        }
        let Ok(reservation) = reserved else {
            return false;
        };
        self.reserved[request.budget] += RESERVED_TOKENS;
        let ends_at_ms = now_ms + request.duration_ms;
        let WaitingRequest {
            node, budget, cost, ..
        } = *request;
        self.running.push(RunningRequest {
            node,
            budget,
            ends_at_ms,
            cost,
            reservation,
        });
        true
    }

    fn request_transfers(&mut self, node: usize, budget: usize) {
        let name = &self.names[budget];
        let first = node / NODES_PER_DATA_CENTRE * NODES_PER_DATA_CENTRE;
        let recipient = self.wallets[node].incarnation();
        for peer in first..first + NODES_PER_DATA_CENTRE {
            let missing = RESERVED_TOKENS.saturating_sub(self.wallets[node].available(name).0);
            if peer == node || missing == 0 {
                continue;
            }
            let spare = self.wallets[peer].available(name).0 / 2;
            let asked = Tokens(missing.max(spare));
            if let Some(transfer) = self.wallets[peer].transfer(name, asked, recipient) {
                self.wallets[node].receive(&transfer);
            }
        }
    }

    fn serve_waiting(&mut self, now_ms: u64) {
        for _ in 0..self.waiting.len() {
            let Some(request) = self.waiting.pop_front() else {
                return;
            };
            if self.admit(&request, now_ms) {
                continue;
            }
            if now_ms < request.deadline_ms {
                self.waiting.push_back(request);
                continue;
            }
            if now_ms < WARM_UP_MS {
                continue;
            }
            let budget = request.budget;
            let free = self.purchased[budget] - self.spent[budget];
            if free >= self.reserved[budget] + RESERVED_TOKENS {
                self.outcome.false_refusals += 1;
                let early = free > self.purchased[budget] / 10;
                self.outcome.early_false_refusals += u64::from(early);
            } else {
                self.outcome.true_refusals += 1;
            }
        }
    }

    fn end_requests(&mut self, now_ms: u64) {
        let (ended, running): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|running| running.ends_at_ms <= now_ms);
        self.running = running;
        for run in ended {
            self.next_bill += 1;
            let id = BillId(self.next_bill);
            self.wallets[run.node].settle(run.reservation, id, Tokens(run.cost), now_ms);
            self.reserved[run.budget] -= RESERVED_TOKENS;
            self.spent[run.budget] += run.cost;
            assert!(
                self.spent[run.budget] <= self.purchased[run.budget],
                "overspend"
            );
        }
    }

    /// Resizes the grants of a node and sends its records to the data centre's batcher.
    fn send_records(&mut self, node: usize, now_ms: u64) {
        let bridge_ms = self.scenario.bridge_ms;
        for request in self.waiting.iter().filter(|request| request.node == node) {
            let name = &self.names[request.budget];
            self.wallets[node].record_demand(name, Tokens(RESERVED_TOKENS), now_ms);
        }
        let wallet = &mut self.wallets[node];
        wallet.tick(&self.policy, NODES as u32, |_| bridge_ms, now_ms);
        wallet.flush();
        let read_back = wallet.outbox().read_back_up_to();
        let records = wallet.outbox_mut().take_unsent(usize::MAX);
        let draws = records
            .iter()
            .filter(|record| matches!(record, LedgerRecord::Draw { .. }));
        self.outcome.draws += if now_ms >= WARM_UP_MS {
            draws.count() as u64
        } else {
            0
        };
        let batcher = &mut self.batchers[node / NODES_PER_DATA_CENTRE];
        let collected = batcher.collect(wallet.incarnation(), read_back, records);
        wallet
            .outbox_mut()
            .acknowledge(collected.expect("the batcher has room"));
    }

    fn append(&mut self, data_centre: usize, now_ms: u64) {
        let is_partitioned = self.is_partitioned(data_centre, now_ms);
        let Some(batch) = self.batchers[data_centre].next_batch(now_ms) else {
            return;
        };
        let outcome = if is_partitioned {
            AppendOutcome::Unknown
        } else {
            AppendOutcome::Appended
        };
        if !is_partitioned {
            self.outcome.appends += u64::from(now_ms >= WARM_UP_MS);
            self.log
                .push((now_ms, batch.encode().expect("a batch fits")));
        }
        self.batchers[data_centre].appended(batch.number, outcome, now_ms);
    }

    fn read_log(&mut self, data_centre: usize, now_ms: u64) {
        if self.is_partitioned(data_centre, now_ms) {
            return;
        }
        let first = data_centre * NODES_PER_DATA_CENTRE;
        let local = first as u64 + 1..(first + NODES_PER_DATA_CENTRE) as u64 + 1;
        let ledger = &mut self.ledgers[data_centre];
        let mut events = Vec::new();
        while let Some((at_ms, data)) = self.log.get(ledger.next_offset().0 as usize) {
            if at_ms + LOG_LATENCY_MS > now_ms {
                break;
            }
            let offset = Offset(ledger.next_offset().0);
            events.extend(
                ledger
                    .apply(offset, *at_ms, data)
                    .expect("the totals are balanced"),
            );
            let batch = RecordBatch::decode(data).expect("the batch was encoded by `append`");
            self.batchers[data_centre].read_back(&batch, ledger, now_ms);
        }
        for update in ledger.updates(&events, |holder| local.contains(&holder.0)) {
            self.wallets[update.incarnation.0 as usize - 1].update(&update, now_ms);
        }
        if now_ms.is_multiple_of(HEARTBEAT_MS) {
            for wallet in &mut self.wallets[first..first + NODES_PER_DATA_CENTRE] {
                if let Some(update) = ledger.update(wallet.incarnation(), &self.names) {
                    wallet.update(&update, now_ms);
                }
            }
        }
    }

    fn unreserved_tokens(&self) -> u64 {
        let wallets = self.wallets.iter().flat_map(Wallet::holdings);
        wallets.map(|(_, available, _)| available.0).sum()
    }

    fn unspent_tokens(&self) -> u64 {
        self.purchased.iter().sum::<u64>() - self.spent.iter().sum::<u64>()
    }

    fn sample(&mut self, now_ms: u64) {
        if now_ms >= WARM_UP_MS && now_ms.is_multiple_of(1_000) {
            self.unreserved_samples.0 += u128::from(self.unreserved_tokens());
            self.unreserved_samples.1 += u128::from(self.unspent_tokens());
        }
    }

    fn finish(mut self) -> Outcome {
        let (unreserved_tokens, unspent) = self.unreserved_samples;
        self.outcome.unreserved_permille = (unreserved_tokens * 1000 / unspent.max(1)) as u64;
        self.outcome.stranded_permille =
            self.unreserved_tokens() * 1000 / self.unspent_tokens().max(1);
        self.outcome
    }
}
