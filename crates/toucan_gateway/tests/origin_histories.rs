//! Guards against streams joined from two software versions, and against refusals of streams whose
//! origin the store tells, in random histories of releases, deaths, gateways that are out of step and outages of the store.

use rand::{Rng, SeedableRng, rngs::StdRng};
use std::net::SocketAddrV4;
use test_case::test_case;
use toucan_gateway::{
    config::TargetEntry,
    streams::{
        MAX_STREAM_AGE_MS, OriginBatch, OriginOutbox, OriginTable, StreamOrigin, VersionHistory,
        origin_write_interval_ms,
    },
};
use toucan_types::{DataCentreName, RequestId, ServiceName, SoftwareVersion, TargetName};

/// Length of a history and of one of its steps.
const LENGTH_MS: u64 = 100_000;
const STEP_MS: u64 = 50;
/// Interval between two reads of the registrations.
const READ_INTERVAL_MS: u64 = 400;
/// Longest time for which a target that has deregistered is sent new streams.
const DRAIN_MS: u64 = 2_000;
/// Longest time for which a gateway reaches neither the store nor the other gateways.
const MAX_CUT_MS: u64 = 4_000;
/// Number of gateways.
const GATEWAYS: usize = 4;

/// How a gateway decides where a stream began that no gateway remembers and the store does not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    /// By a version that was watched alone for as long as a stream may last.
    Evidence,
    /// By the only version that the gateway has seen since its start.
    OnlyVersionSinceStart,
}

/// A version of the service and when its targets deregister.
#[derive(Clone, Debug)]
struct Version {
    name: SoftwareVersion,
    gone_ms: u64,
}

/// One start of a gateway process.
#[derive(Default)]
struct Process {
    origins: OriginTable,
    outbox: OriginOutbox,
    versions: VersionHistory,
    seen: Vec<SoftwareVersion>,
    read_ms: Option<u64>,
    /// End of the time in which it reaches neither the store nor the other gateways.
    cut_until_ms: u64,
}

/// A stream that may be resumed.
struct Stream {
    attempt: RequestId,
    origin: StreamOrigin,
    began_ms: u64,
    is_stored: bool,
}

struct History {
    rule: Rule,
    random: StdRng,
    now_ms: u64,
    versions: Vec<Version>,
    processes: Vec<Process>,
    store: Vec<OriginBatch>,
    is_store_away: bool,
    streams: Vec<Stream>,
}

/// What went wrong in a history.
#[derive(Debug, PartialEq, Eq)]
enum Fault {
    Joined,
    RefusedWithEvidence,
}

fn origin_of(version: &SoftwareVersion) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from("s"),
        software_version: version.clone(),
    }
}

