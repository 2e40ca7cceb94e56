//! Tests of the room of targets under the calls of many gateways.

mod pool_model;

use pool_model::Model;

/// Engines of the pool.
const ENGINES: usize = 30;

/// Guards against all gateways sending to the targets that seemed best in the last reports.
#[test]
fn gateways_with_the_same_view_do_not_fill_the_same_targets() {
    let outcome = Model::run(ENGINES);
    assert!(outcome.full * 100 <= outcome.sent, "{outcome:?}");
}
