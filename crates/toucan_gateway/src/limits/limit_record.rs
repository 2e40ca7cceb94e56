//! The limit that a target has last named.

use super::CallRate;

/// Time after a response with a limit from which one without a limit lifts it. Until then it may have
/// been written before.
const MIN_LIFT_GAP_MS: u64 = 200;

/// What a response of a target says about a limit on its calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// It names none.
    #[default]
    Absent,
    /// It names one that cannot be read, which says nothing.
    Unreadable,
    /// The target takes this rate from all gateways together.
    Rate(CallRate),
}

/// The limit that a target has last named to any gateway, as far as this one knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitRecord {
    rate: Option<CallRate>,
    /// When the response was received.
    stated_at_ms: u64,
}

impl LimitRecord {
    /// Returns the limit; [`None`] if there is none.
    #[must_use]
    pub const fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Returns the time since the target's last response that counted.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.stated_at_ms)
    }

    /// Applies what a response said at `stated_at_ms`, which may be earlier than what is known. Returns
    /// whether the limit changed.
    pub fn apply(&mut self, rate: Option<CallRate>, stated_at_ms: u64) -> bool {
        let is_newer = match (self.rate, rate) {
            (Some(_), None) => stated_at_ms >= self.stated_at_ms + MIN_LIFT_GAP_MS,
            (None, Some(_)) => stated_at_ms + MIN_LIFT_GAP_MS > self.stated_at_ms,
            (Some(_), Some(_)) | (None, None) => stated_at_ms >= self.stated_at_ms,
        };
        if !is_newer {
            return false;
        }
        self.stated_at_ms = self.stated_at_ms.max(stated_at_ms);
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
