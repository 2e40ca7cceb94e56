//! `toucanctl fleet`.

use pico_args::Arguments;
use toucan_config::operators::{FleetResponse, ReleaseRequest, ReleaseResponse, VmLine};

use crate::cli_error::CliError;
use crate::client::{OperatorsClient, path_segment};
use crate::commands::arguments::{reject_rest, required_word};
use crate::options::Options;
use crate::table::{TextTable, grouped};
use crate::{Exit, Report};

/// Runs `toucanctl fleet …`.
pub(crate) async fn fleet(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("release") => release(arguments, options).await,
        Some("status") => status(arguments, options).await,
        _ => Err(CliError::usage("fleet takes status or release")),
    }
}

async fn status(arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    reject_rest(arguments)?;
    let response: FleetResponse = OperatorsClient::new(options)?
        .get("/operators/v1/fleet")
        .await?;
    if options.is_json {
        return Ok(Report::json(&response, Exit::Done));
    }
    let mut table = TextTable::new(&[
        "VM",
        "DATA CENTRE",
        "STAGE",
        ">FINANCE",
        ">MODELS",
        ">OPERATIONS",
        ">OFFSET",
        ">HEARD MS AGO",
    ]);
    for line in &response.vms {
        table.push(status_row(line));
    }
    let mut out = format!("seen from {}\n\n{table}", response.seen_from);
    let stranded = response.vms.iter().flat_map(|line| {
        let budgets = line.stranded.iter();
        budgets.map(move |stranded| (line, stranded))
    });
    let mut stranded_table = TextTable::new(&["STRANDED AT", "DATA CENTRE", "BUDGET", ">TOKENS"]);
    let mut is_any_stranded = false;
    for (line, stranded) in stranded {
        is_any_stranded = true;
        stranded_table.push([
            line.vm.to_string(),
            line.data_centre.to_string(),
            stranded.budget.to_string(),
            grouped(stranded.tokens),
        ]);
    }
    if is_any_stranded {
        out.push_str(&format!("\n{stranded_table}"));
    }
    Ok(Report::done(out))
}

/// Asks every node to release the tokens that a terminated process holds in the shards that the
/// node replays.
async fn release(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let is_destroyed = arguments.contains("--vm-is-destroyed");
    let incarnation = required_word(&mut arguments, "INCARNATION")?;
    reject_rest(arguments)?;
    if !is_destroyed {
        return Err(CliError::usage(
            "a release frees tokens on your word that the process never runs again; say so by \
             --vm-is-destroyed",
        ));
    }
    let path = format!(
        "/operators/v1/incarnations/{}/release",
        path_segment(&incarnation)
    );
    let client = OperatorsClient::new(options)?;
    let request = ReleaseRequest { is_destroyed };
    let responses: Vec<ReleaseResponse> = client.post_all(&path, &request).await?;
    let shards: u32 = responses
        .iter()
        .map(|response| u32::from(response.shards))
        .sum();
    if options.is_json {
        return Ok(Report::json(&responses, Exit::Done));
    }
    Ok(Report::done(format!(
        "release written for {shards} shards at {} nodes\n",
        responses.len()
    )))
}

fn status_row(line: &VmLine) -> [String; 8] {
    let unknown = || "?".to_owned();
    let version =
        |choose: fn(toucan_config::Versions) -> String| line.versions.map_or_else(unknown, choose);
    [
        line.vm.to_string(),
        line.data_centre.to_string(),
        line.stage.clone(),
        version(|versions| versions.finance.to_string()),
        version(|versions| versions.models.to_string()),
        version(|versions| versions.operations.to_string()),
        line.applied_to
            .map_or_else(unknown, |offset| offset.to_string()),
        line.heard_ago_ms.map_or_else(unknown, grouped),
    ]
}
