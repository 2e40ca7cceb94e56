//! Command-line tool for operators.

use std::io::Write;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1).collect();
    let report = toucanctl::run(arguments, &toucanctl::Environment::from_process());
    // A reader that closes the pipe early, such as `head`, does not make the command fail.
    let _ = std::io::stdout().write_all(report.out.as_bytes());
    let _ = std::io::stderr().write_all(report.err.as_bytes());
    ExitCode::from(report.code as u8)
}
