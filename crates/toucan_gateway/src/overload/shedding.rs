//! Sheds calls when the engines are overloaded.

/// Backlog above which a call is refused, as a fraction of its latency objective. The rest of the
/// objective is for the call's own prompt.
const MAX_BACKLOG_FRACTION: f64 = 0.85;
/// Backlog above which organisations get no more than their shares, as a fraction of the latency objective.
const FAIR_SHARE_BACKLOG_FRACTION: f64 = 0.4;
/// Shortest time after which a refused call may be retried.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Returns the time after which a call may be retried; [`None`] if it can be sent now.
///
/// `backlog_ms` is the work of the calls that the engine serves before this one: earlier calls that are at
/// least as urgent. The call needs its first event within its latency objective and within `left_ms`, the
/// time that its caller has left.
///
/// Guards against a burst of prompts on few engines. Without a limit, each call waits for all
/// earlier ones, all answers are late, and callers disconnect while their prompts are still being
/// processed. The call's own prompt is not counted, so that long prompts are not refused sooner
/// than short ones.
#[must_use]
pub fn overload_retry_after_ms(
    backlog_ms: f64,
    latency_objective_ms: u64,
    left_ms: u64,
) -> Option<u64> {
    let max_ms = latency_objective_ms.min(left_ms) as f64 * MAX_BACKLOG_FRACTION;
    if backlog_ms <= max_ms {
        return None;
    }
    // While the overload lasts, the backlog stays at its maximum. A caller who returns earlier than it
    // takes to process it is likely to be refused again.
    Some((backlog_ms as u64).max(MIN_RETRY_AFTER_MS))
}

/// Returns whether an engine with this backlog is far enough behind that fair shares apply.
#[must_use]
pub fn are_targets_behind(backlog_ms: f64, latency_objective_ms: u64) -> bool {
    backlog_ms > latency_objective_ms as f64 * FAIR_SHARE_BACKLOG_FRACTION
}
