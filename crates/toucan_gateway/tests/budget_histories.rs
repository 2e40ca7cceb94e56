//! Property tests of processes that draw from one budget through an unreliable log.
//!
//! In the generated histories, answers are lost, appends are lost or delayed, loans are lost,
//! transfers are lost, repeated or delayed, processes are holders by turns, processes crash, and the
//! log comes back from older copies. The tokens spent must never exceed the prepaid total.
//!
//! A restore loses no record that only a crashed process knew: each lost record was written or read by
//! a process that lives on until it has written it again. What nobody knows cannot be recovered.

use proptest::prelude::*;
use toucan_gateway::budget::{
    DrawSettings, GatewayProcess, GrantKey, GrantRecord, GrantWriter, OrganisationSnapshot,
    PeerRecovery, RecoveringGrants, RestoreGate, Wallet,
};
use toucan_gateway::peers::{PendingTransfer, Transfers};
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

/// Prepaid tokens at the start, few enough that most histories use them up.
const PREPAID: u64 = 4_000;

/// Records of one append.
type Records = Vec<(GrantKey, Option<GrantRecord>)>;

/// A partition of the log.
#[derive(Default)]
struct Partition {
    records: Records,
    /// Writer of each record.
    writers: Vec<GatewayProcess>,
    /// Number of restores from an older copy.
    restores: u64,
    /// Delayed appends with their expected end, applied later if the end has not moved.
    delayed: Vec<(usize, Records, GatewayProcess)>,
}

impl Partition {
    fn append(&mut self, at: usize, records: Records, writer: &GatewayProcess) -> bool {
        if self.records.len() != at {
            return false;
        }
        self.records.extend(records);
        self.writers.resize(self.records.len(), writer.clone());
        true
    }

    fn apply_delayed(&mut self) {
        for (at, records, writer) in std::mem::take(&mut self.delayed) {
            self.append(at, records, &writer);
        }
    }

    /// Comes back from a copy without the newest records.
    fn restore(&mut self, length: usize) {
        self.records.truncate(length);
        self.writers.truncate(length);
        self.restores += 1;
    }
}

/// A process with its view of the partition.
struct Process {
    id: GatewayProcess,
    writer: GrantWriter,
    grants: RecoveringGrants,
    gate: RestoreGate,
    /// Restores of the log that the process has noticed; [`None`] before its first read.
    restores: Option<u64>,
    read: usize,
    wallet: Wallet,
    transfers: Transfers,
    reserved: Vec<Tokens>,
}

impl Process {
    fn new(vm: usize, start_id: u64) -> Self {
        let id = GatewayProcess {
            vm: VmName::from(format!("vm-{vm}")),
            start_id,
        };
        Self {
            writer: GrantWriter::new(id.clone()),
            id,
            grants: RecoveringGrants::default(),
            gate: RestoreGate::default(),
            restores: None,
            read: 0,
            wallet: Wallet::default(),
            transfers: Transfers::default(),
            reserved: Vec::new(),
        }
    }

    /// Returns the tokens that the process can still spend without another message.
    fn held_tokens(&self) -> u64 {
        let reserved: u64 = self.reserved.iter().map(|tokens| tokens.0).sum();
        self.wallet.available().0 + reserved
    }

    fn read(&mut self, partition: &Partition) {
        let is_restored = self
            .restores
            .is_some_and(|restores| restores != partition.restores);
        if is_restored {
            self.grants.load_restored(partition.records.iter().cloned());
        } else {
            for (key, record) in &partition.records[self.read..] {
                self.grants.apply(key.clone(), *record);
            }
        }
        self.restores = Some(partition.restores);
        self.read = partition.records.len();
    }

