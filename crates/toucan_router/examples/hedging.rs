//! Time to the first token with and without hedging, with all engines well and with one slow.
//!
//! ```text
//! cargo run --release -p toucan_router --example hedging
//! ```
//!
//! Twelve engines behind one router, requests without shared prefixes. A hedge goes to another
//! target; the first token decides, and the other attempt is cancelled at its engine.

#[path = "fleet_model/mod.rs"]
mod fleet_model;

use std::sync::Arc;

use fleet_model::engine::{Engine, EngineSettings, EngineStep, Job};
use fleet_model::events::EventQueue;
use fleet_model::figures::{ms, quantile};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use toucan_router::{
    ChoiceRequest, DispatchId, DispatchOutcome, HedgePolicy, HedgeSettings, LoadReport,
    PrefixAware, TargetDescription, TargetIndex, TargetPolicy, TargetTable, TargetTableSettings,
};
use toucan_types::{Permille, ServiceName};

const ENGINES: usize = 12;
const WARM_UP_US: u64 = 30_000_000;
const END_US: u64 = 330_000_000;
const REPORT_PERIOD_US: u64 = 1_000_000;
const REPORT_LAG_US: u64 = 500_000;

#[derive(Debug)]
enum Event {
    Arrival,
    Hedge { request: usize },
    Step { engine: usize, step: EngineStep },
    Report { engine: usize },
    ReportArrives { engine: usize, report: LoadReport },
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    engine: usize,
    target: TargetIndex,
    dispatch: DispatchId,
    is_decoding: bool,
    is_cancelled: bool,
}

#[derive(Debug)]
struct Request {
    arrived_us: u64,
    prompt_tokens: u64,
    output_tokens: u64,
    attempts: Vec<usize>,
    has_first_token: bool,
}

struct Run {
    service: ServiceName,
    engines: Vec<Engine>,
    indexes: Vec<TargetIndex>,
    table: TargetTable,
    policy: HedgePolicy,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    events: EventQueue<Event>,
    requests_per_s: f64,
    chance: SmallRng,
    first_token_us: Vec<u64>,
}

fn main() {
    println!(
        "| requests/s | engines | hedging | TTFT p50 ms | p95 ms | p99 ms | p99.9 ms | attempts per request |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for requests_per_s in [30.0, 48.0] {
        for slowness_permille in [1_000, 8_000] {
            for most_share in [0, 20, 100] {
                let settings = HedgeSettings {
                    enabled: most_share > 0,
                    most_share: Permille(most_share),
                    ..HedgeSettings::default()
                };
                println!("{}", row(requests_per_s, slowness_permille, settings));
            }
        }
    }
}

fn row(requests_per_s: f64, slowness_permille: u64, settings: HedgeSettings) -> String {
    let mut run = Run::new(requests_per_s, slowness_permille, settings);
    run.run();
    let mut at = |permille| ms(quantile(&mut run.first_token_us, permille));
    let (p50, p95, p99) = (at(500), at(950), at(990));
    let rare = run.first_token_us.len() * 999 / 1_000;
    let engines = if slowness_permille > 1_000 {
        "one 8 times slower"
    } else {
        "all well"
    };
    let hedging = match settings.most_share.0 {
        0 => "off".to_owned(),
        share => format!("up to {}%", share / 10),
    };
    format!(
        "| {requests_per_s} | {engines} | {hedging} | {p50} | {p95} | {p99} | {} | {:.3} |",
        ms(run.first_token_us[rare]),
        run.attempts.len() as f64 / run.requests.len() as f64,
    )
}

