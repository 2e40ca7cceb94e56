//! `toucanctl organisation`.

use pico_args::Arguments;
use toucan_config::Document;

use crate::cli_error::CliError;
use crate::client::OperatorsClient;
use crate::commands::arguments::reject_rest;
use crate::commands::document::fetch_in_force;
use crate::options::Options;
use crate::table::{TextTable, grouped};
use crate::{Exit, Report};

/// Runs `toucanctl organisation …`.
pub(crate) async fn organisation(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("list") => {
            reject_rest(arguments)?;
            let document = fetch_document(options).await?;
            Ok(list(&document, options))
        }
        _ => Err(CliError::usage("organisation takes list")),
    }
}

/// Fetches the document in force and checks it by the rules of this program.
pub(crate) async fn fetch_document(
    options: &Options,
) -> Result<std::sync::Arc<Document>, CliError> {
    let response = fetch_in_force(&OperatorsClient::new(options)?).await?;
    let checked = Document::parse(&response.texts()).map_err(|findings| {
        let first = findings
            .first()
            .map_or_else(String::new, ToString::to_string);
        CliError::Refused(format!(
            "the document in force has errors by this program's rules: {first}"
        ))
    })?;
    Ok(checked.document)
}

fn list(document: &Document, options: &Options) -> Report {
    let finance = document.finance();
    let budgets_of = |name: &str| {
        let budgets = document.budgets();
        budgets
            .filter(|(_, budget)| budget.organisation.as_str() == name)
            .map(|(budget, _)| budget.to_string())
            .collect::<Vec<_>>()
    };
    let keys_of = |name: &str| {
        let keys = finance.caller_keys.iter();
        keys.filter(|(_, key)| key.organisation.as_str() == name && key.is_current(options.now_ms))
            .map(|(key_id, _)| key_id.clone())
            .collect::<Vec<_>>()
    };
    if options.is_json {
        let entries: Vec<_> = finance
            .organisations
            .iter()
            .map(|(name, organisation)| {
                serde_json::json!({
                    "organisation": name,
                    "title": organisation.title,
                    "bridge_ms": organisation.bridge_ms,
                    "budgets": budgets_of(name.as_str()),
                    "current_keys": keys_of(name.as_str()),
                })
            })
            .collect();
        return Report::json(&entries, Exit::Done);
    }
    let mut table = TextTable::new(&["ORGANISATION", "TITLE", ">BRIDGE MS", "BUDGETS", "KEYS"]);
    for (name, organisation) in finance.organisations.iter() {
        table.push([
            name.to_string(),
            organisation.title.clone(),
            grouped(organisation.bridge_ms),
            budgets_of(name.as_str()).join(" "),
            keys_of(name.as_str()).join(" "),
        ]);
    }
    Report::done(table.to_string())
}
