//! `toucanctl model`.

use pico_args::Arguments;
use toucan_config::{AllowedOrganisations, Document, Model};

use crate::cli_error::CliError;
use crate::commands::arguments::reject_rest;
use crate::commands::organisation::fetch_document;
use crate::options::Options;
use crate::table::TextTable;
use crate::{Exit, Report};

/// Runs `toucanctl model …`.
pub(crate) async fn model(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("list") => {
            reject_rest(arguments)?;
            let document = fetch_document(options).await?;
            Ok(list(&document, options))
        }
        _ => Err(CliError::usage("model takes list")),
    }
}

fn list(document: &Document, options: &Options) -> Report {
    let models = &document.models().models;
    let service_of = |name: &str| {
        let service = document.service_for_model(name);
        service.map_or_else(String::new, |(service, _)| service.to_string())
    };
    if options.is_json {
        let entries: Vec<_> = models
            .iter()
            .map(|(name, model)| {
                serde_json::json!({
                    "model": name,
                    "service": service_of(name.as_str()),
                    "serving_version": model.serving_version,
                    "versions": version_names(model),
                    "adapters": adapter_names(model),
                    "organisations": organisations(&model.organisations),
                })
            })
            .collect();
        return Report::json(&entries, Exit::Done);
    }
    let mut table = TextTable::new(&[
        "MODEL",
        "SERVICE",
        "SERVING",
        "VERSIONS",
        "ADAPTERS",
        "ORGANISATIONS",
    ]);
    for (name, model) in models.iter() {
        table.push([
            name.to_string(),
            service_of(name.as_str()),
            model.serving_version.to_string(),
            version_names(model).join(" "),
            adapter_names(model).join(" "),
            organisations(&model.organisations).join(" "),
        ]);
    }
    Report::done(table.to_string())
}

fn version_names(model: &Model) -> Vec<String> {
    let versions = model.versions.iter();
    versions.map(|version| version.name.to_string()).collect()
}

fn adapter_names(model: &Model) -> Vec<String> {
    let adapters = model.adapters.iter();
    adapters.map(|adapter| adapter.name.to_string()).collect()
}

fn organisations(allowed: &AllowedOrganisations) -> Vec<String> {
    match allowed {
        AllowedOrganisations::All => vec!["*".to_owned()],
        AllowedOrganisations::Only(names) => names.iter().map(ToString::to_string).collect(),
    }
}