    /// Returns whether the process has written again what the last restore lost.
    fn has_recovered(&self, partition: &Partition) -> bool {
        self.restores == Some(partition.restores) && !self.grants.has_lost_records()
    }
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug)]
enum AppendOutcome {
    Answered,
    AnswerLost,
    Delayed,
    Lost,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve {
        process: usize,
        tokens: u64,
    },
    Settle {
        process: usize,
        used_permille: u64,
    },
    Sync {
        process: usize,
        waiting: u64,
        outcome: AppendOutcome,
        is_stopping: bool,
        is_holder: bool,
    },
    ApplyDelayed,
    Crash {
        process: usize,
    },
    Lend {
        from: usize,
        to: usize,
        tokens: u64,
        is_delivered: bool,
    },
    /// Gives idle borrowed tokens to another process.
    BeginTransfer {
        from: usize,
        to: usize,
    },
    /// Delivers a datagram that was sent earlier, again or for the first time.
    DeliverTransfer {
        datagram: usize,
        is_acknowledged: bool,
    },
    TopUp {
        tokens: u64,
    },
    /// Brings the log back from a copy that lacks this many of its newest records, or fewer.
    Restore {
        lost: usize,
    },
}

/// A datagram with a transfer, which may arrive more than once and late.
#[derive(Clone)]
struct TransferDatagram {
    sender: GatewayProcess,
    to: usize,
    transfer: PendingTransfer,
}

const PROCESSES: usize = 4;
/// Time of the gates of draws, which stands still: no gate opens because of a timeout.
const GATE_NOW_MS: u64 = 0;

fn step() -> impl Strategy<Value = Step> {
    let process = 0..PROCESSES;
    let outcome = prop_oneof![
        4 => Just(AppendOutcome::Answered),
        1 => Just(AppendOutcome::AnswerLost),
        1 => Just(AppendOutcome::Delayed),
        1 => Just(AppendOutcome::Lost),
    ];
    prop_oneof![
        6 => (process.clone(), 1..800_u64)
            .prop_map(|(process, tokens)| Step::Reserve { process, tokens }),
        5 => (process.clone(), 0..=1_000_u64)
            .prop_map(|(process, used_permille)| Step::Settle { process, used_permille }),
        8 => (process.clone(), 0..1_500_u64, outcome, prop::bool::weighted(0.1), prop::bool::weighted(0.7)).prop_map(
            |(process, waiting, outcome, is_stopping, is_holder)| Step::Sync {
                process,
                waiting,
                outcome,
                is_stopping,
            is_holder,
            }
        ),
        2 => Just(Step::ApplyDelayed),
        1 => process.clone().prop_map(|process| Step::Crash { process }),
        2 => (process.clone(), process.clone())
            .prop_map(|(from, to)| Step::BeginTransfer { from, to }),
        3 => (0..100_usize, any::<bool>()).prop_map(|(datagram, is_acknowledged)| {
            Step::DeliverTransfer { datagram, is_acknowledged }
        }),
        2 => (process.clone(), process, 1..900_u64, any::<bool>())
            .prop_map(|(from, to, tokens, is_delivered)| Step::Lend {
                from,
                to,
                tokens,
                is_delivered,
            }),
        1 => (1..2_000_u64).prop_map(|tokens| Step::TopUp { tokens }),
        2 => (1..8_usize).prop_map(|lost| Step::Restore { lost }),
    ]
}

struct Simulation {
    partition: Partition,
    processes: Vec<Process>,
    organisation: OrganisationName,
    prepaid: u64,
    version: u64,
    starts: u64,
    spent: u64,
    now_ms: u64,
    /// All datagrams with transfers that were ever sent.
    datagrams: Vec<TransferDatagram>,
    /// Whether a restore may also lose what only a crashed process knew.
    loses_unknown_records: bool,
}

impl Simulation {
    fn new() -> Self {
        Self {
            partition: Partition::default(),
            processes: (0..PROCESSES)
                .map(|vm| Process::new(vm, vm as u64))
                .collect(),
            organisation: OrganisationName::from("organisation"),
            prepaid: PREPAID,
            version: 1,
            starts: PROCESSES as u64,
            spent: 0,
            now_ms: 0,
            datagrams: Vec::new(),
            loses_unknown_records: false,
        }
    }

