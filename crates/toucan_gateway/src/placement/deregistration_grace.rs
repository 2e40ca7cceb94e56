//! How long a target whose registration ended is still used.

/// Shortest time without an answer of the store in which registrations can lapse: a target that
/// misses one of its reports for so long may miss the others too.
const LEAST_OUTAGE_MS: u64 = 1_000;
/// Time after the end of an outage within which each target that lives has registered again.
const RETURN_MS: u64 = 2_000;
/// Part of the drain bound for which a target is used whose registration was found ended by the
/// first read after an outage; the rest is for calls that are already on their way.
const FIRST_READ_PART: f64 = 0.85;
/// The same for later reads, which show an end that is up to one read's interval old.
const LATER_READ_PART: f64 = 0.6;

/// Outages of the store as the reader of registrations sees them.
///
/// Registrations lapse while targets cannot reach the store, though the targets live. One that is
/// found ended after an outage is used a little longer, but never beyond the drain bound: it may
/// as well have left as planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeregistrationGrace {
    last_answer_ms: Option<u64>,
    outage_ended_ms: Option<u64>,
}

impl DeregistrationGrace {
    /// The store answered a read, the first one after a failure or not.
    pub fn record_read(&mut self, is_first_after_failure: bool, now_ms: u64) {
        let silence_ms = now_ms.saturating_sub(self.last_answer_ms.unwrap_or(now_ms));
        if is_first_after_failure && silence_ms >= LEAST_OUTAGE_MS {
            self.outage_ended_ms = Some(now_ms);
        }
        self.last_answer_ms = Some(now_ms);
    }

    /// Until when a target is used whose registration a read at `now_ms` shows as ended.
    #[must_use]
    pub fn usable_until_ms(&self, drain_ms: u64, now_ms: u64) -> u64 {
        let Some(ended_ms) = self.outage_ended_ms else {
            return now_ms;
        };
        // The read that ended an outage came at that very time.
        let is_first_read = now_ms == ended_ms;
        let part = if is_first_read {
            FIRST_READ_PART
        } else {
            LATER_READ_PART
        };
        let hold_ms = (drain_ms as f64 * part) as u64;
        (now_ms + hold_ms).min(ended_ms + RETURN_MS).max(now_ms)
    }
}
