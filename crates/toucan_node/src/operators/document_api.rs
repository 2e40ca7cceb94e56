//! Reading and editing the document.

use http::StatusCode;
use tokio::sync::oneshot;
use toucan_config::operators::{
    BlameResponse, CheckResponse, DocumentResponse, EditRequest, EditResponse, HistoryResponse,
};
use toucan_config::{
    BudgetUse, Document, EditOutcome, EditRecord, Preview, Section, effect_warnings,
};
use toucan_types::{BudgetName, FastHashMap, Finding};
use volo_http::response::Response;

use super::{
    api_problem::{ApiProblem, done, edited},
    api_request::ApiRequest,
};
use crate::{
    document::{DocumentMessage, EditDecision},
    ledger::LedgerMessage,
    node_shared::NodeShared,
};

/// Entries of the history that are given unless the query says otherwise.
const DEFAULT_HISTORY_LIMIT: usize = 20;
/// Budgets whose use is asked for to warn of cuts.
const MAX_CUT_BUDGETS: usize = 100;

/// `GET /operators/v1/document`.
pub(super) async fn get_document(request: ApiRequest) -> Result<Response, ApiProblem> {
    let state = request.shared.document.load_full();
    let texts = state.document.texts();
    let text = |section| texts.get(section).to_string();
    Ok(done(&DocumentResponse {
        versions: state.document.versions(),
        applied_to: state.applied_to,
        is_waiting: state.is_waiting,
        finance: text(Section::Finance),
        models: text(Section::Models),
        operations: text(Section::Operations),
    }))
}

/// `POST /operators/v1/document/check`.
pub(super) async fn check_edit(request: ApiRequest) -> Result<Response, ApiProblem> {
    let record = record_of(&request, request.json()?)?;
    let shared = &request.shared;
    let answer = match preview(shared, record).await? {
        Ok(preview) => CheckResponse {
            is_valid: true,
            findings: all_warnings(shared, &preview).await,
            diff: preview.diff,
        },
        Err(outcome) => invalid(outcome),
    };
    Ok(done(&answer))
}

/// `POST /operators/v1/document/edits`.
pub(super) async fn post_edit(request: ApiRequest) -> Result<Response, ApiProblem> {
    let edit = request.json()?;
    let answer = make_edit(&request, edit).await?;
    Ok(edited(&answer))
}

/// `GET /operators/v1/document/history`.
pub(super) async fn get_history(request: ApiRequest) -> Result<Response, ApiProblem> {
    let section = request.query("section")?;
    let limit = request
        .query("limit")?
        .parse()
        .unwrap_or(DEFAULT_HISTORY_LIMIT);
    let entries = ask(&request.shared, DocumentMessage::History).await?;
    let entries = entries.into_iter().rev();
    let wanted = entries.filter(|entry| section.is_empty() || entry.section.name() == section);
    Ok(done(&HistoryResponse {
        entries: wanted.take(limit).collect(),
    }))
}

/// `GET /operators/v1/document/blame`.
pub(super) async fn get_blame(request: ApiRequest) -> Result<Response, ApiProblem> {
    let name = request.query("section")?;
    let section = Section::from_name(&name)
        .ok_or_else(|| ApiProblem::malformed(format!("`{name}` is not a section")))?;
    let blame = |reply| DocumentMessage::Blame { section, reply };
    let lines = ask(&request.shared, blame).await?;
    Ok(done(&BlameResponse { lines }))
}

/// Checks an edit and, if nothing stands against it, makes it.
pub(super) async fn make_edit(
    request: &ApiRequest,
    edit: EditRequest,
) -> Result<EditResponse, ApiProblem> {
    let accepts_warnings = edit.accept_warnings;
    let record = record_of(request, edit)?;
    let shared = &request.shared;
    match preview(shared, record.clone()).await? {
        // Appending an edit that cannot stand would cost the log a record.
        Err(outcome) => return Ok(EditResponse::from(outcome)),
        Ok(preview) if !accepts_warnings => {
            let findings = all_warnings(shared, &preview).await;
            if !findings.is_empty() {
                return Ok(EditResponse::HasWarnings {
                    findings,
                    diff: preview.diff,
                });
            }
        }
        Ok(_) => {}
    }
    append(shared, record).await
}

