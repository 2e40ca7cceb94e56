//! One gateway's share of the limits that hold for all gateways together.

use toucan_router::{RetryBudget, RetryBudgetSettings};
use toucan_types::Permille;

use crate::settings::Bounds;

/// Fraction of the fleet's retry budget that all gateways use together.
///
/// The rest covers gateways that the others do not count yet because they have just started, and a
/// minority behind a network partition.
const RETRY_FRACTION: f64 = 0.6;
/// Fraction of its share that a gateway has at its start. The previous process on the same VM may
/// have just used the whole share.
const INITIAL_FRACTION: f64 = 0.5;
/// Fraction of a target's connections that all gateways use together. The rest covers gateways that
/// have just started and a minority behind a network partition.
const CONNECTION_FRACTION: f64 = 0.65;
/// Number of connections that a gateway may always open to a target.
const MIN_CONNECTIONS: u32 = 2;

/// Returns the settings of one gateway's retry budget for a service, shared by `processes`
/// gateways.
#[must_use]
pub fn retry_share(bounds: &Bounds, processes: u32) -> RetryBudgetSettings {
    let share = f64::from(bounds.retry_slack) * RETRY_FRACTION / f64::from(processes.max(1));
    RetryBudgetSettings {
        per_success: Permille((bounds.retry_ratio * RETRY_FRACTION * 1_000.0) as u32),
        per_s: 0,
        max_saved_retries: share as u32,
    }
}

/// Returns the retry budget of a gateway that has just started.
#[must_use]
pub fn initial_retry_budget(bounds: &Bounds, processes: u32, now_ms: u64) -> RetryBudget {
    let share = retry_share(bounds, processes);
    let saved = f64::from(share.max_saved_retries) * INITIAL_FRACTION;
    RetryBudget::with_saved(share, saved as u32, now_ms)
}

/// Returns the number of connections that one of `processes` gateways may open to a target which
/// accepts `limit` connections in total.
#[must_use]
pub fn connection_share(limit: u32, processes: u32) -> u32 {
    let share = f64::from(limit) * CONNECTION_FRACTION / f64::from(processes.max(1));
    (share as u32).max(MIN_CONNECTIONS)
}
