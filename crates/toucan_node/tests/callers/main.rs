//! The callers' interface of a real node: limits, refusals, faults of callers, retries.

#[path = "../fleet/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../fleet/test_fleet.rs"]
#[allow(dead_code)]
mod test_fleet;

mod client_library;
mod fuzz;
mod limits;
mod once;
mod one_node;
mod refusals;
