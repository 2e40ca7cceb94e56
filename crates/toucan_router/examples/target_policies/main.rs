//! Compares policies of choosing targets over the same requests in an event-driven model.
//!
//! ```text
//! cargo run --release -p toucan_router --example target_policies [12|1400 [SEED [REQUESTS_PER_S [LOST_PAGES_PERMILLE]]]]
//! ```
//!
//! The target table, its corrections and its belief in prefixes are the real ones; engines, sessions
//! and the network are modelled. Each row of the output is one policy.

#[path = "../fleet_model/mod.rs"]
mod fleet_model;
mod run;

use fleet_model::figures::{ms, quantile};
use run::{Figures, Fleet, FleetSettings};
use toucan_router::{
    LeastLoadedByReport, PowerOfTwoChoices, PrefixAware, PrefixAwareSettings, PrefixHash, Random,
    TargetPolicy,
};

fn main() {
    let chosen = std::env::args().nth(1);
    let sizes = [
        ("12", FleetSettings::today()),
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
    let one_sample = PrefixAware {
        settings: PrefixAwareSettings {
            samples: 1,
            ..PrefixAwareSettings::default()
        },
    };
    let short = PrefixHash { block: 7 };
    let long = PrefixHash { block: 127 };
    // Each policy's run is deterministic by itself, so they may run side by side.
    std::thread::scope(|scope| {
        let rows = [
            scope.spawn(|| row("random", settings, &Random)),
            scope.spawn(|| row("least loaded by report", settings, &LeastLoadedByReport)),
            scope.spawn(|| row("power of two choices", settings, &PowerOfTwoChoices)),
            scope.spawn(|| row("prefix hash, 128 tokens", settings, &short)),
            scope.spawn(|| row("prefix hash, 2,048 tokens", settings, &long)),
            scope.spawn(|| row("prefix aware", settings, &PrefixAware::default())),
            scope.spawn(|| row("prefix aware, one sample", settings, &one_sample)),
        ];
        for row in rows {
            println!("{}", row.join().expect("a run does not panic"));
        }
    });
}

fn row(name: &str, settings: &FleetSettings, policy: &impl TargetPolicy) -> String {
    let Figures {
        mut first_token_us,
        cached_permille,
        peak_over_mean,
        variation,
    } = Fleet::new(settings).run(policy);
    let measured_s = (settings.end_us - settings.warm_up_us) / 1_000_000;
    let requests_per_s = first_token_us.len() as u64 / measured_s;
    let mut at = |permille| ms(quantile(&mut first_token_us, permille));
    format!(
        "| {name} | {requests_per_s} | {} | {} | {} | {}.{} % | {peak_over_mean:.2} | {variation:.2} |",
        at(500),
        at(950),
        at(990),
        cached_permille / 10,
        cached_permille % 10,
    )
}