async fn append(shared: &NodeShared, record: EditRecord) -> Result<EditResponse, ApiProblem> {
    let (reply, decision) = oneshot::channel();
    let edit = Box::new(record);
    shared
        .rings
        .document
        .try_send(DocumentMessage::Edit { edit, reply })?;
    match decision.await {
        Ok(EditDecision::Decided(outcome)) => Ok(EditResponse::from(outcome)),
        Ok(EditDecision::NotAppended(error)) => Err(ApiProblem::unavailable(error.to_string())),
        Err(_dropped) => Ok(EditResponse::Unknown {
            reason: "the record was not read back in time".to_owned(),
        }),
    }
}

fn record_of(request: &ApiRequest, edit: EditRequest) -> Result<EditRecord, ApiProblem> {
    let operator = &request.operator;
    if operator.team != edit.section.team() {
        let message = format!(
            "team {} may not edit the section {}",
            operator.team, edit.section
        );
        return Err(ApiProblem::new(StatusCode::FORBIDDEN, message));
    }
    let now_ms = request.shared.clock.now_ms();
    Ok(edit.into_record(operator.team.clone(), operator.author.clone(), now_ms))
}

async fn preview(
    shared: &NodeShared,
    record: EditRecord,
) -> Result<Result<Preview, EditOutcome>, ApiProblem> {
    let edit = Box::new(record);
    ask(shared, |reply| DocumentMessage::Preview { edit, reply }).await
}

/// Remarks on the new document and on what the step to it does to what is in use.
async fn all_warnings(shared: &NodeShared, preview: &Preview) -> Vec<Finding> {
    let in_force = shared.document.load_full();
    let old = &in_force.document;
    let uses = uses_of_cut_budgets(shared, old, &preview.document).await;
    let effects = effect_warnings(old, &preview.document, |budget| uses.get(budget).copied());
    preview.warnings.iter().cloned().chain(effects).collect()
}

async fn uses_of_cut_budgets(
    shared: &NodeShared,
    old: &Document,
    new: &Document,
) -> FastHashMap<BudgetName, BudgetUse> {
    let total = |document: &Document, name: &BudgetName| {
        let budget = document.budget(name.as_str());
        budget.map_or(Default::default(), |budget| {
            budget.total_tokens().unwrap_or_default()
        })
    };
    let cut = old
        .budgets()
        .filter(|(name, _)| total(new, name) < total(old, name));
    let mut uses = FastHashMap::default();
    for (name, _) in cut.take(MAX_CUT_BUDGETS) {
        let budget = name.clone();
        let (reply, answer) = oneshot::channel();
        let message = LedgerMessage::Statement { budget, reply };
        if shared.rings.ledger.try_send(message).is_err() {
            break;
        }
        if let Ok(Some(statement)) = answer.await {
            let account = statement.account;
            uses.insert(
                name.clone(),
                BudgetUse {
                    spent_tokens: account.spent_tokens,
                    outstanding_tokens: account.outstanding_tokens,
                    held_tokens: account.held_tokens,
                },
            );
        }
    }
    uses
}

fn invalid(outcome: EditOutcome) -> CheckResponse {
    let answer = |findings, diff| CheckResponse {
        is_valid: false,
        findings,
        diff,
    };
    let finding = |message: &str| vec![Finding::new(toucan_types::Severity::Error, "", message)];
    match outcome {
        EditOutcome::Refused { findings } => answer(findings, String::new()),
        EditOutcome::LostRace(race) => {
            let message = format!("version {} is in force", race.winner_version);
            answer(finding(&message), race.diff())
        }
        _ => answer(
            finding("an edit or top-up of this id was decided before"),
            String::new(),
        ),
    }
}

/// Asks the document duty and waits for its answer.
async fn ask<T>(
    shared: &NodeShared,
    message: impl FnOnce(oneshot::Sender<T>) -> DocumentMessage,
) -> Result<T, ApiProblem> {
    let (reply, answer) = oneshot::channel();
    shared.rings.document.try_send(message(reply))?;
    answer
        .await
        .map_err(|_ended| ApiProblem::unavailable("this node is stopping"))
}
