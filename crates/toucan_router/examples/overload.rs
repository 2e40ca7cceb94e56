//! Goodput and order of classes below and above capacity, with and without the admission queue.
//!
//! ```text
//! cargo run --release -p toucan_router --example overload
//! ```
//!
//! Four engines behind one router; requests arrive at random at a multiple of the capacity and do not
//! slow down when refused. An answer counts if it is complete by its deadline.

#[path = "fleet_model/mod.rs"]
mod fleet_model;

use std::sync::Arc;

use fleet_model::engine::{Engine, EngineSettings, EngineStep, Job};
use fleet_model::events::EventQueue;
use fleet_model::figures::{ms, quantile};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use toucan_router::{
    AdmissionQueue, ChoiceRequest, DispatchId, DispatchOutcome, LoadReport, PrefixAware,
    QueueEntry, QueueSettings, SchedulingShare, TargetDescription, TargetPolicy, TargetTable,
    TargetTableSettings,
};
use toucan_types::{Permille, ServiceName, Tokens};

const ENGINES: usize = 4;
/// Requests a second that the engines complete when their batches are full.
const CAPACITY_PER_S: f64 = 27.0;
const WARM_UP_US: u64 = 30_000_000;
const END_US: u64 = 330_000_000;
/// Requests that arrive later could end after the run and are not counted.
const COUNT_UNTIL_US: u64 = 270_000_000;
const REPORT_PERIOD_US: u64 = 1_000_000;
const REPORT_LAG_US: u64 = 500_000;
/// Time that a router expects per token of an answer.
const EXPECTED_TOKEN_MS: u64 = 25;

