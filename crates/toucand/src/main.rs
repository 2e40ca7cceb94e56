//! The process of a router VM.
//!
//! Exit codes: 0 after a planned stop without aborted requests, 1 if the node cannot start, 2 for
//! invalid arguments, 3 for invalid settings, 4 if a planned stop aborted requests, 5 if a duty
//! failed.

use std::{path::PathBuf, process::ExitCode};

use toucan_node::{Node, NodeSettings, start_logging};

const HELP: &str = "\
One router VM of toucanthread.

usage: toucand SETTINGS.jsonc
       toucand --check SETTINGS.jsonc

  --check        read the settings, report all findings, and exit
  -h, --help     this text
  -V, --version  the version

signals: TERM and INT stop as planned, HUP reads the key files again

exit codes: 0 stopped as planned, 1 cannot start, 2 wrong arguments,
            3 wrong settings, 4 a planned stop cut requests off, 5 a duty failed
";

const EXIT_START: u8 = 1;
const EXIT_ARGUMENTS: u8 = 2;
const EXIT_SETTINGS: u8 = 3;
const EXIT_CUT_OFF: u8 = 4;
const EXIT_FAILED: u8 = 5;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("toucand {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let only_check = arguments.contains("--check");
    let path: PathBuf = match arguments.free_from_str() {
        Ok(path) => path,
        Err(error) => return fail(EXIT_ARGUMENTS, &error.to_string()),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        return fail(EXIT_ARGUMENTS, &format!("unexpected arguments: {rest:?}"));
    }
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if only_check {
        return ExitCode::SUCCESS;
    }
    run(settings)
}

fn read_settings(path: &PathBuf) -> Result<NodeSettings, ExitCode> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| fail(EXIT_SETTINGS, &format!("{}: {error}", path.display())))?;
    NodeSettings::parse(&text).map_err(|findings| {
        for finding in findings {
            eprintln!("{}:{finding}", path.display());
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

fn run(settings: NodeSettings) -> ExitCode {
    if let Err(error) = start_logging(settings.log) {
        return fail(EXIT_START, &error.to_string());
    }
    match Node::start(settings) {
        Ok(node) => serve(node),
        Err(error) => fail(EXIT_START, &error.to_string()),
    }
}

fn serve(node: Node) -> ExitCode {
    log::info!(
        "{} serves callers on {}, operators on {}, peers on {}",
        node.identity().vm,
        node.callers_address(),
        node.operators_address(),
        node.peers_address()
    );
    if let Err(error) = wait_for_stop(&node) {
        return fail(EXIT_START, &format!("cannot wait for signals: {error}"));
    }
    if node.has_failed() {
        // The state of the failed duty may be inconsistent, so the node stops without settling.
        node.kill();
        return fail(EXIT_FAILED, "a duty has failed");
    }
    match node.stop() {
        0 => ExitCode::SUCCESS,
        cut_off => fail(EXIT_CUT_OFF, &format!("{cut_off} requests were cut off")),
    }
}

/// Waits for a stop signal or the failure of a duty, and reloads the key files on `HUP`.
fn wait_for_stop(node: &Node) -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};

    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hang_up = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                () = node.failed() => return Ok(()),
                _ = hang_up.recv() => {
                    if let Err(error) = node.reload_keys() {
                        log::error!("cannot reload the key files; the current keys stay in use: {error}");
                    }
                }
            }
        }
    })
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("toucand: {message}");
    ExitCode::from(code)
}
