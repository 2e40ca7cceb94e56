//! `toucanctl document`.

use pico_args::Arguments;
use serde_json::Value;
use toucan_config::operators::{
    BlameResponse, CheckResponse, DocumentResponse, EditRequest, HistoryResponse,
};
use toucan_config::{Assignment, Change, Section, WholeDocument, diff_lines, reference_tables};

use crate::Report;
use crate::cli_error::CliError;
use crate::client::OperatorsClient;
use crate::commands::arguments::{optional_section, reject_rest, required_section, required_word};
use crate::commands::document_files::check_files;
use crate::commands::edit::{EditOptions, check_report, edit_report};
use crate::options::{Options, read_file};
use crate::report::finding_lines;
use crate::table::{TextTable, coloured_diff, utc};

/// Default of `--limit`: the number of history entries shown.
const DEFAULT_HISTORY_LIMIT: u32 = 20;

/// Runs `toucanctl document …`.
pub(crate) async fn document(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("get") => get(arguments, options).await,
        Some("check") => {
            let files: Vec<_> = arguments
                .finish()
                .into_iter()
                .map(|file| file.to_string_lossy().into_owned())
                .collect();
            check_files(&files, options)
        }
        Some("edit") => edit(arguments, options).await,
        Some("diff") => diff(arguments, options).await,
        Some("history") => history(arguments, options).await,
        Some("blame") => blame(arguments, options).await,
        Some("schema") => {
            reject_rest(arguments)?;
            Ok(Report::done(reference_tables()))
        }
        _ => Err(CliError::usage(
            "document takes get, check, edit, diff, history, blame or schema",
        )),
    }
}

/// Fetches the document in force from the first node that answers.
pub(crate) async fn fetch_in_force(
    client: &OperatorsClient<'_>,
) -> Result<DocumentResponse, CliError> {
    client.get("/operators/v1/document").await
}

async fn get(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let section = optional_section(&mut arguments)?;
    reject_rest(arguments)?;
    let response = fetch_in_force(&OperatorsClient::new(options)?).await?;
    if options.is_json {
        return Ok(Report::json(&response, crate::Exit::Done));
    }
    let texts = response.texts();
    let text = section.map_or_else(
        || WholeDocument::join(&texts),
        |section| texts.get(section).to_string(),
    );
    let note = format!("# versions: {}\n", response.versions);
    let behind = if response.is_waiting {
        "# the node waits for a restatement and may be behind\n"
    } else {
        ""
    };
    Ok(Report::done(text).with_err(note).with_err(behind))
}

async fn edit(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let edit_options = EditOptions::parse(&mut arguments)?;
    let assignments = assignments(&mut arguments)?;
    let is_whole = arguments.contains("--whole");
    let section = required_section(&mut arguments)?;
    let change = if assignments.is_empty() {
        let file = required_word(&mut arguments, "FILE, --set or --unset")?;
        Change::Text {
            text: section_text(section, &file, is_whole)?,
        }
    } else {
        Change::Assign { assignments }
    };
    reject_rest(arguments)?;
    let client = OperatorsClient::new(options)?;
    let base_version = match edit_options.base_version {
        Some(version) => version,
        None => fetch_in_force(&client).await?.versions.get(section),
    };
    let request = EditRequest {
        edit_id: edit_options.edit_id.clone(),
        section,
        base_version,
        change,
        note: edit_options.note,
        accept_warnings: edit_options.accept_warnings,
    };
    if edit_options.is_dry_run {
        let response: CheckResponse = client
            .post("/operators/v1/document/check", &request)
            .await?;
        return Ok(check_report(&response, options));
    }
    let response = client
        .edit("/operators/v1/document/edits", &request)
        .await?;
    Ok(edit_report(&response, &edit_options.edit_id, options))
}

async fn diff(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let is_whole = arguments.contains("--whole");
    let section = required_section(&mut arguments)?;
    let file = required_word(&mut arguments, "FILE")?;
    reject_rest(arguments)?;
    let text = section_text(section, &file, is_whole)?;
    let response = fetch_in_force(&OperatorsClient::new(options)?).await?;
    let texts = response.texts();
    let diff = diff_lines(texts.get(section), &text).to_string();
    if options.is_json {
        let value = serde_json::json!({ "versions": response.versions, "diff": diff });
        return Ok(Report::json(&value, crate::Exit::Done));
    }
    Ok(Report::done(coloured_diff(&diff, options.use_colour)))
}