    fn apply(&mut self, step: Step) {
        self.now_ms += 100;
        match step {
            Step::Reserve { process, tokens } => {
                let process = &mut self.processes[process];
                process.wallet.record_demand(Tokens(tokens), self.now_ms);
                if process.wallet.reserve(Tokens(tokens)).is_ok() {
                    process.reserved.push(Tokens(tokens));
                }
            }
            Step::Settle {
                process,
                used_permille,
            } => {
                let process = &mut self.processes[process];
                if let Some(reserved) = process.reserved.pop() {
                    let used = reserved.0 * used_permille / 1_000;
                    process
                        .wallet
                        .settle(reserved, Tokens(used), used_permille % 3 != 0);
                    self.spent += used;
                }
            }
            Step::Sync {
                process,
                waiting,
                outcome,
                is_stopping,
                is_holder,
            } => {
                self.sync(process, waiting, outcome, is_stopping, is_holder);
            }
            Step::ApplyDelayed => self.partition.apply_delayed(),
            Step::Crash { process } => self.crash(process),
            Step::Lend {
                from,
                to,
                tokens,
                is_delivered,
            } => {
                let loan = self.processes[from].wallet.lend(Tokens(tokens));
                if is_delivered && from != to {
                    self.processes[to].wallet.borrow_from_peer(loan);
                }
            }
            Step::BeginTransfer { from, to } => self.begin_transfer(from, to),
            Step::DeliverTransfer {
                datagram,
                is_acknowledged,
            } => self.deliver_transfer(datagram, is_acknowledged),
            Step::TopUp { tokens } => {
                self.prepaid += tokens;
                self.version += 1;
            }
            Step::Restore { lost } => self.restore(lost),
        }
    }

    fn restore(&mut self, lost: usize) {
        let live: Vec<&GatewayProcess> = self.processes.iter().map(|p| &p.id).collect();
        let readers = self.processes.iter();
        let known = readers
            .filter(|process| process.restores == Some(self.partition.restores))
            .map(|process| process.read)
            .max()
            .unwrap_or(0);
        let writers = self.partition.writers.iter().enumerate();
        let kept = writers
            .filter(|(at, writer)| *at >= known && !live.contains(writer))
            .map(|(at, _writer)| at + 1)
            .max()
            .unwrap_or(0);
        let kept = if self.loses_unknown_records { 0 } else { kept };
        let length = self.partition.records.len().saturating_sub(lost).max(kept);
        self.partition.restore(length);
    }

    fn sync(
        &mut self,
        at: usize,
        waiting: u64,
        outcome: AppendOutcome,
        is_stopping: bool,
        is_holder: bool,
    ) {
        let peers = self.processes.iter().enumerate();
        let peers: Vec<PeerRecovery> = peers
            .filter(|(other, _process)| *other != at)
            .map(|(_other, process)| process.gate.to_tell().unwrap_or_default())
            .collect();
        let process = &mut self.processes[at];
        process.gate.observe(self.partition.restores, GATE_NOW_MS);
        process.read(&self.partition);
        if process.has_recovered(&self.partition) {
            process.gate.record_rewritten(self.partition.restores);
        }
        let snapshot = OrganisationSnapshot {
            may_draw: process.gate.update(&peers, GATE_NOW_MS),
            config_version: DocumentVersion(self.version),
            prepaid: Tokens(self.prepaid),
            waiting: Tokens(waiting),
            is_holder,
            holders: PROCESSES as u32,
            others_rate_per_s: 1_000,
            remaining_accept_ms: is_stopping.then_some(0),
        };
        let (writer, grants) = (&process.writer, process.grants.table());
        let wallet = &mut process.wallet;
        writer.sync_wallet(&self.organisation, grants, wallet, &snapshot);
        let settings = DrawSettings::default();
        let decided = writer.decide(
            &self.organisation,
            grants,
            &mut process.wallet,
            &snapshot,
            &settings,
            self.now_ms,
        );
        let mut records: Records = process.grants.lost_records().collect();
        records.extend(decided.map(|record| (writer.key(&self.organisation), Some(record))));
        records.extend(writer.merge_former_grants(grants));
        if records.is_empty() {
            return;
        }
        let end = process.read;
        match outcome {
            AppendOutcome::Answered => {
                let is_appended = self.partition.append(end, records, &process.id);
                assert!(is_appended, "the end was just read");
                process.grants.record_rewritten();
                process.read(&self.partition);
                let grants = process.grants.table();
                let wallet = &mut process.wallet;
                process
                    .writer
                    .sync_wallet(&self.organisation, grants, wallet, &snapshot);
            }
            AppendOutcome::AnswerLost => {
                self.partition.append(end, records, &process.id);
            }
            AppendOutcome::Delayed => {
                let delayed = (end, records, process.id.clone());
                self.partition.delayed.push(delayed);
            }
            AppendOutcome::Lost => {}
        }
    }

