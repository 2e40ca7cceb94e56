//! Tests of the callers' interface of a node: limits, refusals, misbehaving callers and retries.

#[path = "../fleet/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../fleet/test_fleet.rs"]
#[allow(dead_code)]
mod test_fleet;

mod client_library;
mod fuzz;
mod limits;
mod non_idempotent_calls;
mod refusals;
mod single_node;
