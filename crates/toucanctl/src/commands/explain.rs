//! `toucanctl explain`.

use pico_args::Arguments;
use toucan_config::operators::ExplainResponse;

use crate::cli_error::CliError;
use crate::client::{OperatorsClient, path_segment};
use crate::commands::arguments::{reject_rest, required_word};
use crate::commands::explain_log::explain_from_logs;
use crate::options::Options;
use crate::table::{TextTable, grouped, utc};
use crate::{Exit, Report};

/// Runs `toucanctl explain`, from the memory of a node or from gateway logs.
pub(crate) async fn explain(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    let logs: Vec<String> = arguments.values_from_str("--log")?;
    if !logs.is_empty() {
        let request = required_word(&mut arguments, "REQUEST-ID")?;
        reject_rest(arguments)?;
        return explain_from_logs(&request, &logs, options);
    }
    let organisation: String = arguments.value_from_str("--organisation")?;
    let request = required_word(&mut arguments, "REQUEST-ID")?;
    reject_rest(arguments)?;
    let path = format!(
        "/operators/v1/requests/{}?organisation={}",
        path_segment(&request),
        path_segment(&organisation)
    );
    let response: ExplainResponse = OperatorsClient::new(options)?.get(&path).await?;
    if options.is_json {
        return Ok(Report::json(&response, Exit::Done));
    }
    let billed = response.billed_tokens.map_or_else(
        || "no bill is known".to_owned(),
        |tokens| format!("billed {} tokens to {}", grouped(tokens), response.budget),
    );
    let mut table = TextTable::new(&["WHEN (UTC)", "STEP", "DETAIL"]);
    for step in response.steps {
        table.push([utc(step.at_ms), step.step, step.detail]);
    }
    Ok(Report::done(format!(
        "request {} of {}, bill {}: {billed}\n\n{table}",
        response.request, response.organisation, response.bill
    )))
}
