//! Grace period of targets whose registration ended.

/// Heartbeats that a target misses from the last successful read on before its registration expires. It expires after
/// three, and the first may have been due just before the read.
const MIN_MISSED_HEARTBEATS: u64 = 2;
/// Interval between two registrations of a target, if the settings state none.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;
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
/// never exceeds the drain limit, because the target may also have been stopped as planned. A time without
/// reads in which no registration can have expired is no outage.
///
/// A gateway cannot tell an outage of the store from one of its own link. Where others have read the records
/// meanwhile, what they tell ([`Departure`](super::Departure)) goes before the grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeregistrationGrace {
    min_outage_ms: u64,
    last_read_ms: Option<u64>,
    outage_ended_ms: Option<u64>,
}

impl Default for DeregistrationGrace {
    fn default() -> Self {
        Self::new(DEFAULT_HEARTBEAT_MS)
    }
}

impl DeregistrationGrace {
    /// Creates the grace period of targets that register every `heartbeat_ms`.
    #[must_use]
    pub const fn new(heartbeat_ms: u64) -> Self {
        Self {
            min_outage_ms: heartbeat_ms.saturating_mul(MIN_MISSED_HEARTBEATS),
            last_read_ms: None,
            outage_ended_ms: None,
        }
    }

    /// Records a successful read from the store.
    pub fn record_read(&mut self, is_first_after_failure: bool, now_ms: u64) {
        let since_last_ms = now_ms.saturating_sub(self.last_read_ms.unwrap_or(now_ms));
        if is_first_after_failure && since_last_ms >= self.min_outage_ms {
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
