//! Options of edits, and reports on their outcome.

use pico_args::Arguments;
use rand::Rng;
use toucan_config::operators::{CheckResponse, EditResponse};
use toucan_types::DocumentVersion;

use crate::cli_error::CliError;
use crate::options::Options;
use crate::report::finding_lines;
use crate::table::coloured_diff;
use crate::{Exit, Report};

/// Options of edits.
#[derive(Clone, Debug)]
pub(crate) struct EditOptions {
    pub(crate) edit_id: String,
    pub(crate) base_version: Option<DocumentVersion>,
    pub(crate) note: String,
    pub(crate) accept_warnings: bool,
    pub(crate) is_dry_run: bool,
}

impl EditOptions {
    pub(crate) fn parse(arguments: &mut Arguments) -> Result<Self, CliError> {
        let edit_id: Option<String> = arguments.opt_value_from_str("--edit-id")?;
        let base_version: Option<u64> = arguments.opt_value_from_str("--base")?;
        Ok(Self {
            edit_id: edit_id.unwrap_or_else(random_edit_id),
            base_version: base_version.map(DocumentVersion),
            note: arguments.opt_value_from_str("--note")?.unwrap_or_default(),
            accept_warnings: arguments.contains("--accept-warnings"),
            is_dry_run: arguments.contains("--dry-run"),
        })
    }
}

fn random_edit_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Reports the outcome of an edit.
pub(crate) fn edit_report(response: &EditResponse, edit_id: &str, options: &Options) -> Report {
    let code = match response {
        EditResponse::Accepted { .. } | EditResponse::AppliedBefore => Exit::Done,
        EditResponse::LostRace { .. } => Exit::LostRace,
        EditResponse::Refused { .. } => Exit::Findings,
        EditResponse::HasWarnings { .. } => Exit::Warnings,
        EditResponse::Unknown { .. } => Exit::Unknown,
    };
    if options.is_json {
        return Report::json(response, code);
    }
    let report = match response {
        EditResponse::Accepted { version, warnings } => {
            Report::done(format!("in force as version {version}\n"))
                .with_err(finding_lines("document", warnings))
        }
        EditResponse::AppliedBefore => Report::done("applied before; nothing was changed\n"),
        EditResponse::LostRace {
            winner_version,
            diff,
        } => Report::done(coloured_diff(diff, options.use_colour)).with_err(format!(
            "another edit came first, version {winner_version} is in force; your edit would now \
             change the above\n"
        )),
        EditResponse::Refused { findings } => {
            Report::done("").with_err(finding_lines("document", findings))
        }
        EditResponse::HasWarnings { findings, diff } => {
            Report::done(coloured_diff(diff, options.use_colour))
                .with_err(finding_lines("document", findings))
                .with_err("nothing was changed; --accept-warnings makes the edit\n")
        }
        EditResponse::Unknown { reason } => Report::done("").with_err(format!(
            "it is unknown whether the edit was made ({reason}); run the command again with \
             --edit-id {edit_id}\n"
        )),
    };
    report.with_code(code)
}

/// Reports the result of a dry run.
pub(crate) fn check_report(response: &CheckResponse, options: &Options) -> Report {
    let code = if response.is_valid {
        Exit::Done
    } else {
        Exit::Findings
    };
    if options.is_json {
        return Report::json(response, code);
    }
    Report::done(coloured_diff(&response.diff, options.use_colour))
        .with_err(finding_lines("document", &response.findings))
        .with_code(code)
}
