//! `toucanctl state`.

use pico_args::Arguments;
use serde_json::Value;

use crate::cli_error::CliError;
use crate::client::OperatorsClient;
use crate::commands::arguments::reject_rest;
use crate::options::Options;
use crate::{Exit, Report};

/// Runs `toucanctl state`; the state dump is always printed as JSON.
pub(crate) async fn state(arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    reject_rest(arguments)?;
    let dump: Value = OperatorsClient::new(options)?
        .get("/operators/v1/state")
        .await?;
    Ok(Report::json(&dump, Exit::Done))
}
