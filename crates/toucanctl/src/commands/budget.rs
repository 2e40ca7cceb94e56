//! `toucanctl budget`.

use pico_args::Arguments;
use toucan_config::operators::{
    BudgetLine, BudgetResponse, BudgetTerms, BudgetsResponse, StatementResponse, TopUpRequest,
};
use toucan_types::Tokens;

use crate::cli_error::CliError;
use crate::client::{OperatorsClient, path_segment};
use crate::commands::arguments::{reject_rest, required_word};
use crate::commands::edit::{EditOptions, edit_report};
use crate::options::Options;
use crate::table::{TextTable, grouped, utc};
use crate::{Exit, Report};

/// Runs `toucanctl budget …`.
pub(crate) async fn budget(
    mut arguments: Arguments,
    options: &Options,
) -> Result<Report, CliError> {
    match arguments.subcommand()?.as_deref() {
        Some("list") => list(arguments, options).await,
        Some("show") => show(arguments, options).await,
        Some("top-up") => top_up(arguments, options).await,
        Some("statement") => statement(arguments, options).await,
        _ => Err(CliError::usage(
            "budget takes list, show, top-up or statement",
        )),
    }
}

/// Lists the budgets of all nodes that respond; the first node that reports a budget is used.
async fn list(arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    reject_rest(arguments)?;
    let client = OperatorsClient::new(options)?;
    let responses: Vec<BudgetsResponse> = client.get_all("/operators/v1/budgets").await?;
    let mut lines: Vec<BudgetLine> = Vec::new();
    for line in responses.into_iter().flat_map(|response| response.budgets) {
        if !lines.iter().any(|known| known.budget == line.budget) {
            lines.push(line);
        }
    }
    lines.sort_by(|left, right| left.budget.cmp(&right.budget));
    if options.is_json {
        return Ok(Report::json(&lines, Exit::Done));
    }
    let mut table = TextTable::new(&[
        "BUDGET",
        "ORGANISATION",
        ">PURCHASED",
        ">SPENT",
        ">OUTSTANDING",
        ">HELD",
        ">REMAINING",
    ]);
    for line in lines {
        table.push([
            line.budget.to_string(),
            line.organisation.to_string(),
            grouped(line.terms.purchased_tokens),
            grouped(line.terms.spent_tokens),
            grouped(line.terms.outstanding_tokens),
            grouped(line.terms.held_tokens),
            grouped(line.terms.remaining_tokens),
        ]);
    }
    Ok(Report::done(table.to_string()))
}

async fn show(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let budget = required_word(&mut arguments, "BUDGET")?;
    reject_rest(arguments)?;
    let path = format!("/operators/v1/budgets/{}", path_segment(&budget));
    let response: BudgetResponse = OperatorsClient::new(options)?.get(&path).await?;
    if options.is_json {
        return Ok(Report::json(&response, Exit::Done));
    }
    let mut table = TextTable::new(&["BUDGET", &response.budget.to_string()]);
    table.push(["organisation".to_owned(), response.organisation.to_string()]);
    table.push([
        "purchased in the document".to_owned(),
        grouped(response.purchased_tokens),
    ]);
    table.push(["bridge_ms".to_owned(), grouped(response.bridge_ms)]);
    let terms = response.terms.as_ref().map_or_else(
        || "terms: not folded at this node\n".to_owned(),
        |terms| terms_table(terms).to_string(),
    );
    Ok(Report::done(format!("{table}\n{terms}")))
}

async fn top_up(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let edit_options = EditOptions::parse(&mut arguments)?;
    let request = TopUpRequest {
        edit_id: edit_options.edit_id,
        id: arguments.value_from_str("--id")?,
        tokens: Tokens(arguments.value_from_str("--tokens")?),
        note: edit_options.note,
    };
    let budget = required_word(&mut arguments, "BUDGET")?;
    reject_rest(arguments)?;
    let path = format!("/operators/v1/budgets/{}/top-ups", path_segment(&budget));
    let response = OperatorsClient::new(options)?.edit(&path, &request).await?;
    Ok(edit_report(&response, &request.edit_id, options))
}

async fn statement(mut arguments: Arguments, options: &Options) -> Result<Report, CliError> {
    let with_bills = arguments.contains("--bills");
    let budget = required_word(&mut arguments, "BUDGET")?;
    reject_rest(arguments)?;
    let budget = path_segment(&budget);
    let path = format!("/operators/v1/budgets/{budget}/statement?bills={with_bills}");
    let response: StatementResponse = OperatorsClient::new(options)?.get(&path).await?;
    if options.is_json {
        return Ok(Report::json(&response, Exit::Done));
    }
    let mut out = format!(
        "budget {} of organisation {}, as of offset {}\n\n{}",
        response.budget,
        response.organisation,
        response.terms.as_of,
        terms_table(&response.terms)
    );
    if !response.holders.is_empty() {
        out.push_str(&format!("\n{}", holders_table(&response)));
    }
    if let Some(bills) = &response.bills {
        let mut table = TextTable::new(&["BILL", "ADMITTED (UTC)", ">TOKENS"]);
        for bill in bills {
            table.push([
                bill.bill.to_string(),
                utc(bill.admitted_at_ms),
                grouped(bill.tokens),
            ]);
        }
        out.push_str(&format!("\n{table}"));
    }
    Ok(Report::done(out))
}

fn terms_table(terms: &BudgetTerms) -> TextTable {
    let mut table = TextTable::new(&["TERM", ">TOKENS"]);
    let mut push = |term: &str, tokens: Tokens| table.push([term.to_owned(), grouped(tokens)]);
    push("spent", terms.spent_tokens);
    push("outstanding", terms.outstanding_tokens);
    push("held", terms.held_tokens);
    push("remaining", terms.remaining_tokens);
    let is_equal = if terms.is_balanced() { "=" } else { "≠" };
    push(&format!("{is_equal} purchased"), terms.purchased_tokens);
    if !terms.cut_owed_tokens.is_zero() {
        push("of which a cut still takes", terms.cut_owed_tokens);
    }
    table
}

fn holders_table(response: &StatementResponse) -> TextTable {
    let mut table = TextTable::new(&["VM", "DATA CENTRE", "INCARNATION", "STAGE", ">TOKENS"]);
    for holder in &response.holders {
        table.push([
            holder.vm.to_string(),
            holder.data_centre.to_string(),
            holder.incarnation.to_string(),
            holder.stage.clone(),
            grouped(holder.tokens),
        ]);
    }
    table
}
