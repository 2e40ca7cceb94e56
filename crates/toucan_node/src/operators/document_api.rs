//! Handlers that read and edit the document.

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
    api_problem::{ApiProblem, edit_response, ok_response},
    api_request::ApiRequest,
};
use crate::{
    document::{DocumentMessage, EditDecision},
    ledger::LedgerMessage,
    node_shared::NodeShared,
};

/// Number of history entries returned if the query gives no limit.
const DEFAULT_HISTORY_LIMIT: usize = 20;
/// Maximum number of reduced budgets whose use is queried for warnings.
const MAX_REDUCED_BUDGETS: usize = 100;

/// `GET /operators/v1/document`.
pub(super) async fn get_document(request: ApiRequest) -> Result<Response, ApiProblem> {
    let state = request.shared.document.load_full();
    let texts = state.document.texts();
    let text = |section| texts.get(section).to_string();
    Ok(ok_response(&DocumentResponse {
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
    let record = edit_record(&request, request.json()?)?;
    let shared = &request.shared;
    let response = match preview(shared, record).await? {
        Ok(preview) => CheckResponse {
            is_valid: true,
            findings: all_warnings(shared, &preview).await,
            diff: preview.diff,
        },
        Err(outcome) => invalid(outcome),
    };
    Ok(ok_response(&response))
}

/// `POST /operators/v1/document/edits`.
pub(super) async fn post_edit(request: ApiRequest) -> Result<Response, ApiProblem> {
    let edit = request.json()?;
    let outcome = submit_edit(&request, edit).await?;
    Ok(edit_response(&outcome))
}

/// `GET /operators/v1/document/history`.
pub(super) async fn get_history(request: ApiRequest) -> Result<Response, ApiProblem> {
    let section = request.query_parameter("section")?;
    let limit = request
        .query_parameter("limit")?
        .parse()
        .unwrap_or(DEFAULT_HISTORY_LIMIT);
    let entries = ask_document(&request.shared, DocumentMessage::History).await?;
    let entries = entries.into_iter().rev();
    let matching = entries.filter(|entry| section.is_empty() || entry.section.name() == section);
    Ok(ok_response(&HistoryResponse {
        entries: matching.take(limit).collect(),
    }))
}

/// `GET /operators/v1/document/blame`.
pub(super) async fn get_blame(request: ApiRequest) -> Result<Response, ApiProblem> {
    let name = request.query_parameter("section")?;
    let section = Section::from_name(&name)
        .ok_or_else(|| ApiProblem::malformed(format!("`{name}` is not a section")))?;
    let blame = |reply| DocumentMessage::Blame { section, reply };
    let lines = ask_document(&request.shared, blame).await?;
    Ok(ok_response(&BlameResponse { lines }))
}

/// Checks an edit and appends it if there are no errors and no unaccepted warnings.
pub(super) async fn submit_edit(
    request: &ApiRequest,
    edit: EditRequest,
) -> Result<EditResponse, ApiProblem> {
    let accepts_warnings = edit.accept_warnings;
    let record = edit_record(request, edit)?;
    let shared = &request.shared;
    match preview(shared, record.clone()).await? {
        // An invalid edit is not appended, which saves a record in the log.
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

fn edit_record(request: &ApiRequest, edit: EditRequest) -> Result<EditRecord, ApiProblem> {
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
    ask_document(shared, |reply| DocumentMessage::Preview { edit, reply }).await
}

/// Returns warnings about the new document and about the effects of the change on what is in use.
async fn all_warnings(shared: &NodeShared, preview: &Preview) -> Vec<Finding> {
    let in_force = shared.document.load_full();
    let old = &in_force.document;
    let usage = usage_of_reduced_budgets(shared, old, &preview.document).await;
    let effects = effect_warnings(old, &preview.document, |budget| usage.get(budget).copied());
    preview.warnings.iter().cloned().chain(effects).collect()
}

async fn usage_of_reduced_budgets(
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
    let reduced = old
        .budgets()
        .filter(|(name, _)| total(new, name) < total(old, name));
    let mut usage = FastHashMap::default();
    for (name, _) in reduced.take(MAX_REDUCED_BUDGETS) {
        let budget = name.clone();
        let (reply, answer) = oneshot::channel();
        let message = LedgerMessage::Statement { budget, reply };
        if shared.rings.ledger.try_send(message).is_err() {
            break;
        }
        if let Ok(Some(statement)) = answer.await {
            let account = statement.account;
            usage.insert(
                name.clone(),
                BudgetUse {
                    spent_tokens: account.spent_tokens,
                    outstanding_tokens: account.outstanding_tokens,
                    held_tokens: account.held_tokens,
                },
            );
        }
    }
    usage
}

fn invalid(outcome: EditOutcome) -> CheckResponse {
    let response = |findings, diff| CheckResponse {
        is_valid: false,
        findings,
        diff,
    };
    let finding = |message: &str| vec![Finding::new(toucan_types::Severity::Error, "", message)];
    match outcome {
        EditOutcome::Refused { findings } => response(findings, String::new()),
        EditOutcome::LostRace(race) => {
            let message = format!("version {} is in force", race.winner_version);
            response(finding(&message), race.diff())
        }
        _ => response(
            finding("an edit or top-up of this id was decided before"),
            String::new(),
        ),
    }
}

/// Sends a message to the document duty and waits for its reply.
async fn ask_document<T>(
    shared: &NodeShared,
    message: impl FnOnce(oneshot::Sender<T>) -> DocumentMessage,
) -> Result<T, ApiProblem> {
    let (reply, answer) = oneshot::channel();
    shared.rings.document.try_send(message(reply))?;
    answer
        .await
        .map_err(|_dropped| ApiProblem::unavailable("this node is stopping"))
}