fn target_of(version: &SoftwareVersion) -> TargetEntry {
    TargetEntry {
        name: TargetName::from(version.as_str()),
        service: ServiceName::from("s"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        data_centre: DataCentreName::from("here"),
        software_version: version.clone(),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started_at_unix_ms: 1,
    }
}

impl History {
    fn new(rule: Rule, seed: u64) -> Self {
        let mut history = Self {
            rule,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
            versions: Vec::new(),
            processes: (0..GATEWAYS).map(|_at| Process::default()).collect(),
            store: Vec::new(),
            is_store_away: false,
            streams: Vec::new(),
        };
        history.release();
        history
    }

    /// Registers a new version; the others deregister after some time, perhaps at once.
    fn release(&mut self) {
        let overlap_ms = self.random.random_range(0..40_000);
        for version in &mut self.versions {
            version.gone_ms = version.gone_ms.min(self.now_ms + overlap_ms);
        }
        self.versions.push(Version {
            name: SoftwareVersion::from(format!("v{}", self.versions.len())),
            gone_ms: u64::MAX,
        });
    }

    fn registered(&self) -> Vec<SoftwareVersion> {
        let now_ms = self.now_ms;
        let registered = self.versions.iter().filter(|v| now_ms < v.gone_ms);
        registered.map(|version| version.name.clone()).collect()
    }

    fn run(mut self) -> Result<(), Fault> {
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if self.random.random_ratio(1, 400) {
                self.release();
                if self.random.random_bool(0.5) {
                    self.cut();
                }
            }
            if self.random.random_ratio(1, 200) {
                self.is_store_away = !self.is_store_away;
            }
            if self.random.random_ratio(1, 300) {
                self.kill();
            }
            if self.random.random_ratio(1, 100) {
                self.cut();
            }
            for at in 0..GATEWAYS {
                self.read_registrations_if_due(at);
                self.write_origins(at);
            }
            if self.random.random_ratio(1, 4) {
                self.begin_stream();
            }
            if self.random.random_ratio(1, 4) {
                self.resume_stream()?;
            }
        }
        Ok(())
    }

    /// Kills all gateways, or some.
    fn kill(&mut self) {
        let is_whole_fleet = self.random.random_bool(0.5);
        for process in &mut self.processes {
            if is_whole_fleet || self.random.random_bool(0.4) {
                *process = Process::default();
            }
        }
    }

    /// Cuts a gateway off, or freezes it, for some time.
    fn cut(&mut self) {
        let at = self.random.random_range(0..GATEWAYS);
        let cut_ms = self.random.random_range(0..MAX_CUT_MS);
        self.processes[at].cut_until_ms = self.now_ms + cut_ms;
    }

    fn reaches_store(&self, at: usize) -> bool {
        !self.is_store_away && self.now_ms >= self.processes[at].cut_until_ms
    }

    fn read_registrations_if_due(&mut self, at: usize) {
        let read_ms = self.processes[at].read_ms;
        if read_ms.is_none_or(|read_ms| self.now_ms >= read_ms + READ_INTERVAL_MS) {
            self.read_registrations(at);
        }
    }

    fn read_registrations(&mut self, at: usize) {
        if !self.reaches_store(at) {
            return;
        }
        let registered = self.registered();
        let now_ms = self.now_ms;
        let process = &mut self.processes[at];
        process.read_ms = Some(now_ms);
        let targets: Vec<TargetEntry> = registered.iter().map(target_of).collect();
        process.versions.record_read(&targets, now_ms);
        for version in registered {
            if !process.seen.contains(&version) {
                process.seen.push(version);
            }
        }
    }

    fn write_origins(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let reaches_store = self.reaches_store(at);
        let process = &mut self.processes[at];
        let is_mixed = process.versions.has_several_versions();
        let interval_ms = origin_write_interval_ms(is_mixed, GATEWAYS as u32);
        let due_ms = process.outbox.due_ms(interval_ms);
        if !reaches_store || due_ms.is_none_or(|due_ms| now_ms < due_ms) {
            return;
        }
        let Some(write) = process.outbox.begin_write(now_ms) else {
            return;
        };
        for (attempt, _origin) in write.batch.iter() {
            let written = self.streams.iter_mut().find(|s| s.attempt == *attempt);
            if let Some(stream) = written {
                stream.is_stored = true;
            }
        }
        self.store.push(write.batch);
    }

    /// Begins a stream at a version whose targets may have deregistered a moment ago.
    fn begin_stream(&mut self) {
        let at = self.random.random_range(0..GATEWAYS);
        let now_ms = self.now_ms;
        let seen = &self.processes[at].seen;
        let usable: Vec<SoftwareVersion> = self
            .versions
            .iter()
            .filter(|v| now_ms < v.gone_ms.saturating_add(DRAIN_MS) && seen.contains(&v.name))
            .map(|version| version.name.clone())
            .collect();
        if usable.is_empty() {
            return;
        }
        let version = &usable[self.random.random_range(0..usable.len())];
        let (origin, attempt) = (origin_of(version), self.streams.len().to_string());
        let attempt = RequestId::from(attempt);
        let process = &mut self.processes[at];
        process.origins.record(&attempt, &origin, now_ms);
        process.outbox.push(&attempt, &origin, now_ms);
        self.streams.push(Stream {
            attempt,
            origin,
            began_ms: now_ms,
            is_stored: false,
        });
    }

    fn resume_stream(&mut self) -> Result<(), Fault> {
        let now_ms = self.now_ms;
        let first = self
            .streams
            .partition_point(|stream| stream.began_ms + MAX_STREAM_AGE_MS < now_ms);
        if first == self.streams.len() {
            return Ok(());
        }
        let stream = &self.streams[self.random.random_range(first..self.streams.len())];
        let is_named = self.random.random_bool(0.7);
        let at = self.random.random_range(0..GATEWAYS);
        let (attempt, origin) = (stream.attempt.clone(), stream.origin.clone());
        let is_stored = stream.is_stored;
        // A gateway reads the registrations before it takes the version that it knows for that of the stream.
        self.read_registrations(at);
        let found = self.find_origin(at, is_named.then_some(&attempt));
        match found {
            Some(found) if found != origin => Err(Fault::Joined),
            None if is_named && is_stored && self.reaches_store(at) => {
                Err(Fault::RefusedWithEvidence)
            }
            _ => Ok(()),
        }
    }

    fn find_origin(&self, at: usize, attempt: Option<&RequestId>) -> Option<StreamOrigin> {
        if let Some(attempt) = attempt {
            let is_cut = |process: &Process| self.now_ms < process.cut_until_ms;
            let own = self.processes[at].origins.get(attempt);
            let mut others = self.processes.iter().filter(|process| !is_cut(process));
            let told = || others.find_map(|process| process.origins.get(attempt));
            let asks = !is_cut(&self.processes[at]);
            if let Some(origin) = own.or_else(|| asks.then(told)?) {
                return Some(origin.clone());
            }
            if self.reaches_store(at) {
                let mut stored = self.store.iter().flat_map(OriginBatch::iter);
                if let Some((_attempt, origin)) = stored.find(|(stored, _)| *stored == attempt) {
                    return Some(origin.clone());
                }
            }
        }
        let process = &self.processes[at];
        let version = match self.rule {
            Rule::Evidence => process
                .versions
                .sole_version(&ServiceName::from("s"), self.now_ms),
            Rule::OnlyVersionSinceStart => match process.seen.as_slice() {
                [only] => Some(only),
                _ => None,
            },
        };
        version.map(origin_of)
    }
}

/// Returns the number of histories to play.
fn histories() -> u64 {
    std::env::var("TOUCAN_HISTORIES").map_or(300, |text| {
        text.parse().expect("the number of histories is a number")
    })
}

#[test]
fn no_history_joins_two_versions_or_refuses_with_evidence() {
    let first: u64 = rand::rng().random();
    for history in 0..histories() {
        let seed = first.wrapping_add(history);
        let result = History::new(Rule::Evidence, seed).run();
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// A version that had left began the stream after its last registration.
#[test_case(3_477_649_836_673_508_315)]
fn history_does_not_join_two_versions(seed: u64) {
    assert_eq!(History::new(Rule::Evidence, seed).run(), Ok(()));
}

/// The rule without its evidence joins versions, so the histories would show it.
#[test_case(Rule::OnlyVersionSinceStart)]
fn histories_find_a_rule_that_guesses(rule: Rule) {
    let joined = (0..100).filter(|seed| History::new(rule, *seed).run() == Err(Fault::Joined));
    let joined = joined.count();
    assert!(joined > 50, "{joined} of 100 histories");
}