impl Run {
    fn new(requests_per_s: f64, slowness_permille: u64, settings: HedgeSettings) -> Self {
        let service = ServiceName::from("drafting");
        let mut table = TargetTable::new(TargetTableSettings::default(), "qc-1".into());
        let engine = EngineSettings::default();
        let indexes = (0..ENGINES)
            .map(|number| {
                table.upsert(TargetDescription {
                    name: format!("engine-{number}").into(),
                    service: service.clone(),
                    data_centre: "qc-1".into(),
                    batch_limit: engine.batch_limit,
                })
            })
            .collect();
        let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::new(engine)).collect();
        engines[0].settings.slowness_permille = slowness_permille;
        Self {
            service,
            engines,
            indexes,
            table,
            policy: HedgePolicy::new(settings),
            requests: Vec::new(),
            attempts: Vec::new(),
            events: EventQueue::new(),
            requests_per_s,
            chance: SmallRng::seed_from_u64(5),
            first_token_us: Vec::new(),
        }
    }

    fn run(&mut self) {
        self.events.schedule(0, Event::Arrival);
        for engine in 0..ENGINES {
            self.events
                .schedule(engine as u64 * 80_000, Event::Report { engine });
        }
        while let Some((now_us, event)) = self.events.pop() {
            if now_us >= END_US {
                return;
            }
            self.handle(event, now_us);
        }
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrival => self.arrive(now_us),
            Event::Hedge { request } => self.hedge(request, now_us),
            Event::Step {
                engine,
                step: EngineStep::Prefilling { job, .. },
            } => {
                self.prefilled(engine, job, now_us);
            }
            Event::Step {
                engine,
                step: EngineStep::Decoding { job, .. },
            } => {
                if self.attempts[job.id].is_cancelled {
                    return;
                }
                let (next, _) = self.engines[engine].finish_request(&job, now_us);
                self.schedule(engine, next);
                let end = DispatchOutcome::Completed {
                    cached_tokens: None,
                };
                self.table
                    .record_end(self.attempts[job.id].dispatch, end, now_us / 1_000);
            }
            Event::Report { engine } => {
                let report = self.load_report(engine, now_us);
                self.events.schedule(
                    now_us + REPORT_LAG_US,
                    Event::ReportArrives { engine, report },
                );
                self.events
                    .schedule(now_us + REPORT_PERIOD_US, Event::Report { engine });
            }
            Event::ReportArrives { engine, report } => {
                self.table
                    .apply_report(self.indexes[engine], &report, now_us / 1_000);
            }
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let uniform: f64 = self.chance.random();
        let gap_us = -(1.0 - uniform).ln() * 1_000_000.0 / self.requests_per_s;
        self.events.schedule(now_us + gap_us as u64, Event::Arrival);
        let number = self.requests.len();
        self.requests.push(Request {
            arrived_us: now_us,
            prompt_tokens: self.chance.random_range(300..2_000),
            output_tokens: self.chance.random_range(100..500),
            attempts: Vec::new(),
            has_first_token: false,
        });
        self.attempt(number, now_us);
        if let Some(wait_ms) = self.policy.wait_ms(true) {
            self.events
                .schedule(now_us + wait_ms * 1_000, Event::Hedge { request: number });
        }
    }

    fn hedge(&mut self, request: usize, now_us: u64) {
        let waited_ms = (now_us - self.requests[request].arrived_us) / 1_000;
        if !self.requests[request].has_first_token && self.policy.take(true, waited_ms) {
            self.attempt(request, now_us);
        }
    }

    fn attempt(&mut self, number: usize, now_us: u64) {
        let service = self.service.clone();
        let request = &self.requests[number];
        let tried: Vec<TargetIndex> = request
            .attempts
            .iter()
            .map(|attempt| self.attempts[*attempt].target)
            .collect();
        let choice = ChoiceRequest::new(&service, now_us / 1_000)
            .with_prompt(&[], 16, request.prompt_tokens)
            .excluding(&tried);
        let chosen = PrefixAware::default().choose(&self.table, &choice, &mut self.chance);
        let Some(target) = chosen else {
            return;
        };
        let Some(dispatch) = self.table.record_dispatch(target, &choice) else {
            return;
        };
        let engine = self
            .indexes
            .iter()
            .position(|known| *known == target)
            .unwrap_or(0);
        let id = self.attempts.len();
        let job = Job {
            id,
            blocks: Arc::from([]),
            answer_blocks: Arc::from([]),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            priority: 0,
        };
        self.requests[number].attempts.push(id);
        self.attempts.push(Attempt {
            request: number,
            engine,
            target,
            dispatch,
            is_decoding: false,
            is_cancelled: false,
        });
        let step = self.engines[engine].arrive(job, now_us);
        self.schedule(engine, step);
    }

    fn prefilled(&mut self, engine: usize, job: Job, now_us: u64) {
        let id = job.id;
        let (decode, next, _) = self.engines[engine].finish_prefill(job, now_us);
        self.schedule(engine, next);
        if self.attempts[id].is_cancelled {
            let next = self.engines[engine].release_slot(now_us);
            self.schedule(engine, next);
            return;
        }
        self.schedule(engine, Some(decode));
        self.attempts[id].is_decoding = true;
        self.table
            .record_first_token(self.attempts[id].dispatch, now_us / 1_000);
        self.answered(id, now_us);
    }

    /// Takes the first token of a request and cancels its other attempt.
    fn answered(&mut self, id: usize, now_us: u64) {
        let request = &mut self.requests[self.attempts[id].request];
        request.has_first_token = true;
        let first_token_us = now_us - request.arrived_us;
        self.policy.answered(first_token_us / 1_000);
        if request.arrived_us >= WARM_UP_US {
            self.first_token_us.push(first_token_us);
        }
        for other in request.attempts.clone() {
            if other != id {
                self.cancel(other, now_us);
            }
        }
    }

    fn cancel(&mut self, id: usize, now_us: u64) {
        let attempt = &mut self.attempts[id];
        attempt.is_cancelled = true;
        self.table
            .record_end(attempt.dispatch, DispatchOutcome::Cancelled, now_us / 1_000);
        let engine = attempt.engine;
        let next = self.engines[engine].cancel(id, attempt.is_decoding, now_us);
        self.schedule(engine, next);
    }

    fn load_report(&self, engine: usize, now_us: u64) -> LoadReport {
        let engine = &self.engines[engine];
        LoadReport {
            as_of_ms: now_us / 1_000,
            running: engine.running,
            waiting: engine.waiting(),
            batch_limit: engine.settings.batch_limit,
            ..LoadReport::default()
        }
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
}