    fn begin_transfer(&mut self, from: usize, to: usize) {
        let receiver = self.processes[to].id.clone();
        let starts: Vec<GatewayProcess> = self.processes.iter().map(|p| p.id.clone()).collect();
        let organisation = self.organisation.clone();
        let process = &mut self.processes[from];
        let idle = process
            .wallet
            .available()
            .saturating_sub(process.wallet.returnable());
        if from != to && process.transfers.is_idle(&receiver.vm) {
            let tokens = process.wallet.lend(idle);
            process
                .transfers
                .begin(receiver.vm, receiver.start_id, organisation, tokens);
        }
        let start_of = |vm: &VmName| {
            let known = starts.iter().find(|process| process.vm == *vm);
            known.map(|process| process.start_id)
        };
        for (vm, transfer) in process.transfers.to_send(start_of) {
            let to = starts.iter().position(|process| process.vm == vm);
            self.datagrams.push(TransferDatagram {
                sender: process.id.clone(),
                to: to.expect("transfers go to known processes"),
                transfer,
            });
        }
    }

    fn deliver_transfer(&mut self, datagram: usize, is_acknowledged: bool) {
        let Some(datagram) = self.datagrams.get(datagram).cloned() else {
            return;
        };
        let sender = datagram.sender;
        // Datagrams of an earlier start cannot be authenticated.
        let Some(from) = self.processes.iter().position(|other| other.id == sender) else {
            return;
        };
        let receiver = &mut self.processes[datagram.to];
        let transfer = datagram.transfer;
        if receiver.id.start_id != transfer.receiver_start {
            return;
        }
        let is_new = receiver
            .transfers
            .accept(&sender.vm, sender.start_id, transfer.id);
        if is_new {
            receiver.wallet.borrow_from_peer(transfer.tokens);
        }
        if is_acknowledged {
            let receiver_vm = receiver.id.vm.clone();
            let sender = &mut self.processes[from];
            sender.transfers.acknowledge(&receiver_vm, transfer.id);
        }
    }

    /// Replaces a process; the tokens that it had reserved may have been spent at the targets.
    fn crash(&mut self, at: usize) {
        let process = &mut self.processes[at];
        let knows_lost_records =
            process.restores.is_some() && !process.has_recovered(&self.partition);
        if knows_lost_records && !self.loses_unknown_records {
            return;
        }
        self.spent += process.reserved.iter().map(|tokens| tokens.0).sum::<u64>();
        self.starts += 1;
        let vm = at;
        assert!(process.id.start_id < self.starts, "start ids are unique");
        self.processes[at] = Process::new(vm, self.starts);
    }
}

fn check_history(mut simulation: Simulation, steps: Vec<Step>) -> Result<(), TestCaseError> {
    for step in steps {
        simulation.apply(step);
        let held: u64 = simulation.processes.iter().map(Process::held_tokens).sum();
        prop_assert!(
            simulation.spent + held <= simulation.prepaid,
            "{} spent and {held} held of {}",
            simulation.spent,
            simulation.prepaid
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    #[test]
    fn no_history_spends_more_than_was_prepaid(steps in prop::collection::vec(step(), 1..120)) {
        check_history(Simulation::new(), steps)?;
    }

    #[test]
    fn no_history_with_any_restore_spends_more_than_was_prepaid(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut simulation = Simulation::new();
        simulation.loses_unknown_records = true;
        check_history(simulation, steps)?;
    }

    #[test]
    fn fleet_without_failures_can_spend_most_of_the_budget(
        sizes in prop::collection::vec(1..150_u64, 200..300),
    ) {
        let mut simulation = Simulation::new();
        for (at, tokens) in sizes.iter().enumerate() {
            let process = at % PROCESSES;
            simulation.sync(process, *tokens, AppendOutcome::Answered, false, true);
            simulation.apply(Step::Reserve { process, tokens: *tokens });
            simulation.apply(Step::Settle { process, used_permille: 1_000 });
        }
        let requested: u64 = sizes.iter().sum();
        // Idle tokens of other processes could only be used through loans, which this test omits.
        prop_assert!(
            simulation.spent >= requested.min(PREPAID * 7 / 10),
            "{} of {requested}",
            simulation.spent
        );
    }
}
