//! Runs a set of stand-ins as a process.

use std::process::ExitCode;

use pico_args::Arguments;
use toucan_standins::{StandinSet, StandinSetup};

const HELP: &str = "\
Stand-ins of the platform: log, VM list, weight store, engines and plain services on loopback.

Usage: toucan_standins [--setup FILE.jsonc] [--print-setup]

  --setup FILE    setup as JSON with comments; without it two data centres with one engine and one
                  plain service each
  --print-setup   print the default setup and end
  --help          this text
  --version       version

Prints one JSON line for each data centre, with the addresses of the platform, then the address of
the interface for fault switches. Ends on SIGINT or SIGTERM.

Exit codes: 0 ended by a signal, 1 could not start, 2 wrong arguments or setup.
";

/// Exit code if the stand-ins could not start.
const EXIT_NOT_STARTED: u8 = 1;
/// Exit code for invalid arguments or an invalid setup.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("toucan_standins {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--print-setup") {
        let setup = serde_json::to_string_pretty(&StandinSetup::default());
        println!("{}", setup.unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    let setup = match read_setup(arguments) {
        Ok(setup) => setup,
        Err(message) => {
            eprintln!("toucan_standins: {message}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&setup) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("toucan_standins: cannot start: {error}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn read_setup(mut arguments: Arguments) -> Result<StandinSetup, String> {
    let path: Option<String> = arguments
        .opt_value_from_str("--setup")
        .map_err(|error| error.to_string())?;
    let unused = arguments.finish();
    if !unused.is_empty() {
        return Err(format!("unknown arguments {unused:?}; see --help"));
    }
    let Some(path) = path else {
        return Ok(StandinSetup::default());
    };
    let text = std::fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
    StandinSetup::from_jsonc(&text).map_err(|error| format!("{path}: {error}"))
}

fn run(setup: &StandinSetup) -> std::io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let set = StandinSet::start(setup).await?;
        let admin = set.serve_admin(setup.admin_address).await?;
        for addresses in set.addresses() {
            println!("{}", serde_json::to_string(&addresses).unwrap_or_default());
        }
        println!("{{\"admin\":\"{admin}\"}}");
        let mut terminated =
            tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
        tokio::select! {
            result = tokio::signal::ctrl_c() => result,
            _ = terminated.recv() => Ok(()),
        }
    })
}
