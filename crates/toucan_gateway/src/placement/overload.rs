//! Sheds calls when the engines are overloaded.

/// Backlog above which a call is refused, as a fraction of its latency objective. The rest of the
/// objective is for the call's own prompt.
const MAX_BACKLOG_FRACTION: f64 = 0.85;
/// Shortest time after which a refused call may be retried.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Returns the time after which a call may be retried; [`None`] if it can be sent now.
///
/// Guards against a burst of prompts on few engines. Without a limit, each call waits for all
/// earlier ones, all answers are late, and callers disconnect while their prompts are still being
/// processed. The call's own prompt is not counted, so that long prompts are not refused sooner
/// than short ones.
#[must_use]
pub fn overload_retry_after_ms(backlog_ms: f64, latency_objective_ms: u64) -> Option<u64> {
    let max_ms = latency_objective_ms as f64 * MAX_BACKLOG_FRACTION;
    if backlog_ms <= max_ms {
        return None;
    }
    let excess_ms = backlog_ms - max_ms;
    Some((excess_ms as u64).max(MIN_RETRY_AFTER_MS))
}
