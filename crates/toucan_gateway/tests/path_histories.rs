//! Random histories of cuts and ended targets, before the choice of the way to targets.
//!
//! Guards against a cut that is not noticed or not left, and against targets that have ended and pass for a cut.

use std::{env, net::SocketAddrV4};

use rand::{Rng, SeedableRng, rngs::StdRng};
use toucan_gateway::{
    config::TargetEntry,
    paths::{DirectResult, Path, PathTable, TunnelResult},
};
use toucan_types::{DataCentreName, ServiceName, SoftwareVersion, TargetName};

const SERVICES: usize = 2;
const DATA_CENTRES: usize = 3;
const TARGETS: usize = 12;
const LENGTH_MS: u64 = 40_000;
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time from the beginning of a cut after which calls have to be served.
const NOTICED_MS: u64 = 2_000;
/// Time from the end of a cut after which connects have to be direct.
const LEFT_MS: u64 = 2_000;
/// Failed attempts at which a call is refused.
const MAX_ATTEMPTS: usize = 4;
/// Number of histories, unless the variable `PATH_HISTORIES` names another one.
const HISTORIES: u64 = 300;

/// What a cut or an end concerns.
#[derive(Clone, Copy, Debug)]
enum Concerns {
    Everything,
    Service(usize),
    DataCentre(usize),
    Target(usize),
}

impl Concerns {
    fn random(random: &mut StdRng) -> Self {
        match random.random_range(0..4) {
            0 => Self::Everything,
            1 => Self::Service(random.random_range(0..SERVICES)),
            2 => Self::DataCentre(random.random_range(0..DATA_CENTRES)),
            _ => Self::Target(random.random_range(0..TARGETS)),
        }
    }

    const fn has(self, target: usize) -> bool {
        match self {
            Self::Everything => true,
            Self::Service(service) => target % SERVICES == service,
            Self::DataCentre(data_centre) => target % DATA_CENTRES == data_centre,
            Self::Target(at) => target == at,
        }
    }
}

/// A time for which targets cannot be connected to.
#[derive(Clone, Copy, Debug)]
struct Fault {
    concerns: Concerns,
    from_ms: u64,
    until_ms: u64,
    /// Whether connects hang; otherwise they are refused.
    hangs: bool,
}

impl Fault {
    fn random(random: &mut StdRng) -> Self {
        let from_ms = random.random_range(3_000..LENGTH_MS - 15_000);
        Self {
            concerns: Concerns::random(random),
            from_ms,
            until_ms: from_ms + random.random_range(3_000..12_000),
            hangs: random.random(),
        }
    }

    const fn holds(&self, target: usize, now_ms: u64) -> bool {
        self.concerns.has(target) && self.from_ms <= now_ms && now_ms < self.until_ms
    }
}

/// How the mutant differs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decider {
    AsBuilt,
    /// Takes targets that cannot be connected to for alive, without asking another gateway.
    TrustsOwnConnects,
}

struct History {
    random: StdRng,
    now_ms: u64,
    /// Time of the last check.
    checked_at_ms: u64,
    paths: PathTable,
    targets: Vec<TargetEntry>,
    cut: Option<Fault>,
    ended: Fault,
    decider: Decider,
    faults: Vec<String>,
}

