//! `toucanctl demo`.

use pico_args::Arguments;
use toucan_bench::DemoSettings;

use crate::cli_error::CliError;
use crate::commands::arguments::reject_rest;
use crate::{Exit, Report};

/// Default seed of the load.
const DEFAULT_SEED: u64 = 1;

/// Runs `toucanctl demo`, which prints its output while it runs.
///
/// `--json` takes a file name here, so the command parses its own options.
pub(crate) fn demo(mut arguments: Arguments) -> Result<Report, CliError> {
    let settings = DemoSettings {
        seconds: arguments.opt_value_from_str("--seconds")?,
        json: arguments.opt_value_from_str("--json")?,
        seed: arguments
            .opt_value_from_str("--seed")?
            .unwrap_or(DEFAULT_SEED),
    };
    reject_rest(arguments)?;
    let all_passed = toucan_bench::demo(&settings)
        .map_err(|error| CliError::Unavailable(format!("the demonstration: {error}")))?;
    let exit = if all_passed {
        Exit::Done
    } else {
        Exit::Findings
    };
    Ok(Report::done(String::new()).with_code(exit))
}
