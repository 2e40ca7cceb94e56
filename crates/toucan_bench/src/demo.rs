//! Demonstration: a small fleet under load during a network partition and its recovery.

use std::fs;
use std::io::{self, IsTerminal, Write};
use std::path::PathBuf;
use std::time::Duration;

use crate::checker::check;
use crate::fleet::Fleet;
use crate::history::{BudgetStatement, History};
use crate::load::{LoadSettings, Progress};
use crate::plan::{Action, Plan};
use crate::profile::FleetProfile;
use crate::run::{RunResult, RunSettings, run_plan};

/// Settings of [`demo`].
#[derive(Clone, Debug, Default)]
pub struct DemoSettings {
    /// Duration of the load, in seconds; without it the fleet runs until it is interrupted.
    pub seconds: Option<u64>,
    /// File to which the figures are written as JSON.
    pub json: Option<PathBuf>,
    /// Seed of the load.
    pub seed: u64,
}

/// Runs the demonstration and returns whether every promise was kept.
///
/// # Errors
/// Returns an error if the fleet does not start or the JSON file cannot be written.
pub fn demo(settings: &DemoSettings) -> io::Result<bool> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        println!("starting two data centres with two routers and two engines each");
        let plan = demo_plan(settings.seed, settings.seconds.unwrap_or(0));
        let fleet = Fleet::start(&plan).await?;
        match settings.seconds {
            Some(seconds) => run_for(fleet, settings, plan, seconds).await,
            None => run_until_interrupted(fleet).await,
        }
    })
}

/// Returns the load of the demonstration and its partition, from 30 % to 70 % of the run.
fn demo_plan(seed: u64, seconds: u64) -> Plan {
    let profile = FleetProfile::demo();
    let duration_ms = seconds * 1_000;
    Plan {
        load: LoadSettings {
            requests_per_s: profile.requests_per_s,
            duration_ms,
            seed,
            ..LoadSettings::default()
        },
        profile,
        actions: vec![
            (duration_ms * 3 / 10, Action::Isolate(1, true)),
            (duration_ms * 7 / 10, Action::Isolate(1, false)),
        ],
    }
}

async fn run_for(
    fleet: Fleet,
    settings: &DemoSettings,
    plan: Plan,
    seconds: u64,
) -> io::Result<bool> {
    println!(
        "driving {} requests/s for {seconds} s; the second data centre is cut off from the first \
         and from the platform between {} and {} s",
        plan.load.requests_per_s,
        seconds as f64 * 0.3,
        seconds as f64 * 0.7
    );
    let history = run_plan(&fleet, plan, print_progress).await;
    println!();
    fleet.shut_down().await;
    let check_result = check(&history);
    let run = RunSettings {
        scenario: "demo".to_owned(),
        profile: "demo".to_owned(),
        seed: settings.seed,
        seconds,
        ..RunSettings::default()
    };
    let mut result = RunResult::new(run, &history, &check_result);
    result.command = format!("toucanctl demo --seconds {seconds}");
    print_table(&result, &history);
    println!("verdict: {check_result}");
    if let Some(path) = &settings.json {
        fs::write(path, serde_json::to_string_pretty(&result)? + "\n")?;
    }
    Ok(check_result.is_ok())
}

fn print_progress(elapsed: Duration, progress: Progress) {
    let line = format!(
        "{:>4} s   started {:>6}   answered {:>6}   without an answer {:>4}   in progress {:>4}",
        elapsed.as_secs(),
        progress.started,
        progress.answered,
        progress.unanswered,
        progress.started - progress.answered - progress.unanswered
    );
    if io::stdout().is_terminal() {
        print!("\r{line}");
    } else {
        println!("{line}");
    }
    // A failed write to the terminal must not end the run.
    let _ = io::stdout().flush();
}

fn print_table(result: &RunResult, history: &History) {
    let figures = &result.figures;
    println!("requests                  {:>10}", figures.requests);
    println!("whole answers             {:>10}", figures.whole_answers);
    println!("refused requests          {:>10}", figures.refusals);
    for (code, count) in &result.refusals_by_code {
        println!("  attempts refused {code:<25} {count:>6}");
    }
    println!("false refusals            {:>10}", figures.false_refusals);
    println!("overspend, tokens         {:>10}", figures.overspend_tokens);
    println!("billed twice              {:>10}", figures.billed_twice);
    println!("unbilled                  {:>10}", figures.unbilled);
    println!(
        "time to first token       {:>10} ms median, {} ms 95th percentile",
        figures.first_token_p50_ms, figures.first_token_p95_ms
    );
    println!(
        "appends to the log        {:>10} a second",
        figures.appends_per_s
    );
    println!();
    println!("organisation         purchased        spent  outstanding         held    remaining");
    for budget in &history.budgets {
        let mut statements = history.statements.iter();
        let statement = statements.find(|statement| statement.budget == budget.budget);
        print_budget(
            &budget.organisation,
            &statement.cloned().unwrap_or_default(),
        );
    }
    println!();
}

fn print_budget(organisation: &str, statement: &BudgetStatement) {
    println!(
        "{organisation:<16} {:>13} {:>12} {:>12} {:>12} {:>12}",
        statement.purchased_tokens,
        statement.spent_tokens,
        statement.outstanding_tokens,
        statement.held_tokens,
        statement.remaining_tokens
    );
}

async fn run_until_interrupted(fleet: Fleet) -> io::Result<bool> {
    println!("\nrouters, for callers:");
    let nodes = fleet.directory().all();
    for node in &nodes {
        println!(
            "  {:<12} {:<6} http://{}",
            node.name, node.data_centre, node.address
        );
    }
    println!("routers, for operators:");
    for (name, address) in fleet.operators_addresses() {
        println!("  {name:<12} http://{address}");
    }
    let callers = fleet.document().callers.first();
    let operators = fleet.operators_addresses();
    if let (Some(node), Some(caller), Some((_, operators))) =
        (nodes.first(), callers, operators.first())
    {
        println!(
            "\ncurl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \
             -d '{{\"model\":\"drafter\",\"stream\":true,\"max_tokens\":24,\
             \"messages\":[{{\"role\":\"user\",\"content\":\"Draft a guarantee.\"}}]}}'",
            node.address, caller.key
        );
        println!(
            "curl http://{}/services/register/issue -H 'Authorization: Bearer {}' \
             -H 'Idempotency-Key: first' -d 'one guarantee'",
            node.address, caller.key
        );
        println!("curl http://{operators}/state");
    }
    println!("\nCtrl-C ends it.");
    tokio::signal::ctrl_c().await?;
    fleet.shut_down().await;
    Ok(true)
}
