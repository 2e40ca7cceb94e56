//! One run of the fleet under one policy.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use toucan_router::{
    CacheChange, ChoiceRequest, DispatchId, DispatchOutcome, LoadReport, ModelKey,
    TargetDescription, TargetIndex, TargetPolicy, TargetTable, TargetTableSettings,
};
use toucan_types::ServiceName;

use super::fleet_model::engine::{CacheDiff, Engine, EngineSettings, EngineStep, Job};
use super::fleet_model::events::EventQueue;
use super::fleet_model::figures::{peak_over_mean, variation};
use super::fleet_model::sessions::{Session, SessionSettings};

/// One way between a router and a target.
const WAY_US: u64 = 300;
/// Time from one turn of a session to its next one, about.
const SESSION_TURN_US: u64 = 15_000_000;

/// Size and faults of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) seed: u64,
    pub(crate) targets: usize,
    pub(crate) routers: usize,
    pub(crate) requests_per_s: u64,
    pub(crate) warm_up_us: u64,
    pub(crate) end_us: u64,
    pub(crate) report_period_us: u64,
    pub(crate) report_lag_us: u64,
    pub(crate) event_lag_us: u64,
    pub(crate) lost_pages_permille: u32,
    pub(crate) engine: EngineSettings,
    pub(crate) sessions: SessionSettings,
    pub(crate) table: TargetTableSettings,
}

impl FleetSettings {
    pub(crate) fn today() -> Self {
        Self {
            seed: 7,
            targets: 12,
            routers: 8,
            requests_per_s: 46,
            warm_up_us: 60_000_000,
            end_us: 360_000_000,
            report_period_us: 1_000_000,
            report_lag_us: 500_000,
            event_lag_us: 500_000,
            lost_pages_permille: 30,
            engine: EngineSettings::default(),
            sessions: SessionSettings::default(),
            table: TargetTableSettings::default(),
        }
    }

    pub(crate) fn full_size() -> Self {
        Self {
            targets: 1_400,
            routers: 4,
            requests_per_s: 5_300,
            warm_up_us: 20_000_000,
            end_us: 35_000_000,
            sessions: SessionSettings {
                organisations: 490,
                ..SessionSettings::default()
            },
            ..Self::today()
        }
    }
}

/// What a run shows.
#[derive(Debug)]
pub(crate) struct Figures {
    pub(crate) first_token_us: Vec<u64>,
    pub(crate) cached_permille: u64,
    pub(crate) peak_over_mean: f64,
    pub(crate) variation: f64,
}

#[derive(Debug)]
enum Event {
    NewSession,
    Turn(usize),
    Arrive {
        engine: usize,
        job: Job,
    },
    Step {
        engine: usize,
        step: EngineStep,
    },
    Report {
        engine: usize,
    },
    ReportArrives {
        engine: usize,
        report: LoadReport,
    },
    CachePage {
        engine: usize,
        sequence: u64,
        diff: CacheDiff,
    },
    FirstToken {
        request: usize,
    },
    End {
        request: usize,
    },
    WarmUpEnds,
}

#[derive(Debug)]
struct Request {
    router: usize,
    dispatch: DispatchId,
    arrived_us: u64,
    session: usize,
    prompt_tokens: u64,
    cached_tokens: u64,
}

