//! Commands of the program.

use std::fs;
use std::io;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pico_args::Arguments;
use toucan_bench::{
    DemoSettings, FinishedRun, Progress, RunSettings, Scenario, demo, fill_page, markdown_table,
    measure_overhead, measure_slopes, probe, read_results, read_slopes, run_scenario, write_report,
    write_slope,
};

use super::{CommandError, reject_unused_arguments};

/// Directory of the figures for the capacity page.
const FIGURES_DIRECTORY: &str = "docs/figures";

pub(crate) fn list(arguments: Arguments) -> Result<bool, CommandError> {
    reject_unused_arguments(arguments)?;
    for scenario in Scenario::ALL {
        println!("{:22} {}", scenario.name, scenario.about);
    }
    Ok(true)
}

pub(crate) fn slopes(mut arguments: Arguments) -> Result<bool, CommandError> {
    let directory: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
    reject_unused_arguments(arguments)?;
    let directory = directory.unwrap_or_else(|| PathBuf::from(FIGURES_DIRECTORY));
    for slope in measure_slopes()? {
        println!(
            "{:34} {:>12.3} + {:>10.4} ± {:<8.4} {} each {}, r² {}",
            slope.name,
            slope.intercept,
            slope.slope,
            slope.slope_error,
            slope.y,
            slope.x,
            slope.r_squared
        );
        write_slope(&directory, &slope)?;
    }
    Ok(true)
}

/// Runs the demonstration.
pub(crate) fn demonstrate(mut arguments: Arguments) -> Result<bool, CommandError> {
    let settings = DemoSettings {
        seconds: arguments.opt_value_from_str("--seconds")?,
        json: arguments.opt_value_from_str("--json")?,
        seed: arguments.opt_value_from_str("--seed")?.unwrap_or(1),
    };
    reject_unused_arguments(arguments)?;
    Ok(demo(&settings)?)
}

/// Runs one scenario and prints its figures.
pub(crate) fn run(mut arguments: Arguments) -> Result<bool, CommandError> {
    let default = RunSettings::default();
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    let history: Option<PathBuf> = arguments.opt_value_from_str("--history")?;
    let settings = RunSettings {
        profile: arguments
            .opt_value_from_str("--profile")?
            .unwrap_or(default.profile),
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(default.seed),
        seconds: arguments
            .opt_value_from_str("--seconds")?
            .unwrap_or(default.seconds),
        policy: arguments
            .opt_value_from_str("--policy")?
            .unwrap_or(default.policy),
        scenario: arguments.free_from_str()?,
    };
    reject_unused_arguments(arguments)?;
    let finished = execute(&settings)?;
    println!(
        "{}",
        serde_json::to_string_pretty(&finished.result).unwrap_or_default()
    );
    println!("{}", finished.check_result);
    if let Some(path) = json {
        write_json(&path, &finished.result)?;
    }
    if let Some(path) = history {
        write_json(&path, &finished.history)?;
    }
    Ok(finished.check_result.is_ok())
}

/// Runs one scenario with several policies and seeds, and prints one line for each run.
pub(crate) fn compare(mut arguments: Arguments) -> Result<bool, CommandError> {
    let default = RunSettings::default();
    let directory: Option<PathBuf> = arguments.opt_value_from_str("--out")?;
    let policies: Option<String> = arguments.opt_value_from_str("--policies")?;
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds")?;
    let profile: Option<String> = arguments.opt_value_from_str("--profile")?;
    let seconds: Option<u64> = arguments.opt_value_from_str("--seconds")?;
    let scenario: String = arguments.free_from_str()?;
    reject_unused_arguments(arguments)?;
    let policies = policies.unwrap_or_else(|| default.policy.clone());
    let seeds = parse_seeds(&seeds.unwrap_or_else(|| "1..5".to_owned()))?;
    let mut is_ok = true;
    for policy in policies.split(',') {
        for seed in seeds.clone() {
            let settings = RunSettings {
                scenario: scenario.clone(),
                profile: profile.clone().unwrap_or_else(|| default.profile.clone()),
                seconds: seconds.unwrap_or(default.seconds),
                policy: policy.to_owned(),
                seed,
            };
            let finished = execute(&settings)?;
            print_summary(&finished);
            is_ok &= finished.check_result.is_ok();
            if let Some(directory) = &directory {
                fs::create_dir_all(directory)?;
                let name = format!("{scenario}-{}-{policy}-{seed}.json", settings.profile);
                write_json(&directory.join(name), &finished.result)?;
            }
        }
    }
    Ok(is_ok)
}