async fn history(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let limit = arguments
        .opt_value_from_str("--limit")?
        .unwrap_or(DEFAULT_HISTORY_LIMIT);
    let shows_diff = arguments.contains("--diff");
    let section = optional_section(&mut arguments)?;
    reject_rest(arguments)?;
    let mut path = format!("/operators/v1/document/history?limit={limit}");
    if let Some(section) = section {
        path.push_str(&format!("&section={section}"));
    }
    let response: HistoryResponse = OperatorsClient::new(options)?.get(&path).await?;
    if options.is_json {
        return Ok(Report::json(&response, crate::Exit::Done));
    }
    if shows_diff {
        let entries = response.entries.iter().map(|entry| {
            let (section, version) = (entry.section, entry.version);
            let when = utc(entry.at_ms);
            let diff = coloured_diff(&entry.diff, options.use_colour);
            format!(
                "{section} {version}  {when}  {}  {}\n{diff}\n",
                entry.author, entry.note
            )
        });
        return Ok(Report::done(entries.collect::<String>()));
    }
    let mut table = TextTable::new(&[
        "SECTION",
        ">VERSION",
        "WHEN (UTC)",
        "TEAM",
        "AUTHOR",
        ">OFFSET",
        "NOTE",
    ]);
    for entry in response.entries {
        table.push([
            entry.section.to_string(),
            entry.version.to_string(),
            utc(entry.at_ms),
            entry.team.to_string(),
            entry.author,
            entry.offset.to_string(),
            entry.note,
        ]);
    }
    Ok(Report::done(table.to_string()))
}

async fn blame(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let section = required_section(&mut arguments)?;
    reject_rest(arguments)?;
    let path = format!("/operators/v1/document/blame?section={section}");
    let response: BlameResponse = OperatorsClient::new(options)?.get(&path).await?;
    if options.is_json {
        return Ok(Report::json(&response, crate::Exit::Done));
    }
    let mut table = TextTable::new(&[">VERSION", "WHEN (UTC)", "AUTHOR", ">LINE", "TEXT"]);
    for (line, number) in response.lines.into_iter().zip(1..) {
        let number: u32 = number;
        table.push([
            line.version.to_string(),
            utc(line.at_ms),
            line.author,
            number.to_string(),
            line.text,
        ]);
    }
    Ok(Report::done(table.to_string()))
}

/// Reads the text of a section from a file, which may contain a whole document.
fn section_text(section: Section, file: &str, is_whole: bool) -> Result<String, CliError> {
    let text = read_file(file)?;
    if !is_whole {
        return Ok(text);
    }
    let whole = WholeDocument::split(&text)
        .map_err(|findings| CliError::Refused(finding_lines(file, &findings)))?;
    Ok(whole.texts().get(section).to_string())
}

/// Parses `--set PATH=VALUE` and `--unset PATH`, in this order.
fn assignments(arguments: &mut Arguments) -> Result<Vec<Assignment>, CliError> {
    let mut assignments = Vec::new();
    let sets: Vec<String> = arguments.values_from_str("--set")?;
    for set in sets {
        let Some((path, value)) = split_assignment(&set) else {
            return Err(CliError::usage(format!("`{set}` is not PATH=VALUE")));
        };
        // A value that is not JSON is taken as a string, so names need no quotes.
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        if value.is_null() {
            return Err(CliError::usage(format!(
                "use --unset {path} to remove a value"
            )));
        }
        assignments.push(Assignment {
            path: path.to_owned(),
            value,
        });
    }
    let unsets: Vec<String> = arguments.values_from_str("--unset")?;
    assignments.extend(unsets.into_iter().map(|path| Assignment {
        path,
        value: Value::Null,
    }));
    Ok(assignments)
}

/// Splits at the first `=` outside quotes.
fn split_assignment(text: &str) -> Option<(&str, &str)> {
    let mut is_quoted = false;
    for (at, character) in text.char_indices() {
        match character {
            '"' => is_quoted = !is_quoted,
            '=' if !is_quoted => return Some((&text[..at], &text[at + 1..])),
            _ => {}
        }
    }
    None
}
