//! Command line for experiments with a fleet on the platform stand-ins.

mod commands;

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
Experiments with a fleet of routers and the stand-ins of the platform, on loopback.

Usage: toucan_bench COMMAND

  list                      scenarios
  demo [--seconds S] [--seed N] [--json FILE]
                            the demonstration of `toucanctl demo`
  run SCENARIO [--profile demo|co-operative|forge] [--seed N] [--seconds S] [--policy NAME]
               [--json FILE] [--history FILE]
                            one run: figures on stdout, and whether every promise was kept
  compare SCENARIO [--policies A,B] [--seeds 1..5] [--profile NAME] [--seconds S] [--out DIR]
                            one line a run, and DIR/….json for report
  overhead [--json FILE]    the direct way to an engine and the way through a router, in one run
  slopes [--out DIR]        measures how state and cost grow; writes DIR/NAME.json and DIR/NAME.svg
                            (default docs/figures)
  capacity --page FILE      fills the generated tables of a page from docs/figures
  report DIR                writes DIR/report.html over the results of `run --json` and
                            prints them as a table in Markdown
  probe NAME SIZE           one measurement of one size, as slopes runs it
  --help                    this text
  --version                 version

Exit codes: 0 done and every promise kept, 1 a promise broke or a run failed, 2 wrong arguments.
";

/// Exit code when a promise was broken or a run failed.
const EXIT_FAILURE: u8 = 1;
/// Exit code for wrong arguments.
const EXIT_USAGE: u8 = 2;

/// Error of a command.
enum CommandError {
    Usage(String),
    Run(String),
}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Run(error.to_string())
    }
}

fn main() -> ExitCode {
    match dispatch(Arguments::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILURE),
        Err(CommandError::Usage(message)) => {
            eprintln!("toucan_bench: {message}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
        Err(CommandError::Run(message)) => {
            eprintln!("toucan_bench: {message}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<bool, CommandError> {
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(true);
    }
    if arguments.contains("--version") {
        println!("toucan_bench {}", env!("CARGO_PKG_VERSION"));
        return Ok(true);
    }
    match arguments.subcommand()?.as_deref() {
        Some("list") => commands::list(arguments),
        Some("demo") => commands::demonstrate(arguments),
        Some("run") => commands::run(arguments),
        Some("compare") => commands::compare(arguments),
        Some("overhead") => commands::overhead(arguments),
        Some("capacity") => commands::capacity(arguments),
        Some("report") => commands::report(arguments),
        Some("probe") => commands::run_probe(arguments),
        Some("slopes") => commands::slopes(arguments),
        Some(other) => Err(CommandError::Usage(format!("unknown command {other}"))),
        None => Err(CommandError::Usage("a command is missing".to_owned())),
    }
}

/// Returns an error if arguments are left that no option has consumed.
fn reject_unused_arguments(arguments: Arguments) -> Result<(), CommandError> {
    let unused = arguments.finish();
    if unused.is_empty() {
        return Ok(());
    }
    Err(CommandError::Usage(format!("unknown arguments {unused:?}")))
}
