//! A simulated fleet of gateways with the decisions of the real ones, between targets that end.

use std::{cmp::Reverse, collections::BinaryHeap, ops::Range};

use rand::{Rng, SeedableRng, rngs::StdRng};
use toucan_gateway::{
    poison::{
        BrokenCalls, CallDigest, Fingerprint, PoisonCheck, PoisonTable, PoisonVerdict,
        SOUND_AFTER_MS, SuspectCall, TargetEnd, TargetInstance,
    },
    wire_format::PartId,
};
use toucan_types::TargetName;

/// Length of a history.
const LENGTH_MS: u64 = 30_000;
/// Time until a target that ended is replaced.
const RESTART_MS: u64 = 4_000;
/// Time from the break of a connection until it is known whether the target has ended.
const CHECK_MS: u64 = 25;
/// Time that a datagram takes, and one datagram in how many is lost.
const DATAGRAM_MS: u64 = 2;
const DATAGRAMS_PER_LOSS: u32 = 100;
/// Time that a verdict takes by the store.
const STORE_MS: u64 = 20;
/// Time until a gateway that lifts a verdict deletes it in the store.
const DELETION_MS: Range<u64> = 1_000..5_000;
/// Interval of registrations of a live target.
const REGISTRATION_MS: u64 = 1_200;
/// Time between two checks of a call that waits for a trial, and the longest wait.
const WAIT_STEP_MS: u64 = 20;
const MAX_WAIT_MS: u64 = 1_000;
/// What happens in a history.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub gateways: usize,
    pub targets: usize,
    /// Sound calls per second.
    pub sound_per_s: u64,
    /// Calls per second with each poisonous fingerprint; none if there is no such fingerprint.
    pub poison_per_s: u64,
    /// Number of poisonous fingerprints.
    pub poison_parts: u64,
    /// Number of fingerprints that sound calls have first, and of those that they have second.
    pub first_parts: u64,
    pub second_parts: u64,
    /// Whether calls with a poisonous fingerprint have only one first fingerprint.
    pub is_first_part_fixed: bool,
    /// Whether a poisonous call comes again as the same one, with parts of sound calls, instead of as another
    /// call with the same part.
    pub is_same_call: bool,
    /// Whether a call is retried once at another target.
    pub is_retried: bool,
    /// What else ends targets or connections.
    pub trouble: Trouble,
}

/// What ends targets or connections beside poisonous fingerprints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// A third of the targets end together every five seconds.
    Racks,
    /// One target ends every second.
    SingleEnds,
    /// One gateway loses the connections to half of the targets every three seconds and cannot
    /// connect to them for two.
    CutGateway,
}

/// What was seen in a history.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When targets ended by the first poisonous fingerprint.
    pub poison_ends_ms: Vec<u64>,
    /// When calls with the first poisonous fingerprint were sent.
    pub poison_sends_ms: Vec<u64>,
    pub sound_calls: usize,
    /// When sound calls were refused because one of their fingerprints was condemned.
    pub sound_condemned_ms: Vec<u64>,
    /// When sound calls were refused because they waited too long for a trial, or were retried.
    pub sound_held_ms: Vec<u64>,
}

#[derive(Clone, Debug)]
struct SimCall {
    gateway: usize,
    fingerprints: Vec<Fingerprint>,
    poison: Option<u64>,
    arrived_ms: u64,
    sent_at_ms: u64,
    first_event_ms: Option<u64>,
    is_retry: bool,
    trial: Vec<Fingerprint>,
    target: usize,
    is_over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        is_poison: bool,
    },
    Admit(usize),
    Begin(usize),
    Sound(usize),
    Complete(usize),
    CheckTarget {
        gateway: usize,
        target: usize,
        instance: u64,
    },
    EndTold {
        gateway: usize,
        message: usize,
    },
    SoundTold {
        gateway: usize,
        message: usize,
    },
    TrialTold {
        gateway: usize,
        message: usize,
    },
    VerdictTold {
        gateway: usize,
        message: usize,
    },
    VerdictDeleted {
        gateway: usize,
        fingerprint: Fingerprint,
    },
    Restart(usize),
    Registrations,
    Trouble,
}

/// Number from which calls are counted that come once. Those that come again have lower ones.
const FIRST_SINGLE_CALL: u64 = 1_000_000;

fn digest(call: u64) -> CallDigest {
    CallDigest::from_hex(&format!("{call:032x}")).expect("the text is a digest")
}

