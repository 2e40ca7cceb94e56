//! Compares the draw policies on the same scenarios and seeds.
//!
//! `cargo run --release -p toucan_ledger --example draw_policies [SEEDS [NAME]]`

mod fleet;
mod scenario;

use fleet::{Fleet, Outcome};
use scenario::Scenario;
use toucan_ledger::{AdaptiveDraw, DrawPerRequest, DrawPolicy, EvenSplit, FixedChunk};
use toucan_types::Tokens;

const CHUNK: FixedChunk = FixedChunk {
    chunk_tokens: Tokens(100_000),
};

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(3);
    println!(
        "| run | policy | requests | false refusals | with > 1/10 left | true refusals | draws | appends | \
         at hand ‰ | at hand at the end ‰ |"
    );
    println!("|---|---|---:|---:|---:|---:|---:|---:|---:|---:|");
    let wanted = std::env::args().nth(2).unwrap_or_default();
    let mut scenarios = scenario::all();
    scenarios.retain(|scenario| scenario.name.contains(&wanted));
    let rows = std::thread::scope(|scope| {
        let threads = scenarios
            .iter()
            .map(|scenario| scope.spawn(move || compare(scenario, seeds)));
        let threads: Vec<_> = threads.collect();
        let rows = threads
            .into_iter()
            .map(|thread| thread.join().expect("no run panics"));
        rows.collect::<Vec<_>>()
    });
    for row in rows {
        print!("{row}");
    }
}

fn compare(scenario: &Scenario, seeds: u64) -> String {
    let rows = [
        ("adaptive", run(scenario, &AdaptiveDraw::default(), seeds)),
        ("even split", run(scenario, &EvenSplit, seeds)),
        ("each request", run(scenario, &DrawPerRequest, seeds)),
        ("fixed chunk", run(scenario, &CHUNK, seeds)),
    ];
    let best = rows[1..]
        .iter()
        .map(|(_, outcome)| outcome.false_refusals)
        .min()
        .unwrap_or(0);
    let lines = rows.iter().map(|(policy, outcome)| {
        let worse = *policy == "adaptive" && outcome.false_refusals > best;
        format!(
            "| {} | {policy} | {} | {}{} | {} | {} | {} | {} | {} | {} |\n",
            scenario.name,
            outcome.requests,
            outcome.false_refusals,
            if worse { " (worse)" } else { "" },
            outcome.early_false_refusals,
            outcome.true_refusals,
            outcome.draws,
            outcome.appends,
            outcome.unreserved_permille,
            outcome.stranded_permille,
        )
    });
    lines.collect()
}

fn run(scenario: &Scenario, policy: &impl DrawPolicy, seeds: u64) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..seeds {
        let outcome = Fleet::new(scenario, policy, seed).run();
        total.requests += outcome.requests;
        total.false_refusals += outcome.false_refusals;
        total.early_false_refusals += outcome.early_false_refusals;
        total.true_refusals += outcome.true_refusals;
        total.draws += outcome.draws;
        total.appends += outcome.appends;
        total.unreserved_permille += outcome.unreserved_permille / seeds;
        total.stranded_permille += outcome.stranded_permille / seeds;
    }
    total
}
