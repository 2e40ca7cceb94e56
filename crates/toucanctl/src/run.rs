//! Entry point: runs a command and returns its report.

use std::ffi::OsString;

use pico_args::Arguments;

use crate::cli_error::CliError;
use crate::commands;
use crate::options::Options;
use crate::{Environment, Report, help};

/// Name of the demonstration command, which has its own options.
const DEMO: &str = "demo";

/// Runs one command.
#[must_use]
pub fn run(arguments: Vec<OsString>, environment: &Environment) -> Report {
    let is_demo = arguments.first().is_some_and(|first| first == DEMO);
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-h", "--help"]) {
        return Report::done(help::help());
    }
    if arguments.contains(["-V", "--version"]) {
        return Report::done(help::version());
    }
    run_command(arguments, is_demo, environment).unwrap_or_else(Report::from)
}

fn run_command(
    mut arguments: Arguments,
    is_demo: bool,
    environment: &Environment,
) -> Result<Report, CliError> {
    if is_demo {
        arguments.subcommand()?;
        return commands::demo(arguments);
    }
    let options = Options::parse(&mut arguments, environment)?;
    let Some(command) = arguments.subcommand()? else {
        return Err(CliError::usage("no command is given"));
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| CliError::Unavailable(error.to_string()))?;
    match command.as_str() {
        "document" => runtime.block_on(commands::document(arguments, &options)),
        "organisation" => runtime.block_on(commands::organisation(arguments, &options)),
        "budget" => runtime.block_on(commands::budget(arguments, &options)),
        "model" => runtime.block_on(commands::model(arguments, &options)),
        "service" => runtime.block_on(commands::service(arguments, &options)),
        "target" => runtime.block_on(commands::target(arguments, &options)),
        "fleet" => runtime.block_on(commands::fleet(arguments, &options)),
        "state" => runtime.block_on(commands::state(arguments, &options)),
        "explain" => runtime.block_on(commands::explain(arguments, &options)),
        "config" => commands::config(arguments, &options),
        "key" => commands::key(arguments, &options),
        other => Err(CliError::usage(format!("there is no command `{other}`"))),
    }
}