/// Gateways, targets and the calls between them.
pub struct Fleet {
    plan: Plan,
    random: StdRng,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    tables: Vec<PoisonTable>,
    broken: Vec<BrokenCalls>,
    /// Instance of each target, and whether it is up.
    targets: Vec<(u64, bool)>,
    /// Gateway that cannot reach the first half of the targets, and until when.
    cut: (usize, u64),
    calls: Vec<SimCall>,
    ends: Vec<TargetEnd>,
    sounds: Vec<Vec<Fingerprint>>,
    trials: Vec<(Vec<Fingerprint>, bool)>,
    verdicts: Vec<PoisonVerdict>,
    outcome: Outcome,
}

impl Fleet {
    /// Creates a fleet whose calls and troubles follow from a seed.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut fleet = Self {
            plan,
            random: StdRng::seed_from_u64(seed),
            now_ms: 1_000,
            queue: BinaryHeap::new(),
            sequence: 0,
            tables: (0..plan.gateways as u64).map(PoisonTable::new).collect(),
            broken: vec![BrokenCalls::default(); plan.gateways],
            targets: vec![(1, true); plan.targets],
            cut: (0, 0),
            calls: Vec::new(),
            ends: Vec::new(),
            sounds: Vec::new(),
            trials: Vec::new(),
            verdicts: Vec::new(),
            outcome: Outcome::default(),
        };
        fleet.push(1, Event::Arrival { is_poison: false });
        if plan.poison_per_s > 0 {
            fleet.push(2_000, Event::Arrival { is_poison: true });
        }
        fleet.push(REGISTRATION_MS, Event::Registrations);
        if plan.trouble != Trouble::None {
            fleet.push(500, Event::Trouble);
        }
        fleet
    }

    /// Plays the history and returns what was seen.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at_ms, _sequence, event))) = self.queue.pop() {
            if at_ms > LENGTH_MS {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.outcome
    }

    fn push(&mut self, in_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + in_ms;
        self.queue.push(Reverse((at_ms, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { is_poison } => self.arrive(is_poison),
            Event::Admit(call) => self.admit(call),
            Event::Begin(call) => self.first_event(call),
            Event::Sound(call) => {
                if !self.calls[call].is_over {
                    self.report_sound(call);
                }
            }
            Event::Complete(call) => self.complete(call),
            Event::CheckTarget {
                gateway,
                target,
                instance,
            } => {
                self.check_target(gateway, target, instance);
            }
            Event::EndTold { gateway, message } => {
                let end = self.ends[message].clone();
                self.tables[gateway].record_end(&end, self.now_ms);
                self.lift_explained(gateway);
            }
            Event::SoundTold { gateway, message } => {
                let fingerprints = self.sounds[message].clone();
                self.tables[gateway].record_sound(&fingerprints);
            }
            Event::TrialTold { gateway, message } => {
                let (fingerprints, has_begun) = self.trials[message].clone();
                self.tables[gateway].record_trial(&fingerprints, has_begun, self.now_ms);
            }
            Event::VerdictTold { gateway, message } => {
                let verdict = self.verdicts[message].clone();
                self.tables[gateway].apply_verdict(&verdict, 0, self.now_ms);
            }
            Event::VerdictDeleted {
                gateway,
                fingerprint,
            } => {
                self.tables[gateway].lift(fingerprint);
            }
            Event::Restart(target) => {
                self.targets[target].0 += 1;
                self.targets[target].1 = true;
            }
            Event::Registrations => self.register(),
            Event::Trouble => self.trouble(),
        }
    }

    fn arrive(&mut self, is_poison: bool) {
        let plan = self.plan;
        let per_s = if is_poison {
            plan.poison_per_s
        } else {
            plan.sound_per_s
        };
        let wait_ms = self.random.random_range(1..=2_000 / per_s);
        self.push(wait_ms, Event::Arrival { is_poison });
        let poison = is_poison.then(|| self.random.random_range(0..plan.poison_parts));
        let first = if is_poison && plan.is_first_part_fixed {
            0
        } else {
            self.random.random_range(0..plan.first_parts)
        };
        let poison_part = poison.filter(|_poison| !plan.is_same_call);
        let second = poison_part.map_or_else(
            || 1_000 + self.random.random_range(0..plan.second_parts),
            |poison| 9_000 + poison,
        );
        let repeated_call = poison.filter(|_poison| plan.is_same_call);
        let call = repeated_call.unwrap_or(FIRST_SINGLE_CALL + self.calls.len() as u64);
        let call = SimCall {
            gateway: self.random.random_range(0..plan.gateways),
            fingerprints: vec![
                Fingerprint::Part(PartId(first)),
                Fingerprint::Part(PartId(second)),
                Fingerprint::Call(digest(call)),
            ],
            poison,
            arrived_ms: self.now_ms,
            sent_at_ms: 0,
            first_event_ms: None,
            is_retry: false,
            trial: Vec::new(),
            target: 0,
            is_over: false,
        };
        self.outcome.sound_calls += usize::from(!is_poison);
        self.calls.push(call);
        self.admit(self.calls.len() - 1);
    }

    fn admit(&mut self, at: usize) {
        let call = self.calls[at].clone();
        let check = self.tables[call.gateway].check(&call.fingerprints, call.is_retry, self.now_ms);
        match check {
            PoisonCheck::Clear => self.send(at),
            PoisonCheck::Trial => {
                let fingerprints =
                    self.tables[call.gateway].begin_trial(&call.fingerprints, self.now_ms);
                self.calls[at].trial.clone_from(&fingerprints);
                self.store_verdicts(call.gateway, &fingerprints);
                self.tell_trial(call.gateway, fingerprints, true);
                self.send(at);
            }
            PoisonCheck::Wait if self.now_ms < call.arrived_ms + MAX_WAIT_MS => {
                self.push(WAIT_STEP_MS, Event::Admit(at));
            }
            PoisonCheck::Wait | PoisonCheck::Suspected if call.poison.is_none() => {
                self.outcome.sound_held_ms.push(self.now_ms);
            }
            PoisonCheck::Condemned { .. } if call.poison.is_none() => {
                self.outcome.sound_condemned_ms.push(self.now_ms);
            }
            PoisonCheck::Wait | PoisonCheck::Suspected | PoisonCheck::Condemned { .. } => {}
        }
    }

    fn send(&mut self, at: usize) {
        let gateway = self.calls[at].gateway;
        let up: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target].1 && !self.is_cut(gateway, *target))
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        let call = &mut self.calls[at];
        call.target = target;
        call.sent_at_ms = self.now_ms;
        if call.poison == Some(0) {
            self.outcome.poison_sends_ms.push(self.now_ms);
        }
        let first_ms = self.random.random_range(40..400);
        self.push(first_ms, Event::Begin(at));
    }

    fn first_event(&mut self, at: usize) {
        if self.calls[at].is_over {
            return;
        }
        if let Some(poison) = self.calls[at].poison {
            if poison == 0 {
                self.outcome.poison_ends_ms.push(self.now_ms);
            }
            return self.end_target(self.calls[at].target);
        }
        self.calls[at].first_event_ms = Some(self.now_ms);
        self.push(SOUND_AFTER_MS, Event::Sound(at));
        let rest_ms = self.random.random_range(100..1_200);
        self.push(rest_ms, Event::Complete(at));
    }

    fn complete(&mut self, at: usize) {
        if std::mem::replace(&mut self.calls[at].is_over, true) {
            return;
        }
        self.report_sound(at);
        let call = self.calls[at].clone();
        self.end_trial(&call);
    }

    /// Tells that an answer has been written for longer than one that ends its target.
    fn report_sound(&mut self, at: usize) {
        let call = self.calls[at].clone();
        let sound = self.tables[call.gateway].record_sound(&call.fingerprints);
        if !sound.cleared.is_empty() {
            self.sounds.push(sound.cleared);
            let message = self.sounds.len() - 1;
            self.tell(call.gateway, DATAGRAM_MS, |gateway| Event::SoundTold {
                gateway,
                message,
            });
        }
    }

    fn end_trial(&mut self, call: &SimCall) {
        if !call.trial.is_empty() {
            self.tables[call.gateway].end_trial(&call.trial);
            self.tell_trial(call.gateway, call.trial.clone(), false);
        }
    }

    fn end_target(&mut self, target: usize) {
        self.targets[target].1 = false;
        self.push(RESTART_MS, Event::Restart(target));
        self.break_calls(target, None);
    }

    /// Breaks the calls at a target, of one gateway or of all.
    fn break_calls(&mut self, target: usize, only: Option<usize>) {
        let instance = self.instance(target);
        let is_broken = |call: &SimCall| {
            call.sent_at_ms > 0
                && !call.is_over
                && call.target == target
                && only.is_none_or(|gateway| call.gateway == gateway)
        };
        let broken: Vec<usize> = (0..self.calls.len())
            .filter(|at| is_broken(&self.calls[*at]))
            .collect();
        for at in broken {
            self.calls[at].is_over = true;
            let call = self.calls[at].clone();
            self.tables[call.gateway].break_trial(&call.trial, self.now_ms);
            self.end_trial(&call);
            let suspect = SuspectCall {
                fingerprints: call.fingerprints.clone(),
                sent_at_ms: call.sent_at_ms,
            };
            let is_first = self.broken[call.gateway].record(
                &instance,
                suspect,
                call.first_event_ms,
                self.now_ms,
            );
            if is_first {
                let check = Event::CheckTarget {
                    gateway: call.gateway,
                    target,
                    instance: instance.started_at_unix_ms,
                };
                self.push(CHECK_MS, check);
            }
            if self.plan.is_retried && !call.is_retry && call.first_event_ms.is_none() {
                let retry = SimCall {
                    is_retry: true,
                    is_over: false,
                    trial: Vec::new(),
                    ..call
                };
                self.calls.push(retry);
                self.admit(self.calls.len() - 1);
            }
        }
    }

    fn check_target(&mut self, gateway: usize, target: usize, instance: u64) {
        let name = TargetName::from(format!("t{target}"));
        let instance = TargetInstance {
            name,
            started_at_unix_ms: instance,
        };
        let Some(end) = self.broken[gateway].take(&instance) else {
            return;
        };
        let is_same = self.targets[target].0 == instance.started_at_unix_ms;
        if self.targets[target].1 && is_same && !self.is_cut(gateway, target) {
            return;
        }
        let condemned = self.tables[gateway].record_end(&end, self.now_ms);
        self.lift_explained(gateway);
        self.ends.push(end);
        let message = self.ends.len() - 1;
        self.tell(gateway, DATAGRAM_MS, |gateway| Event::EndTold {
            gateway,
            message,
        });
        self.store_verdicts(gateway, &condemned);
    }

    /// Lifts the verdicts that others explain, and deletes them in the store, which all gateways read.
    fn lift_explained(&mut self, gateway: usize) {
        for fingerprint in self.tables[gateway].lift_explained() {
            let delay_ms = self.random.random_range(DELETION_MS) + STORE_MS;
            for gateway in 0..self.plan.gateways {
                self.push(
                    delay_ms,
                    Event::VerdictDeleted {
                        gateway,
                        fingerprint,
                    },
                );
            }
        }
    }

    /// Writes the verdicts on fingerprints to the store, which all gateways read.
    fn store_verdicts(&mut self, gateway: usize, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            let Some(verdict) = self.tables[gateway].verdict(*fingerprint, 0) else {
                continue;
            };
            self.verdicts.push(verdict);
            let message = self.verdicts.len() - 1;
            for gateway in 0..self.plan.gateways {
                self.push(STORE_MS, Event::VerdictTold { gateway, message });
            }
        }
    }

    fn tell_trial(&mut self, sender: usize, fingerprints: Vec<Fingerprint>, has_begun: bool) {
        self.trials.push((fingerprints, has_begun));
        let message = self.trials.len() - 1;
        self.tell(sender, DATAGRAM_MS, |gateway| Event::TrialTold {
            gateway,
            message,
        });
    }

    fn tell(&mut self, sender: usize, in_ms: u64, event: impl Fn(usize) -> Event) {
        for gateway in (0..self.plan.gateways).filter(|gateway| *gateway != sender) {
            if !self.random.random_ratio(1, DATAGRAMS_PER_LOSS) {
                self.push(in_ms, event(gateway));
            }
        }
    }

    fn register(&mut self) {
        self.push(REGISTRATION_MS, Event::Registrations);
        for target in 0..self.targets.len() {
            if !self.targets[target].1 {
                continue;
            }
            let instance = self.instance(target);
            for table in &mut self.tables {
                table.record_registration(&instance, self.now_ms);
            }
        }
    }

    fn trouble(&mut self) {
        let half = self.targets.len() / 2;
        match self.plan.trouble {
            Trouble::None => {}
            Trouble::Racks => {
                self.push(5_000, Event::Trouble);
                let from = self.random.random_range(0..self.targets.len());
                for step in 0..self.targets.len() / 3 {
                    self.end_if_up((from + step) % self.targets.len());
                }
            }
            Trouble::SingleEnds => {
                self.push(1_000, Event::Trouble);
                let target = self.random.random_range(0..self.targets.len());
                self.end_if_up(target);
            }
            Trouble::CutGateway => {
                self.push(3_000, Event::Trouble);
                let gateway = self.random.random_range(0..self.plan.gateways);
                self.cut = (gateway, self.now_ms + 2_000);
                for target in 0..half {
                    self.break_calls(target, Some(gateway));
                }
            }
        }
    }

    fn end_if_up(&mut self, target: usize) {
        if self.targets[target].1 {
            self.end_target(target);
        }
    }

    fn is_cut(&self, gateway: usize, target: usize) -> bool {
        self.cut.0 == gateway && self.now_ms < self.cut.1 && target < self.targets.len() / 2
    }

    fn instance(&self, target: usize) -> TargetInstance {
        TargetInstance {
            name: TargetName::from(format!("t{target}")),
            started_at_unix_ms: self.targets[target].0,
        }
    }
}
