//! `toucanctl target`.

use pico_args::Arguments;
use toucan_config::operators::{DrainRequest, TargetsResponse};

use crate::cli_error::CliError;
use crate::client::{OperatorsClient, path_segment};
use crate::commands::arguments::{reject_rest, required_word};
use crate::commands::document::fetch_in_force;
use crate::commands::edit::{EditOptions, edit_report};
use crate::options::Options;
use crate::table::{TextTable, grouped};
use crate::{Exit, Report};

/// Runs `toucanctl target …`.
pub(crate) async fn target(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("list") => list(arguments, options).await,
        Some("drain") => drain(arguments, options).await,
        _ => Err(CliError::usage("target takes list or drain")),
    }
}

async fn list(arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    reject_rest(arguments)?;
    let response: TargetsResponse = OperatorsClient::new(options)?
        .get("/operators/v1/targets")
        .await?;
    if options.is_json {
        return Ok(Report::json(&response, Exit::Done));
    }
    let mut table = TextTable::new(&[
        "TARGET",
        "SERVICE",
        "DATA CENTRE",
        "ADDRESS",
        "DRAINED",
        "STATE",
        ">IN PROGRESS",
    ]);
    for line in response.targets {
        table.push([
            line.target.to_string(),
            line.service.to_string(),
            line.data_centre.to_string(),
            line.address.to_string(),
            if line.is_drained { "yes" } else { "no" }.to_owned(),
            line.state,
            grouped(line.in_progress),
        ]);
    }
    Ok(Report::done(table.to_string()))
}

async fn drain(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let edit_options = EditOptions::parse(&mut arguments)?;
    let is_drained = !arguments.contains("--undo");
    let target = required_word(&mut arguments, "TARGET")?;
    reject_rest(arguments)?;
    let client = OperatorsClient::new(options)?;
    let base_version = match edit_options.base_version {
        Some(version) => version,
        None => fetch_in_force(&client).await?.versions.operations,
    };
    let request = DrainRequest {
        edit_id: edit_options.edit_id.clone(),
        base_version,
        is_drained,
        note: edit_options.note,
    };
    let path = format!("/operators/v1/targets/{}/drain", path_segment(&target));
    let response = client.edit(&path, &request).await?;
    Ok(edit_report(&response, &edit_options.edit_id, options))
}
