//! `toucanctl config`.

use pico_args::Arguments;
use toucan_on_platform::{CheckBounds, ConfigFile};
use toucan_types::{Finding, RegionName};

use crate::cli_error::CliError;
use crate::commands::arguments::{reject_rest, required_word};
use crate::options::{Options, read_file};
use crate::wrapped::wrapped;
use crate::{Exit, Report};

const BYTES_PER_MB: u64 = 1_048_576;

/// Runs `toucanctl config check`.
pub(crate) fn config(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("check") => check(arguments, options),
        Some(other) => Err(CliError::usage(format!(
            "there is no command `config {other}`"
        ))),
        None => Err(CliError::usage("`config` needs `check`")),
    }
}

fn check(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let in_force_name: Option<String> = arguments.opt_value_from_str("--in-force")?;
    let vm_memory_mb: Option<u64> = arguments.opt_value_from_str("--vm-memory-mb")?;
    let regions: Option<String> = arguments.opt_value_from_str("--regions")?;
    let bounds = CheckBounds {
        vm_memory_bytes: vm_memory_mb.map(|mb| mb.saturating_mul(BYTES_PER_MB)),
        call_tokens: arguments.opt_value_from_str("--call-tokens")?,
        regions: regions.map(|names| names.split(',').map(RegionName::from).collect()),
    };
    let name = required_word(&mut arguments, "FILE")?;
    reject_rest(arguments)?;
    let text = read_file(&name)?;
    let in_force_text = in_force_name.as_deref().map(read_file).transpose()?;

    let file = ConfigFile::parse(&text);
    let in_force = in_force_text.as_deref().map(ConfigFile::parse);
    let findings = file.findings(&bounds);
    let is_valid = file.errors().is_empty();
    let is_comparable = in_force
        .as_ref()
        .is_none_or(|in_force| in_force.errors().is_empty());
    let changes = in_force
        .as_ref()
        .filter(|_| is_valid && is_comparable)
        .map(|in_force| file.changes_since(in_force));
    let code = match (is_comparable, is_valid) {
        (false, _) => Exit::Usage,
        (true, false) => Exit::Findings,
        (true, true) => Exit::Done,
    };

    let mut report = if options.is_json {
        let value = serde_json::json!({ "file": name, "findings": findings, "changes": changes });
        Report::json(&value, code)
    } else {
        let mut out = finding_lines(&name, &findings);
        if findings.is_empty() {
            out.push_str(&wrapped(&format!("{name}: no findings")));
        }
        if let Some(changes) = &changes {
            let heading = if changes.is_empty() {
                "no differences from the configuration in force"
            } else {
                "differences from the configuration in force:"
            };
            out.push_str(&wrapped(heading));
            for change in changes {
                out.push_str(&wrapped(&change.to_string()));
            }
        }
        Report::done(out).with_code(code)
    };
    if let (false, Some(name), Some(in_force)) = (is_comparable, in_force_name, in_force) {
        report = report
            .with_err("toucanctl: the file in force has errors, so nothing was compared\n")
            .with_err(finding_lines(&name, in_force.errors()));
    }
    Ok(report)
}

/// Formats findings, each prefixed with its file.
fn finding_lines(file: &str, findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| wrapped(&format!("{file}:{finding}")))
        .collect()
}