impl History {
    fn new(seed: u64, has_cut: bool, decider: Decider) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let entry = |at: usize| TargetEntry {
            name: TargetName::from(format!("t{at}").as_str()),
            service: ServiceName::from(format!("s{}", at % SERVICES).as_str()),
            address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
            data_centre: DataCentreName::from(format!("d{}", at % DATA_CENTRES).as_str()),
            software_version: SoftwareVersion::from("v1"),
            slots: 8,
            draining: false,
            cold_ms: 0,
            started_at_unix_ms: 1,
        };
        Self {
            now_ms: 0,
            checked_at_ms: 0,
            paths: PathTable::default(),
            targets: (0..TARGETS).map(entry).collect(),
            cut: has_cut.then(|| Fault::random(&mut random)),
            ended: Fault::random(&mut random),
            random,
            decider,
            faults: Vec::new(),
        }
    }

    fn is_cut(&self, target: usize) -> bool {
        self.cut.is_some_and(|cut| cut.holds(target, self.now_ms))
    }

    fn has_ended(&self, target: usize) -> bool {
        self.ended.holds(target, self.now_ms)
    }

    /// Connects from the VM of the history.
    fn connect_directly(&mut self, target: usize) -> bool {
        let hangs = self.is_cut(target) && self.cut.is_some_and(|cut| cut.hangs)
            || self.has_ended(target) && self.ended.hangs;
        let is_connected = !self.is_cut(target) && !self.has_ended(target);
        self.now_ms += if hangs { CONNECT_TIMEOUT_MS } else { 2 };
        let result = if is_connected {
            DirectResult::Connected
        } else {
            DirectResult::Failed
        };
        let entry = &self.targets[target];
        let _ended = self.paths.record_direct(entry, result, self.now_ms);
        is_connected
    }

    fn connect_by_tunnel(&mut self, target: usize) -> bool {
        let is_connected = !self.has_ended(target);
        self.now_ms += 4;
        let result = if is_connected || self.decider == Decider::TrustsOwnConnects {
            TunnelResult::Connected
        } else {
            TunnelResult::Failed
        };
        let entry = &self.targets[target];
        let _cut = self.paths.record_tunnelled(entry, result, self.now_ms);
        is_connected
    }

    fn path_to(&self, target: usize) -> Path {
        self.paths.path_to(&self.targets[target], self.now_ms)
    }

    fn probe(&mut self) {
        for name in self.paths.next_probes(self.now_ms) {
            let probed = self.targets.iter().position(|entry| entry.name == name);
            self.connect_directly(probed.expect("it is a target"));
        }
    }

    fn attempt(&mut self, target: usize) -> bool {
        let path = self.path_to(target);
        if path == Path::Tunnel && self.connect_by_tunnel(target) {
            return true;
        }
        let is_connected = self.connect_directly(target);
        is_connected
            || path != Path::Tunnel
                && self.path_to(target) != Path::Direct
                && self.connect_by_tunnel(target)
    }

    /// Makes a call of one service, at up to `MAX_ATTEMPTS` of its targets.
    fn call(&mut self) {
        let began_ms = self.now_ms;
        let service = self.random.random_range(0..SERVICES);
        let mut left: Vec<usize> = (service..TARGETS).step_by(SERVICES).collect();
        let alive = left.iter().filter(|target| !self.has_ended(**target));
        let are_most_alive = alive.count() * 2 > left.len();
        let mut is_served = false;
        for _attempt in 0..MAX_ATTEMPTS {
            let target = left.swap_remove(self.random.random_range(0..left.len()));
            is_served = self.attempt(target);
            self.probe();
            if is_served {
                break;
            }
        }
        let is_noticed = self
            .cut
            .is_none_or(|cut| !(cut.from_ms..cut.from_ms + NOTICED_MS).contains(&began_ms));
        let is_steady = self.ended.until_ms < began_ms || self.now_ms < self.ended.from_ms;
        if !is_served && is_noticed && (is_steady || are_most_alive && self.cut.is_none()) {
            self.faults.push(format!("refused at {began_ms} ms"));
        }
    }

    /// Checks that only targets behind a cut are reached by tunnels. Targets that have just come back look like
    /// them until they are connected to; those that have ended during a cut cannot be told from them.
    fn check_paths(&mut self) {
        // Calls are made one after the other, and some take a second. Before this one there was time for a probe.
        let before_ms = self.checked_at_ms;
        let now_ms = self.now_ms;
        self.checked_at_ms = now_ms;
        let is_excused =
            |fault: &Fault, from_ms: u64| from_ms <= now_ms && before_ms < fault.until_ms + LEFT_MS;
        let in_cut = self.cut.is_some_and(|cut| is_excused(&cut, cut.from_ms));
        if in_cut || is_excused(&self.ended, self.ended.until_ms) {
            return;
        }
        let tunnelled: Vec<usize> = (0..TARGETS)
            .filter(|target| self.cut.is_none() || !self.has_ended(*target))
            .filter(|target| self.path_to(*target) == Path::Tunnel)
            .collect();
        if !tunnelled.is_empty() {
            let fault = format!(
                "{tunnelled:?} by tunnel at {now_ms} ms, {:?}, {:?}",
                self.cut, self.ended
            );
            self.faults.push(fault);
        }
    }

    fn run(mut self) -> Vec<String> {
        while self.now_ms < LENGTH_MS {
            self.now_ms += self.random.random_range(1..60);
            self.probe();
            self.call();
            self.check_paths();
        }
        self.faults
    }
}

fn histories() -> u64 {
    let named = env::var("PATH_HISTORIES").ok();
    named
        .and_then(|text| text.parse().ok())
        .unwrap_or(HISTORIES)
}

#[test]
fn no_history_leaves_callers_of_a_cut_gateway_unserved() {
    for seed in 0..histories() {
        let faults = History::new(seed, seed % 4 != 0, Decider::AsBuilt).run();
        assert!(faults.is_empty(), "seed {seed}: {faults:?}");
    }
}

/// Fails if the histories do not tell a decision by evidence of other gateways from one without.
#[test]
fn histories_find_a_gateway_that_trusts_its_own_connects_alone() {
    let found = (0..200).filter(|seed| {
        !History::new(*seed, false, Decider::TrustsOwnConnects)
            .run()
            .is_empty()
    });
    assert!(found.count() > 20);
}
