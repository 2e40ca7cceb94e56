//! The limit that a target has last named.

use super::CallRate;

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
    /// When it was named, in the sense of [`Self::apply`].
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

    /// Applies what a target said at `stated_at_ms`, which may be earlier than what is known. Returns
    /// whether the limit changed.
    ///
    /// The time of a limit is the latest at which it can have been named, and that of none the earliest: an
    /// answer lifts a limit only if the target wrote it after it had named the limit.
    pub fn apply(&mut self, rate: Option<CallRate>, stated_at_ms: u64) -> bool {
        let lifts = self.rate.is_some() && rate.is_none();
        let is_newer = if lifts {
            stated_at_ms > self.stated_at_ms
        } else {
            stated_at_ms >= self.stated_at_ms
        };
        if !is_newer {
            return false;
        }
        self.stated_at_ms = stated_at_ms;
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// Applies what another gateway tells that a target said at `stated_at_ms`. Returns whether the limit
    /// changed.
    ///
    /// A limit that is known already gets no later time by that. Gateways tell each other the limit with each
    /// request for permits, and each message adds its delay to the time.
    pub fn apply_told(&mut self, rate: Option<CallRate>, stated_at_ms: u64) -> bool {
        rate != self.rate && self.apply(rate, stated_at_ms)
    }
}

impl StatedLimit {
    /// Returns the limit that a response states, with its time in the sense of [`LimitRecord::apply`];
    /// [`None`] if it says nothing.
    #[must_use]
    pub const fn statement(
        self,
        sent_at_ms: u64,
        received_at_ms: u64,
    ) -> Option<(Option<CallRate>, u64)> {
        match self {
            Self::Absent => Some((None, sent_at_ms)),
            Self::Rate(rate) => Some((Some(rate), received_at_ms)),
            Self::Unreadable => None,
        }
    }
}
