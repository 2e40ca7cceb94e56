//! Whether a call is refused because its engine is behind.

/// Backlog, as a part of the call's latency objective, above which the call is refused. The rest of
/// the objective is for the call's own prompt.
const MOST_BACKLOG: f64 = 0.85;
/// Shortest time after which a refused call may come back.
const LEAST_RETURN_MS: u64 = 200;

/// How long an engine that is behind needs until a call is worth sending; [`None`] if it is now.
///
/// Answers the load of a burst of prompts on few engines: without a limit each call waits for all
/// before it, all answers are late, and callers leave while their prompts are still being read. The
/// call's own prompt is not counted, so that long prompts are refused no sooner than short ones.
#[must_use]
pub fn overload_retry_after_ms(backlog_ms: f64, latency_objective_ms: u64) -> Option<u64> {
    let most_ms = latency_objective_ms as f64 * MOST_BACKLOG;
    if backlog_ms <= most_ms {
        return None;
    }
    let excess_ms = backlog_ms - most_ms;
    Some((excess_ms as u64).max(LEAST_RETURN_MS))
}
