//! HTTP interface for operators: metrics, state, health and the API that `toucanctl` calls.

mod api_problem;
mod api_request;
mod api_routes;
mod bill_search;
mod budget_api;
mod document_api;
mod fleet_api;
mod operator;
mod request_api;
mod request_traces;
mod routes;
mod target_api;

pub use api_routes::API_ROUTES;
pub(crate) use request_traces::RequestTraces;
pub use routes::OPERATOR_ROUTES;
pub(crate) use routes::operator_routes;
