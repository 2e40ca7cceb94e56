//! `toucanctl service`.

use pico_args::Arguments;
use toucan_config::{Document, Service, ServiceKind};

use crate::cli_error::CliError;
use crate::commands::arguments::reject_rest;
use crate::commands::organisation::fetch_document;
use crate::options::Options;
use crate::table::{TextTable, grouped};
use crate::{Exit, Report};

/// Runs `toucanctl service …`.
pub(crate) async fn service(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("list") => {
            reject_rest(arguments)?;
            let document = fetch_document(options).await?;
            Ok(list(&document, options))
        }
        _ => Err(CliError::usage("service takes list")),
    }
}

fn list(document: &Document, options: &Options) -> Report {
    let services = &document.operations().services;
    let targets_of = |name: &str| {
        let targets = document.targets();
        let of_service = targets.filter(|(_, target)| target.service.as_str() == name);
        of_service.fold((0_u32, 0_u32), |(open, drained), (_, target)| {
            if target.is_drained {
                (open, drained + 1)
            } else {
                (open + 1, drained)
            }
        })
    };
    if options.is_json {
        let entries: Vec<_> = services
            .iter()
            .map(|(name, service)| {
                let (open, drained) = targets_of(name.as_str());
                serde_json::json!({
                    "service": name,
                    "kind": kind(service),
                    "details": details(service),
                    "honours_fencing": service.honours_fencing,
                    "open_targets": open,
                    "drained_targets": drained,
                })
            })
            .collect();
        return Report::json(&entries, Exit::Done);
    }
    let mut table = TextTable::new(&["SERVICE", "KIND", "FENCING", ">OPEN", ">DRAINED", "DETAILS"]);
    for (name, service) in services.iter() {
        let (open, drained) = targets_of(name.as_str());
        table.push([
            name.to_string(),
            kind(service).to_owned(),
            if service.honours_fencing { "yes" } else { "no" }.to_owned(),
            open.to_string(),
            drained.to_string(),
            details(service),
        ]);
    }
    Report::done(table.to_string())
}

const fn kind(service: &Service) -> &'static str {
    match service.kind {
        ServiceKind::Models { .. } => "models",
        ServiceKind::Plain { .. } => "plain",
    }
}

fn details(service: &Service) -> String {
    match &service.kind {
        ServiceKind::Models { models } => {
            let names: Vec<_> = models.iter().map(ToString::to_string).collect();
            format!("models {}", names.join(" "))
        }
        ServiceKind::Plain {
            cost_tokens,
            non_idempotent,
            ..
        } => {
            let calls: Vec<_> = non_idempotent
                .iter()
                .map(|call| format!("{} {}", call.method, call.path))
                .collect();
            format!(
                "{} tokens a call, at most once: {}",
                grouped(cost_tokens),
                if calls.is_empty() {
                    "none".to_owned()
                } else {
                    calls.join(", ")
                }
            )
        }
    }
}
