//! Compares target policies on the same requests in an event-driven simulation.
//!
//! ```text
//! cargo run --release -p toucan_router --example target_policies [12|1400 [SEED [REQUESTS_PER_S [LOST_PAGES_PERMILLE]]]]
//! ```
//!
//! The target table with its load corrections and prefix cache estimates is the real one; engines,
//! sessions and the network are simulated. Each row of the output is one policy.

#[path = "../fleet_model/mod.rs"]
mod fleet_model;
mod run;

use fleet_model::figures::{ms, quantile};
use run::{Fleet, FleetSettings, RunResults};
use toucan_router::{
    LeastLoadedByReport, PowerOfTwoChoices, PrefixAware, PrefixAwareSettings, PrefixHash, Random,
    TargetPolicy,
};

fn main() {
    let chosen = std::env::args().nth(1);
    let sizes = [
        ("12", FleetSettings::current_size()),
        ("1400", FleetSettings::full_size()),
    ];
    let number = |at| std::env::args().nth(at).and_then(|text| text.parse().ok());
    let (seed, requests_per_s, lost) = (number(2), number(3), number(4));
    for (name, mut settings) in sizes {
        settings.seed = seed.unwrap_or(settings.seed);
        settings.requests_per_s = requests_per_s.unwrap_or(settings.requests_per_s);
        settings.lost_pages_permille = lost.unwrap_or(settings.lost_pages_permille.into()) as u32;
        if chosen.as_deref().is_none_or(|chosen| chosen == name) {
            compare(name, &settings);
        }
    }
}

fn compare(name: &str, settings: &FleetSettings) {
    println!(
        "\n{name} targets, {} routers, about {} requests/s, reports each {} ms and {} ms late, {} permille of event pages lost",
        settings.routers,
        settings.requests_per_s,
        settings.report_period_us / 1_000,
        settings.report_lag_us / 1_000,
        settings.lost_pages_permille,
    );
    println!(
        "| policy | requests/s | TTFT p50 ms | p95 ms | p99 ms | cached prompt tokens | peak/mean load | variation of load |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let one_random_candidate = PrefixAware {
        settings: PrefixAwareSettings {
            random_candidates: 1,
            ..PrefixAwareSettings::default()
        },
    };
    let short_prefix = PrefixHash { block: 7 };
    let long_prefix = PrefixHash { block: 127 };
    // Each run is deterministic on its own, so the runs can be parallel.
    std::thread::scope(|scope| {
        let rows = [
            scope.spawn(|| row("random", settings, &Random)),
            scope.spawn(|| row("least loaded by report", settings, &LeastLoadedByReport)),
            scope.spawn(|| row("power of two choices", settings, &PowerOfTwoChoices)),
            scope.spawn(|| row("prefix hash, 128 tokens", settings, &short_prefix)),
            scope.spawn(|| row("prefix hash, 2,048 tokens", settings, &long_prefix)),
            scope.spawn(|| row("prefix aware", settings, &PrefixAware::default())),
            scope.spawn(|| row("prefix aware, one sample", settings, &one_random_candidate)),
        ];
        for row in rows {
            println!("{}", row.join().expect("a run does not panic"));
        }
    });
}

fn row(name: &str, settings: &FleetSettings, policy: &impl TargetPolicy) -> String {
    let RunResults {
        mut first_token_us,
        cached_permille,
        peak_over_mean,
        variation,
    } = Fleet::new(settings).run(policy);
    let measured_s = (settings.end_us - settings.warm_up_us) / 1_000_000;
    let requests_per_s = first_token_us.len() as u64 / measured_s;
    let mut quantile_ms = |permille| ms(quantile(&mut first_token_us, permille));
    format!(
        "| {name} | {requests_per_s} | {} | {} | {} | {}.{} % | {peak_over_mean:.2} | {variation:.2} |",
        quantile_ms(500),
        quantile_ms(950),
        quantile_ms(990),
        cached_permille / 10,
        cached_permille % 10,
    )
}
