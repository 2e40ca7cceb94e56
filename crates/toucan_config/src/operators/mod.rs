//! JSON messages of the operators' HTTP API.
//!
//! Every call has a header `Authorization: Bearer tt_<key id>_<secret>` with the key of a team.
//! Every team may read; an edit is approved by the team of the key.
//!
//! | call | body | response |
//! |---|---|---|
//! | `GET /operators/v1/document` | | [`DocumentAnswer`] |
//! | `POST /operators/v1/document/check` | [`EditRequest`] | [`CheckAnswer`] |
//! | `POST /operators/v1/document/edits` | [`EditRequest`] | [`EditAnswer`] |
//! | `GET /operators/v1/document/history?section=S&limit=N` | | [`HistoryAnswer`] |
//! | `GET /operators/v1/document/blame?section=S` | | [`BlameAnswer`] |
//! | `GET /operators/v1/budgets` | | [`BudgetsAnswer`] |
//! | `GET /operators/v1/budgets/{name}` | | [`BudgetAnswer`] |
//! | `POST /operators/v1/budgets/{name}/top-ups` | [`TopUpRequest`] | [`EditAnswer`] |
//! | `GET /operators/v1/budgets/{name}/statement?bills=true` | | [`StatementAnswer`] |
//! | `GET /operators/v1/fleet` | | [`FleetAnswer`] |
//! | `POST /operators/v1/incarnations/{id}/release` | [`ReleaseRequest`] | [`ReleaseAnswer`] |
//! | `GET /operators/v1/targets` | | [`TargetsAnswer`] |
//! | `POST /operators/v1/targets/{name}/drain` | [`DrainRequest`] | [`EditAnswer`] |
//! | `GET /operators/v1/requests/{id}?organisation=O` | | [`ExplainAnswer`] |
//! | `GET /operators/v1/state` | | any JSON |
//!
//! Responses with a status other than 200 have a [`Problem`] as body, except that edits return an
//! [`EditAnswer`] with 409 (lost race), 422 (refused), 428 (warnings not accepted) and 504 (outcome
//! unknown). 503 means that nothing was appended. 421 means that this node does not replay the
//! budget's stream; another node may.

mod budgets;
mod document;
mod fleet;
mod problem;
mod requests;
mod targets;

pub use budgets::{
    BillLine, BudgetAnswer, BudgetLine, BudgetTerms, BudgetsAnswer, HolderLine, StatementAnswer,
    TopUpRequest,
};
pub use document::{
    BlameAnswer, CheckAnswer, DocumentAnswer, EditAnswer, EditRequest, HistoryAnswer,
};
pub use fleet::{FleetAnswer, ReleaseAnswer, ReleaseRequest, StrandedTokens, VmLine};
pub use problem::Problem;
pub use requests::{ExplainAnswer, ExplainStep};
pub use targets::{DrainRequest, TargetLine, TargetsAnswer};
