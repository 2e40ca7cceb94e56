//! JSON messages of the operators' HTTP API.
//!
//! Every call has a header `Authorization: Bearer tt_<key id>_<secret>` with the key of a team.
//! Every team may read; an edit is approved by the team of the key.
//!
//! | call | body | response |
//! |---|---|---|
//! | `GET /operators/v1/document` | | [`DocumentResponse`] |
//! | `POST /operators/v1/document/check` | [`EditRequest`] | [`CheckResponse`] |
//! | `POST /operators/v1/document/edits` | [`EditRequest`] | [`EditResponse`] |
//! | `GET /operators/v1/document/history?section=S&limit=N` | | [`HistoryResponse`] |
//! | `GET /operators/v1/document/blame?section=S` | | [`BlameResponse`] |
//! | `GET /operators/v1/budgets` | | [`BudgetsResponse`] |
//! | `GET /operators/v1/budgets/{name}` | | [`BudgetResponse`] |
//! | `POST /operators/v1/budgets/{name}/top-ups` | [`TopUpRequest`] | [`EditResponse`] |
//! | `GET /operators/v1/budgets/{name}/statement?bills=true` | | [`StatementResponse`] |
//! | `GET /operators/v1/fleet` | | [`FleetResponse`] |
//! | `POST /operators/v1/incarnations/{id}/release` | [`ReleaseRequest`] | [`ReleaseResponse`] |
//! | `GET /operators/v1/targets` | | [`TargetsResponse`] |
//! | `POST /operators/v1/targets/{name}/drain` | [`DrainRequest`] | [`EditResponse`] |
//! | `GET /operators/v1/requests/{id}?organisation=O` | | [`ExplainResponse`] |
//! | `GET /operators/v1/state` | | any JSON |
//!
//! Responses with a status other than 200 have a [`Problem`] as body, except that edits return an
//! [`EditResponse`] with 409 (lost race), 422 (refused), 428 (warnings not accepted) and 504 (outcome
//! unknown). 503 means that nothing was appended. 421 means that this node does not replay the
//! budget's stream; another node may.

mod budgets;
mod document;
mod fleet;
mod problem;
mod requests;
mod targets;

pub use budgets::{
    BillLine, BudgetLine, BudgetResponse, BudgetTerms, BudgetsResponse, HolderLine,
    StatementResponse, TopUpRequest,
};
pub use document::{
    BlameResponse, CheckResponse, DocumentResponse, EditRequest, EditResponse, HistoryResponse,
};
pub use fleet::{FleetResponse, ReleaseRequest, ReleaseResponse, StrandedTokens, VmLine};
pub use problem::Problem;
pub use requests::{ExplainResponse, ExplainStep};
pub use targets::{DrainRequest, TargetLine, TargetsResponse};