/// Engines, routers' tables and what is under way between them.
#[derive(Debug)]
pub(crate) struct Fleet {
    settings: FleetSettings,
    service: ServiceName,
    model: ModelKey,
    engines: Vec<Engine>,
    tables: Vec<TargetTable>,
    indexes: Vec<TargetIndex>,
    sequences: Vec<u64>,
    events: EventQueue<Event>,
    sessions: Vec<Session>,
    requests: Vec<Request>,
    workload: SmallRng,
    chance: SmallRng,
    first_token_us: Vec<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Fleet {
    pub(crate) fn new(settings: &FleetSettings) -> Self {
        let mut fleet = Self {
            settings: settings.clone(),
            service: "drafting".into(),
            model: ModelKey::parse("drafting@1"),
            engines: (0..settings.targets)
                .map(|_| Engine::new(settings.engine))
                .collect(),
            tables: Vec::new(),
            indexes: Vec::new(),
            sequences: vec![0; settings.targets],
            events: EventQueue::new(),
            sessions: Vec::new(),
            requests: Vec::new(),
            workload: SmallRng::seed_from_u64(settings.seed),
            chance: SmallRng::seed_from_u64(settings.seed + 4),
            first_token_us: Vec::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
        };
        fleet.add_tables();
        fleet
    }

    fn add_tables(&mut self) {
        for _ in 0..self.settings.routers {
            let mut table = TargetTable::new(self.settings.table, "qc-1".into());
            table.set_peer_routers(self.settings.routers as u32 - 1);
            self.indexes = (0..self.settings.targets)
                .map(|target| {
                    table.upsert(TargetDescription {
                        name: format!("engine-{target}").into(),
                        service: self.service.clone(),
                        data_centre: "qc-1".into(),
                        batch_limit: self.settings.engine.batch_limit,
                    })
                })
                .collect();
            self.tables.push(table);
        }
    }

    pub(crate) fn run(mut self, policy: &impl TargetPolicy) -> Figures {
        for engine in 0..self.settings.targets {
            let report = self.load_report(engine, 0);
            self.deliver_report(engine, &report, 0);
            let first_us = self.chance.random_range(0..self.settings.report_period_us);
            self.events.schedule(first_us, Event::Report { engine });
        }
        self.events.schedule(0, Event::NewSession);
        self.add_first_sessions();
        self.events
            .schedule(self.settings.warm_up_us, Event::WarmUpEnds);
        while let Some((now_us, event)) = self.events.pop() {
            if now_us >= self.settings.end_us {
                break;
            }
            self.handle(event, now_us, policy);
        }
        self.figures()
    }

    fn handle(&mut self, event: Event, now_us: u64, policy: &impl TargetPolicy) {
        match event {
            Event::NewSession => self.new_session(now_us),
            Event::Turn(session) => self.turn(session, now_us, policy),
            Event::Arrive { engine, job } => {
                let step = self.engines[engine].arrive(job, now_us);
                self.schedule(engine, step);
            }
            Event::Step { engine, step } => self.step(engine, step, now_us),
            Event::Report { engine } => {
                let report = self.load_report(engine, now_us);
                let arrives_us = now_us + self.settings.report_lag_us;
                self.events
                    .schedule(arrives_us, Event::ReportArrives { engine, report });
                let next_us = now_us + self.settings.report_period_us;
                self.events.schedule(next_us, Event::Report { engine });
            }
            Event::ReportArrives { engine, report } => self.deliver_report(engine, &report, now_us),
            Event::CachePage {
                engine,
                sequence,
                diff,
            } => {
                self.deliver_page(engine, sequence, &diff, now_us);
            }
            Event::FirstToken { request } => {
                let request = &self.requests[request];
                self.tables[request.router].record_first_token(request.dispatch, now_us / 1_000);
                if request.arrived_us >= self.settings.warm_up_us {
                    self.first_token_us.push(now_us - request.arrived_us);
                    self.prompt_tokens += request.prompt_tokens;
                    self.cached_tokens += request.cached_tokens;
                }
            }
            Event::End { request } => self.end(request, now_us),
            Event::WarmUpEnds => {
                for engine in &mut self.engines {
                    engine.accumulate_busy_time(now_us);
                    engine.busy_request_us = 0;
                }
            }
        }
    }

    /// Sessions that are under way at the start, so that the rate of requests is steady.
    fn add_first_sessions(&mut self) {
        let count = self.settings.requests_per_s * SESSION_TURN_US / 1_000_000;
        let settings = self.settings.sessions;
        for number in 0..count {
            self.sessions
                .push(Session::new(&settings, number, &mut self.workload));
            let first_us = self.workload.random_range(0..SESSION_TURN_US);
            self.events.schedule(first_us, Event::Turn(number as usize));
        }
    }

    fn new_session(&mut self, now_us: u64) {
        let settings = self.settings.sessions;
        let number = self.sessions.len();
        self.sessions
            .push(Session::new(&settings, number as u64, &mut self.workload));
        self.events.schedule(now_us, Event::Turn(number));
        let turns = (settings.turns.0 + settings.turns.1) as f64 / 2.0;
        let mean_us = 1_000_000.0 * turns / self.settings.requests_per_s as f64;
        let uniform: f64 = self.workload.random();
        let gap_us = -(1.0 - uniform).ln() * mean_us;
        self.events
            .schedule(now_us + gap_us as u64, Event::NewSession);
    }

    fn turn(&mut self, session: usize, now_us: u64, policy: &impl TargetPolicy) {
        let number = self.requests.len();
        let settings = self.settings.sessions;
        // A generator of its own for each turn: the workload is the same under every policy.
        let mut draws =
            SmallRng::seed_from_u64((session as u64) << 8 | self.sessions[session].turns_left());
        let Some(job) = self.sessions[session].turn(&settings, number, &mut draws) else {
            return;
        };
        let router = draws.random_range(0..self.settings.routers);
        let request = ChoiceRequest::new(&self.service, now_us / 1_000)
            .with_model(&self.model)
            .with_prompt(&job.blocks, settings.block_tokens as u32, job.prompt_tokens);
        let table = &mut self.tables[router];
        let Some(index) = policy.choose(table, &request, &mut self.chance) else {
            return;
        };
        let Some(dispatch) = table.record_dispatch(index, &request) else {
            return;
        };
        self.requests.push(Request {
            router,
            dispatch,
            arrived_us: now_us,
            session,
            prompt_tokens: job.prompt_tokens,
            cached_tokens: 0,
        });
        let engine = self
            .indexes
            .iter()
            .position(|known| *known == index)
            .unwrap_or(0);
        self.events
            .schedule(now_us + WAY_US, Event::Arrive { engine, job });
    }

    fn step(&mut self, engine: usize, step: EngineStep, now_us: u64) {
        match step {
            EngineStep::Prefilling {
                job, cached_tokens, ..
            } => {
                self.requests[job.id].cached_tokens = cached_tokens.min(job.prompt_tokens);
                self.events
                    .schedule(now_us + WAY_US, Event::FirstToken { request: job.id });
                let (decode, next, diff) = self.engines[engine].finish_prefill(job, now_us);
                self.schedule(engine, Some(decode));
                self.schedule(engine, next);
                self.publish(engine, diff, now_us);
            }
            EngineStep::Decoding { job, .. } => {
                let (next, diff) = self.engines[engine].finish_request(&job, now_us);
                self.schedule(engine, next);
                self.publish(engine, diff, now_us);
                self.events
                    .schedule(now_us + WAY_US, Event::End { request: job.id });
            }
        }
    }

    fn end(&mut self, request: usize, now_us: u64) {
        let Request {
            router,
            dispatch,
            session,
            cached_tokens,
            ..
        } = self.requests[request];
        let end = DispatchOutcome::Completed {
            cached_tokens: Some(cached_tokens),
        };
        self.tables[router].record_end(dispatch, end, now_us / 1_000);
        let (least_us, most_us) = self.settings.sessions.pause_us;
        let pause_us = least_us + (session as u64 * 7_919_983) % (most_us - least_us);
        self.events
            .schedule(now_us + pause_us, Event::Turn(session));
    }

    fn schedule(&mut self, engine: usize, step: Option<EngineStep>) {
        let Some(step) = step else {
            return;
        };
        let at_us = match &step {
            EngineStep::Prefilling { at_us, .. } | EngineStep::Decoding { at_us, .. } => *at_us,
        };
        self.events.schedule(at_us, Event::Step { engine, step });
    }

    /// Sends a page of cache events on its way, or loses it.
    fn publish(&mut self, engine: usize, diff: CacheDiff, now_us: u64) {
        if diff.stored.is_empty() && diff.removed.is_empty() {
            return;
        }
        self.sequences[engine] += 2;
        let sequence = self.sequences[engine];
        if self.chance.random_range(0..1_000) < self.settings.lost_pages_permille {
            return;
        }
        let arrives_us = now_us + self.settings.event_lag_us;
        self.events.schedule(
            arrives_us,
            Event::CachePage {
                engine,
                sequence,
                diff,
            },
        );
    }

    fn deliver_page(&mut self, engine: usize, sequence: u64, diff: &CacheDiff, now_us: u64) {
        let now_ms = now_us / 1_000;
        let index = self.indexes[engine];
        for table in &mut self.tables {
            table.apply_cache_event(
                index,
                sequence - 1,
                &CacheChange::Stored(&diff.stored),
                now_ms,
            );
            table.apply_cache_event(
                index,
                sequence,
                &CacheChange::Removed(&diff.removed),
                now_ms,
            );
        }
    }

    fn load_report(&self, engine: usize, now_us: u64) -> LoadReport {
        let engine = &self.engines[engine];
        LoadReport {
            as_of_ms: now_us / 1_000,
            running: engine.running,
            waiting: engine.waiting(),
            batch_limit: engine.settings.batch_limit,
            models: vec![self.model.clone()],
            ..LoadReport::default()
        }
    }

    fn deliver_report(&mut self, engine: usize, report: &LoadReport, now_us: u64) {
        for table in &mut self.tables {
            table.apply_report(self.indexes[engine], report, now_us / 1_000);
        }
    }

    fn figures(mut self) -> Figures {
        let end_us = self.settings.end_us;
        for engine in &mut self.engines {
            engine.accumulate_busy_time(end_us);
        }
        let loads: Vec<u64> = self
            .engines
            .iter()
            .map(|engine| engine.busy_request_us)
            .collect();
        Figures {
            cached_permille: self.cached_tokens * 1_000 / self.prompt_tokens.max(1),
            peak_over_mean: peak_over_mean(&loads),
            variation: variation(&loads),
            first_token_us: self.first_token_us,
        }
    }
}
