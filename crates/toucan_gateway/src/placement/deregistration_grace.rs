//! Grace period of targets whose registration ended.

/// Shortest time between reads that counts as a store outage. In an outage this long, a target may
/// have missed enough heartbeats for its registration to expire.
const MIN_OUTAGE_MS: u64 = 1_000;
/// Time after an outage within which every live target registers again.
const REREGISTRATION_MS: u64 = 2_000;
/// Grace period of a registration that the first read after an outage shows as ended, as a fraction
/// of the drain limit. The rest of the limit is for calls that are already being sent.
const FIRST_READ_FRACTION: f64 = 0.85;
/// The same fraction for later reads, by which the registration may have ended up to one poll
/// interval ago.
const LATER_READ_FRACTION: f64 = 0.6;

/// Tracks store outages to decide how long a target without a registration is still used.
///
/// Registrations expire while targets cannot reach the store, even if the targets are alive. A
/// target whose registration ended in an outage is therefore used for a grace period. The period
/// never exceeds the drain limit, because the target may also have been stopped as planned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeregistrationGrace {
    last_read_ms: Option<u64>,
    outage_ended_ms: Option<u64>,
}

impl DeregistrationGrace {
    /// Records a successful read from the store.
    pub fn record_read(&mut self, is_first_after_failure: bool, now_ms: u64) {
        let since_last_ms = now_ms.saturating_sub(self.last_read_ms.unwrap_or(now_ms));
        if is_first_after_failure && since_last_ms >= MIN_OUTAGE_MS {
            self.outage_ended_ms = Some(now_ms);
        }
        self.last_read_ms = Some(now_ms);
    }

    /// Returns until when a target may be used whose registration a read at `now_ms` shows as
    /// ended.
    #[must_use]
    pub fn usable_until_ms(&self, drain_ms: u64, now_ms: u64) -> u64 {
        let Some(ended_ms) = self.outage_ended_ms else {
            return now_ms;
        };
        // The outage ends with the first successful read, which records its own time.
        let is_first_read = now_ms == ended_ms;
        let fraction = if is_first_read {
            FIRST_READ_FRACTION
        } else {
            LATER_READ_FRACTION
        };
        let grace_ms = (drain_ms as f64 * fraction) as u64;
        (now_ms + grace_ms)
            .min(ended_ms + REREGISTRATION_MS)
            .max(now_ms)
    }
}
