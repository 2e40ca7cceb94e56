//! `toucanctl explain` from gateway logs.

use std::fmt::Write as _;

use crate::cli_error::CliError;
use crate::gateway_log::{GatewayLog, LogEvent};
use crate::options::{Options, read_file};
use crate::{Exit, Report};

/// Time before the first line of a request within which other lines are shown as context, in
/// milliseconds.
const CONTEXT_BEFORE_MS: i64 = 5_000;

/// One-line summary of the on-call page for each outcome.
const ADVICE: &[(&str, &str)] = &[
    (
        "budget_spent",
        "the budget is used up; the organisation needs a top-up",
    ),
    (
        "budget_in_use",
        "the store had nothing left to grant and no other gateway could lend: tokens are in hand \
         elsewhere or were lost with processes that died",
    ),
    (
        "budget_not_reachable",
        "no tokens came in time; `read_ms_ago` of `tokens are lacking` is the age of the store's word",
    ),
    (
        "broken_off",
        "the target broke off, and the answer could not go on elsewhere",
    ),
    (
        "deadline_reached",
        "the route's time limit or the caller's patience ended",
    ),
    ("caller_left", "the caller closed its connection"),
    (
        "target_full",
        "each target that was asked refused without running the call",
    ),
    (
        "no_target",
        "no target could be connected to, or all have as many calls as they may have",
    ),
    (
        "stream_origin_unknown",
        "no gateway that was asked knew which software version began the stream",
    ),
    (
        "no_target_of_version",
        "no target ran the software version that began the stream",
    ),
    (
        "targets_throttling",
        "all targets that could take the call throttled this VM; the caller was told until when",
    ),
    (
        "overloaded",
        "the best engine was too far behind; the caller was told when to come back",
    ),
    (
        "data_centres_evacuated",
        "all targets that could take the call are in data centres that the operators have evacuated",
    ),
    (
        "no_target_in_regions",
        "no target was in service in a region that the route and the organisation both allow",
    ),
    (
        "gateway_busy",
        "this VM had no room for another call; the next attempt probably reaches another VM",
    ),
    (
        "buffers_full",
        "the memory for calls was in use; the caller was told when enough is released",
    ),
    (
        "cannot_connect",
        "this VM could not connect to targets and was itself the cause",
    ),
    (
        "ended_for_memory",
        "memory was short and the answer was ended; its caller had read least, or no memory was left",
    ),
    (
        "target_failed",
        "a target failed and may have run the call, which may not be repeated",
    ),
    (
        "target_silent",
        "a target did not answer in time and may have run the call",
    ),
    ("not_configured", "the gateway had no configuration yet"),
    ("stopping", "the gateway was being stopped"),
    (
        "unknown_key",
        "no configuration in force here knows the key",
    ),
    ("no_route", "no configuration in force here has the route"),
];

/// Shows the log lines of one request with the lines that give their context.
pub(crate) fn explain_from_logs(
    request: &str,
    files: &[String],
    options: &Options,
) -> Result<Report, CliError> {
    let mut log = GatewayLog::default();
    for file in files {
        log.read(&read_file(file)?);
    }
    let request_events: Vec<&LogEvent> = log.for_request(request);
    let (Some(first), Some(last)) = (request_events.first(), request_events.last()) else {
        let message = format!(
            "no line of request {request} among {} lines ({} could not be read)",
            log.events().len(),
            log.unreadable()
        );
        return Err(CliError::NotFound(message));
    };
    let (from_ms, to_ms) = (first.at_ms() - CONTEXT_BEFORE_MS, last.at_ms());
    let shown: Vec<&LogEvent> = log
        .events()
        .iter()
        .filter(|event| (from_ms..=to_ms).contains(&event.at_ms()))
        .filter(|event| event.belongs_to(request) || is_context(event, &request_events))
        .collect();
    if options.is_json {
        return Ok(Report::json(&shown, Exit::Done));
    }
    let mut out = format!(
        "request {request}: {}\n\n",
        outcome_summary(&request_events)
    );
    for event in shown {
        let _always_fits = writeln!(out, "{event}");
    }
    if log.unreadable() > 0 {
        let _always_fits = writeln!(out, "\n{} lines could not be read", log.unreadable());
    }
    Ok(Report::done(out))
}

/// Returns whether a line that does not name the request is shown as its context.
///
/// These are lines on missing or lost tokens of its organisation, on the targets that it was sent
/// to, and all lines on the store, the configuration and the process.
fn is_context(event: &LogEvent, request_events: &[&LogEvent]) -> bool {
    match event.log_target() {
        "store" | "configuration" | "process" => true,
        "budget" => {
            let is_about_tokens = matches!(
                event.message(),
                "tokens are lacking" | "what a former process of this VM held counts as spent"
            );
            is_about_tokens
                && request_events.iter().any(|line| {
                    let organisation = line.attribute("organisation");
                    organisation.is_some() && organisation == event.attribute("organisation")
                })
        }
        "target" => event
            .attribute("name")
            .is_some_and(|name| request_events.iter().any(|line| line.names_target(name))),
        _ => false,
    }
}

/// Returns the last outcome of a request with its advice.
fn outcome_summary(request_events: &[&LogEvent]) -> String {
    let outcome = request_events
        .iter()
        .rev()
        .find_map(|line| line.attribute("outcome"));
    let Some(outcome) = outcome else {
        return "no line tells how it ended".to_owned();
    };
    let advice = ADVICE.iter().find(|(name, _advice)| *name == outcome);
    match advice {
        Some((_name, advice)) => format!("{outcome}: {advice}"),
        None => outcome.to_owned(),
    }
}