/// Name, share of the requests in thousandths, time to the deadline.
const CLASSES: [(&str, u32, u64); 3] = [
    ("interactive", 300, 14_000),
    ("standard", 400, 25_000),
    ("batch", 300, 60_000),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Admission {
    /// Each request goes to a target at once.
    None,
    /// The queue in order of classes, with early refusal.
    Queue(QueueKind),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum QueueKind {
    Ageing,
    Strict,
}

#[derive(Debug)]
enum Event {
    Arrival,
    Step { engine: usize, step: EngineStep },
    Report { engine: usize },
    ReportArrives { engine: usize, report: LoadReport },
}

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    arrived_us: u64,
    deadline_us: u64,
    job: Job,
    dispatch: Option<DispatchId>,
}

#[derive(Clone, Debug, Default)]
struct ClassFigures {
    offered: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    tokens_in_time: u64,
    refusal_us: Vec<u64>,
    wait_us: Vec<u64>,
}

struct Run {
    admission: Admission,
    service: ServiceName,
    engines: Vec<Engine>,
    table: TargetTable,
    queue: AdmissionQueue<usize>,
    requests: Vec<Request>,
    events: EventQueue<Event>,
    gap_us: f64,
    chance: SmallRng,
    classes: [ClassFigures; 3],
}

fn main() {
    for (name, admission) in [
        ("queue with ageing", Admission::Queue(QueueKind::Ageing)),
        ("queue, strict", Admission::Queue(QueueKind::Strict)),
        ("no queue", Admission::None),
    ] {
        println!("\n{name}");
        println!(
            "| load | answers in time/s | tokens in time/s | late/s | in time of interactive, standard, batch | wait p95 ms of each | time to refusal p95, p99 ms |"
        );
        println!("|---|---|---|---|---|---|---|");
        for load in [0.5, 1.0, 1.5, 2.0, 3.0] {
            println!("{}", row(load, Run::new(admission, load).finish()));
        }
    }
}

fn row(load: f64, mut classes: [ClassFigures; 3]) -> String {
    let seconds = ((COUNT_UNTIL_US - WARM_UP_US) / 1_000_000) as f64;
    let total = |of: fn(&ClassFigures) -> u64| classes.iter().map(of).sum::<u64>() as f64 / seconds;
    let in_time = total(|class| class.in_time);
    let tokens = total(|class| class.tokens_in_time);
    let late = total(|class| class.late);
    let shares = classes.each_ref().map(|class| {
        format!(
            "{:.0} %",
            100.0 * class.in_time as f64 / class.offered.max(1) as f64
        )
    });
    let waits = classes
        .each_mut()
        .map(|class| ms(quantile(&mut class.wait_us, 950)));
    let mut refusals: Vec<u64> = classes
        .iter()
        .flat_map(|class| class.refusal_us.clone())
        .collect();
    format!(
        "| {load}x | {in_time:.1} | {tokens:.0} | {late:.1} | {} | {} | {}, {} |",
        shares.join(", "),
        waits.join(", "),
        ms(quantile(&mut refusals, 950)),
        ms(quantile(&mut refusals, 990)),
    )
}

impl Run {
    fn new(admission: Admission, load: f64) -> Self {
        let mut settings = QueueSettings::default().with_capacity(512);
        for (rank, (class, _, _)) in (0_u32..).zip(CLASSES) {
            settings = settings.with_class(class, SchedulingShare::ranked(rank));
        }
        if admission == Admission::Queue(QueueKind::Strict) {
            settings.aged_share = Permille(0);
        }
        let service = ServiceName::from("drafting");
        let mut table = TargetTable::new(TargetTableSettings::default(), "qc-1".into());
        let engine = EngineSettings::default();
        for number in 0..ENGINES {
            table.upsert(TargetDescription {
                name: format!("engine-{number}").into(),
                service: service.clone(),
                data_centre: "qc-1".into(),
                batch_limit: engine.batch_limit,
            });
        }
        Self {
            admission,
            service,
            engines: (0..ENGINES).map(|_| Engine::new(engine)).collect(),
            table,
            queue: AdmissionQueue::new(settings),
            requests: Vec::new(),
            events: EventQueue::new(),
            gap_us: 1_000_000.0 / (CAPACITY_PER_S * load),
            chance: SmallRng::seed_from_u64(5),
            classes: Default::default(),
        }
    }

    fn finish(mut self) -> [ClassFigures; 3] {
        self.events.schedule(0, Event::Arrival);
        for engine in 0..ENGINES {
            self.events
                .schedule(engine as u64 * 100_000, Event::Report { engine });
        }
        while let Some((now_us, event)) = self.events.pop() {
            if now_us >= END_US {
                break;
            }
            self.handle(event, now_us);
            self.serve(now_us);
        }
        self.classes
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrival => self.arrive(now_us),
            Event::Step {
                engine,
                step: EngineStep::Prefilling { job, .. },
            } => {
                if let Some(dispatch) = self.requests[job.id].dispatch {
                    self.table.record_first_token(dispatch, now_us / 1_000);
                }
                let (decode, next, _) = self.engines[engine].finish_prefill(job, now_us);
                self.schedule(engine, Some(decode));
                self.schedule(engine, next);
            }
            Event::Step {
                engine,
                step: EngineStep::Decoding { job, .. },
            } => {
                let (next, _) = self.engines[engine].finish_request(&job, now_us);
                self.schedule(engine, next);
                self.complete(job.id, now_us);
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
                let name = format!("engine-{engine}").into();
                if let Some(index) = self.table.index(&name) {
                    self.table.apply_report(index, &report, now_us / 1_000);
                }
            }
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let uniform: f64 = self.chance.random();
        let next_us = now_us + (-(1.0 - uniform).ln() * self.gap_us) as u64;
        self.events.schedule(next_us, Event::Arrival);
        let id = self.requests.len();
        let class = self.draw_class();
        let prompt_tokens = self.chance.random_range(300..1_200);
        let output_tokens = self.chance.random_range(100..500);
        let job = Job {
            id,
            blocks: Arc::from([]),
            answer_blocks: Arc::from([]),
            prompt_tokens,
            output_tokens,
            priority: 0,
        };
        let deadline_us = now_us + CLASSES[class].2 * 1_000;
        self.requests.push(Request {
            class,
            arrived_us: now_us,
            deadline_us,
            job,
            dispatch: None,
        });
        self.count(id, |figures| figures.offered += 1);
        if self.admission == Admission::None {
            self.dispatch(id, false, now_us);
            return;
        }
        let entry = QueueEntry {
            class: CLASSES[class].0.into(),
            organisation: "guild".into(),
            deadline_ms: deadline_us / 1_000,
            service_ms: output_tokens * EXPECTED_TOKEN_MS,
            cost_tokens: Tokens(prompt_tokens + output_tokens),
            enqueued_at_ms: now_us / 1_000,
            ..QueueEntry::default()
        };
        if self.queue.push(id, entry, now_us / 1_000).is_err() {
            self.refuse(id, now_us);
        }
    }

    /// Dispatches what the queue gives while there are free places.
    fn serve(&mut self, now_us: u64) {
        let now_ms = now_us / 1_000;
        for refused in self.queue.take_refused(now_ms) {
            self.refuse(refused.item, now_us);
        }
        let service = self.service.clone();
        let request = ChoiceRequest::new(&service, now_ms);
        while let Some((id, _)) = self
            .queue
            .pop(now_ms, |_, _| self.table.has_capacity(&request))
        {
            self.dispatch(id, true, now_us);
        }
    }

    fn dispatch(&mut self, id: usize, require_free_slot: bool, now_us: u64) {
        let job = self.requests[id].job.clone();
        let service = self.service.clone();
        let request = ChoiceRequest {
            require_free_slot,
            ..ChoiceRequest::new(&service, now_us / 1_000).with_prompt(&[], 16, job.prompt_tokens)
        };
        let chosen = PrefixAware::default().choose(&self.table, &request, &mut self.chance);
        let Some(index) = chosen else {
            self.refuse(id, now_us);
            return;
        };
        let wait_us = now_us - self.requests[id].arrived_us;
        self.count(id, |figures| figures.wait_us.push(wait_us));
        self.requests[id].dispatch = self.table.record_dispatch(index, &request);
        let name = self
            .table
            .get(index)
            .map(|target| target.name().to_string());
        let engine = name
            .and_then(|name| name.strip_prefix("engine-")?.parse().ok())
            .unwrap_or(0);
        let step = self.engines[engine].arrive(job, now_us);
        self.schedule(engine, step);
    }

    fn complete(&mut self, id: usize, now_us: u64) {
        let Request {
            dispatch,
            deadline_us,
            ref job,
            ..
        } = self.requests[id];
        let tokens = job.output_tokens;
        if let Some(dispatch) = dispatch {
            let end = DispatchOutcome::Completed {
                cached_tokens: None,
            };
            self.table.record_end(dispatch, end, now_us / 1_000);
        }
        self.count(id, |figures| {
            if now_us <= deadline_us {
                figures.in_time += 1;
                figures.tokens_in_time += tokens;
            } else {
                figures.late += 1;
            }
        });
    }

    fn refuse(&mut self, id: usize, now_us: u64) {
        let waited_us = now_us - self.requests[id].arrived_us;
        self.count(id, |figures| {
            figures.refused += 1;
            figures.refusal_us.push(waited_us);
        });
    }

    /// Counts for requests that arrived after the warm-up and could end within the run.
    fn count(&mut self, id: usize, change: impl FnOnce(&mut ClassFigures)) {
        let request = &self.requests[id];
        if (WARM_UP_US..COUNT_UNTIL_US).contains(&request.arrived_us) {
            change(&mut self.classes[request.class]);
        }
    }

    fn draw_class(&mut self) -> usize {
        let mut rest = self.chance.random_range(0..1_000);
        for (class, (_, share, _)) in CLASSES.iter().enumerate() {
            if rest < *share {
                return class;
            }
            rest -= share;
        }
        CLASSES.len() - 1
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
