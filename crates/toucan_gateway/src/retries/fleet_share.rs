//! One gateway's share of what all gateways may do together.

use toucan_router::{RetryBudget, RetryBudgetSettings};
use toucan_types::Permille;

use crate::settings::Bounds;

/// Part of the fleet's allowance of retries that its gateways use together.
///
/// The rest covers gateways that start while others still count with fewer, and a minority that is
/// cut off.
const RETRY_PART: f64 = 0.6;
/// Part of its share with which a gateway starts: the process before it on the same VM may have
/// used all of it just now.
const START_PART: f64 = 0.5;
/// Part of a target's connections that all gateways use together; the rest is for those that start
/// and for a minority that is cut off.
const CONNECTION_PART: f64 = 0.65;
/// Least connections that a gateway may open to a target.
const LEAST_CONNECTIONS: u32 = 2;

/// A gateway's allowance of retries of one service, as `processes` gateways share it.
#[must_use]
pub fn retry_share(bounds: &Bounds, processes: u32) -> RetryBudgetSettings {
    let share = f64::from(bounds.retry_slack) * RETRY_PART / f64::from(processes.max(1));
    RetryBudgetSettings {
        per_success: Permille((bounds.retry_ratio * RETRY_PART * 1_000.0) as u32),
        per_s: 0,
        max_saved_retries: share as u32,
    }
}

/// The allowance of a gateway that has just started.
#[must_use]
pub fn initial_retry_budget(bounds: &Bounds, processes: u32, now_ms: u64) -> RetryBudget {
    let share = retry_share(bounds, processes);
    let saved = f64::from(share.max_saved_retries) * START_PART;
    RetryBudget::with_saved(share, saved as u32, now_ms)
}

/// Connections that a gateway may open to a target which accepts `limit` from all.
#[must_use]
pub fn connection_share(limit: u32, processes: u32) -> u32 {
    let share = f64::from(limit) * CONNECTION_PART / f64::from(processes.max(1));
    (share as u32).max(LEAST_CONNECTIONS)
}
