//! Overhead of a router: compares requests sent directly to an engine with requests through a router.

use std::fs;
use std::io;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::checker::percentile;
use crate::fleet::Fleet;
use crate::history::{Attempt, RequestHistory};
use crate::load::{Caller, LoadSettings, NodeAddress, NodeDirectory, draw_request};
use crate::plan::Plan;
use crate::profile::FleetProfile;

/// Number of timed request pairs, one request on each path.
const TIMED_PAIRS: u64 = 150;
/// Requests in flight while the rate is measured.
const CONCURRENCY: u64 = 32;
/// Duration of the rate measurement on each path.
const RATE_DURATION: Duration = Duration::from_secs(4);
/// Clock ticks per second (`USER_HZ`) in which the kernel reports processor time.
const TICKS_PER_S: f64 = 100.0;

/// Figures of one request path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PathFigures {
    /// Median time to the first token.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: f64,
    /// Median over the streams of the mean time between tokens.
    pub between_tokens_p50_ms: f64,
    /// 95th percentile over the streams of the mean time between tokens.
    pub between_tokens_p95_ms: f64,
    /// Requests per second at a fixed number of requests in flight.
    pub requests_per_s: f64,
    /// Processor time per request of the whole process, including callers and stand-ins.
    pub cpu_us_per_request: f64,
}

/// Figures of both request paths and their differences.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Overhead {
    /// Requests sent directly to the engine.
    pub direct: PathFigures,
    /// Requests sent through a router.
    pub routed: PathFigures,
    /// Increase of the median time to the first token that the router causes.
    pub added_first_token_p50_ms: f64,
    /// Processor time of the router per request: the difference of both paths.
    pub router_cpu_us_per_request: f64,
    /// Requests per second that one core of a router can handle.
    pub requests_per_s_per_core: f64,
}

/// One request path with the caller that sends on it.
struct RequestPath {
    name: &'static str,
    caller: Caller,
    profile: FleetProfile,
    fleet: Fleet,
    settings: LoadSettings,
}

/// Measures both paths, with alternating requests for the latencies.
pub async fn measure_overhead(seed: u64) -> io::Result<Overhead> {
    let mut profile = FleetProfile::demo();
    profile.data_centres.truncate(1);
    profile.data_centres[0].1 = 1;
    profile.engines = 1;
    let load = LoadSettings {
        seed,
        streamed_permille: 1_000,
        service_permille: 0,
        max_attempts: 1,
        ..LoadSettings::default()
    };
    let plan = Plan {
        profile,
        load: load.clone(),
        actions: Vec::new(),
    };
    let fleet = Fleet::start(&plan).await?;
    let engines = NodeDirectory::default();
    if let Some(engine) = fleet.standins.engines.first() {
        engines.add(NodeAddress {
            name: engine.name().to_owned(),
            data_centre: String::new(),
            address: engine.address(),
        });
    }
    let request_path = |name, nodes| RequestPath {
        name,
        caller: Caller::new(nodes, load.clone()),
        profile: plan.profile.clone(),
        fleet: fleet.clone(),
        settings: load.clone(),
    };
    let direct = request_path("direct", engines);
    let routed = request_path("routed", fleet.directory().clone());
    let (mut direct_times, mut routed_times) = (Vec::new(), Vec::new());
    for number in 0..TIMED_PAIRS {
        direct_times.extend(direct.request(number).await);
        routed_times.extend(routed.request(number).await);
    }
    let direct = direct.figures(&direct_times).await;
    let routed = routed.figures(&routed_times).await;
    fleet.shut_down().await;
    let router_us = routed.cpu_us_per_request - direct.cpu_us_per_request;
    Ok(Overhead {
        added_first_token_p50_ms: routed.first_token_p50_ms - direct.first_token_p50_ms,
        router_cpu_us_per_request: router_us,
        requests_per_s_per_core: 1_000_000.0 / router_us.max(1.0),
        direct,
        routed,
    })
}

impl RequestPath {
    async fn request(&self, number: u64) -> Option<RequestHistory> {
        let mut random = StdRng::seed_from_u64(number);
        let mut settings = self.settings.clone();
        settings.seed = self.settings.seed * 10 + u64::from(self.name == "routed");
        let callers = &self.fleet.document().callers;
        let planned = draw_request(&self.profile, callers, &settings, number, &mut random)?;
        Some(self.caller.run(planned, number).await)
    }

    async fn figures(&self, timed: &[RequestHistory]) -> PathFigures {
        let ms = |time: fn(&Attempt) -> Option<u64>, permille| {
            let attempts = timed.iter().flat_map(|request| &request.attempts);
            let mut times: Vec<u64> = attempts.filter_map(time).collect();
            times.sort_unstable();
            percentile(&times, permille) as f64 / 1_000.0
        };
        let cpu_before = process_cpu_us();
        let start = Instant::now();
        let workers = (0..CONCURRENCY).map(|worker| async move {
            let mut answered = 0;
            let mut number = TIMED_PAIRS + worker;
            while start.elapsed() < RATE_DURATION {
                let request = self.request(number).await;
                answered += u64::from(request.is_some_and(|request| request.is_answered()));
                number += CONCURRENCY;
            }
            answered
        });
        let answered: u64 = futures_util::future::join_all(workers)
            .await
            .into_iter()
            .sum();
        let cpu_us = process_cpu_us() - cpu_before;
        PathFigures {
            first_token_p50_ms: ms(|attempt| attempt.first_token_us, 500),
            first_token_p95_ms: ms(|attempt| attempt.first_token_us, 950),
            between_tokens_p50_ms: ms(|attempt| attempt.between_tokens_us, 500),
            between_tokens_p95_ms: ms(|attempt| attempt.between_tokens_us, 950),
            requests_per_s: answered as f64 / start.elapsed().as_secs_f64(),
            cpu_us_per_request: cpu_us / answered.max(1) as f64,
        }
    }
}

/// Returns the processor time of this process, in microseconds.
pub(crate) fn process_cpu_us() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The program name ends with a parenthesis and may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S * 1_000_000.0
}
