//! Times at which refused callers may return.

/// Fraction of the capacity that refused callers get when they return. New calls need the rest.
const RETURN_FRACTION: f64 = 0.25;
/// Fraction of the time left to a call that its caller may be told to wait. With the random factor of the
/// response it is at most a third.
const MAX_WAIT_FRACTION: f64 = 0.3;

/// When the refused callers of a service return, as far as this VM has told them.
///
/// Without it, callers who are refused during the same backlog return when that backlog ends, together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    /// When the capacity for callers who return is next unassigned.
    free_at_ms: f64,
}

impl ReturnSchedule {
    /// Returns the time that a refused caller waits.
    ///
    /// `backlog_ms` is the time in which the engine gets rid of its backlog, and `work_ms` the time for which the
    /// call occupies the capacity that is available to this VM. A caller with `left_ms` left for whom no
    /// capacity is unassigned soon enough waits 0.3 of that time.
    pub fn assign(&mut self, backlog_ms: u64, work_ms: f64, left_ms: u64, now_ms: u64) -> u64 {
        let max_wait_ms = left_ms as f64 * MAX_WAIT_FRACTION;
        let now_ms = now_ms as f64;
        let return_at_ms = self.free_at_ms.max(now_ms + backlog_ms as f64);
        let wait_ms = return_at_ms - now_ms;
        if wait_ms > max_wait_ms {
            return max_wait_ms as u64;
        }
        self.free_at_ms = return_at_ms + work_ms / RETURN_FRACTION;
        wait_ms as u64
    }
}