fn execute(settings: &RunSettings) -> Result<FinishedRun, CommandError> {
    let runtime = tokio::runtime::Runtime::new()?;
    let report = |elapsed: Duration, progress: Progress| {
        eprint!("\r{:>4} s, {progress:?}   ", elapsed.as_secs());
    };
    let finished = runtime.block_on(run_scenario(settings, report));
    eprintln!();
    finished.map_err(|error| match error.kind() {
        io::ErrorKind::InvalidInput => CommandError::Usage(error.to_string()),
        _ => CommandError::Run(error.to_string()),
    })
}

fn print_summary(finished: &FinishedRun) {
    let (settings, figures) = (&finished.result.settings, &finished.result.figures);
    println!(
        "{} {} {} seed {}: requests {}, whole {}, refusals {}, false {}, overspend {}, \
         first token p95 {} ms, appends/s {}, stranded {}, {}",
        settings.scenario,
        settings.profile,
        settings.policy,
        settings.seed,
        figures.requests,
        figures.whole_answers,
        figures.refusals,
        figures.false_refusals,
        figures.overspend_tokens,
        figures.first_token_p95_ms,
        figures.appends_per_s,
        figures.stranded_tokens_end,
        finished.check_result
    );
}

/// Parses seeds written as `1..5`, both ends included, or as a single number.
fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, CommandError> {
    let invalid = || CommandError::Usage(format!("expected seeds like 1..5, got {text}"));
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first: u64 = first.parse().map_err(|_| invalid())?;
    let last: u64 = last.parse().map_err(|_| invalid())?;
    Ok(first..=last)
}

fn write_json(path: &Path, value: &impl serde::Serialize) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(io::Error::other)?;
    Ok(fs::write(path, text + "\n")?)
}

/// Measures what a router adds to a request.
pub(crate) fn overhead(mut arguments: Arguments) -> Result<bool, CommandError> {
    let json: Option<PathBuf> = arguments.opt_value_from_str("--json")?;
    reject_unused_arguments(arguments)?;
    let overhead = tokio::runtime::Runtime::new()?.block_on(measure_overhead(1))?;
    println!(
        "{}",
        serde_json::to_string_pretty(&overhead).unwrap_or_default()
    );
    if let Some(path) = json {
        write_json(&path, &overhead)?;
    }
    Ok(true)
}

/// Fills the generated tables of the capacity page.
pub(crate) fn capacity(mut arguments: Arguments) -> Result<bool, CommandError> {
    let page: PathBuf = arguments.value_from_str("--page")?;
    reject_unused_arguments(arguments)?;
    let slopes = read_slopes(Path::new(FIGURES_DIRECTORY))?;
    let filled = fill_page(&fs::read_to_string(&page)?, &slopes);
    fs::write(&page, filled)?;
    Ok(true)
}

/// Writes one HTML page with the results of a directory.
pub(crate) fn report(mut arguments: Arguments) -> Result<bool, CommandError> {
    let directory: PathBuf = arguments.free_from_str()?;
    reject_unused_arguments(arguments)?;
    let results = read_results(&directory)?;
    let path = directory.join("report.html");
    write_report(&results, &path)?;
    print!("{}", markdown_table(&results));
    Ok(true)
}

/// Takes one measurement; `slopes` runs it in a separate process.
pub(crate) fn run_probe(mut arguments: Arguments) -> Result<bool, CommandError> {
    let name: String = arguments.free_from_str()?;
    let size: u64 = arguments.free_from_str()?;
    reject_unused_arguments(arguments)?;
    let value = probe(&name, size).ok_or_else(|| CommandError::Usage(format!("unknown {name}")))?;
    println!("{value}");
    Ok(true)
}
