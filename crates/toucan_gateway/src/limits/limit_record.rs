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

/// What a target has said about its limit, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; [`None`] if it named none.
    pub rate: Option<CallRate>,
    /// The latest time at which it can have named a limit, or the earliest at which it can have named none.
    pub stated_at_ms: u64,
}

/// The limit that a target has last named to any gateway, as far as this one knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitRecord {
    last: LimitStatement,
}

impl LimitRecord {
    /// Returns the limit; [`None`] if there is none.
    #[must_use]
    pub const fn rate(&self) -> Option<CallRate> {
        self.last.rate
    }

    /// Returns the time since the last statement that counted.
    #[must_use]
    pub const fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.last.stated_at_ms)
    }

    /// Applies what a target said, which may be older than what is known. Returns whether the limit changed.
    ///
    /// An answer lifts a limit only if the target wrote it after it had named the limit.
    pub fn apply(&mut self, statement: LimitStatement) -> bool {
        let lifts = self.last.rate.is_some() && statement.rate.is_none();
        let is_newer = if lifts {
            statement.stated_at_ms > self.last.stated_at_ms
        } else {
            statement.stated_at_ms >= self.last.stated_at_ms
        };
        if !is_newer {
            return false;
        }
        std::mem::replace(&mut self.last, statement).rate != statement.rate
    }

    /// Applies what another gateway tells that a target said. Returns whether the limit changed.
    ///
    /// A limit that is known already gets no later time by that. Gateways tell each other the limit with each
    /// request for permits, and each message adds its delay to the time.
    pub fn apply_told(&mut self, statement: LimitStatement) -> bool {
        statement.rate != self.last.rate && self.apply(statement)
    }
}

impl StatedLimit {
    /// Returns what the response to a call says, given when the call was sent and the response received;
    /// [`None`] if it says nothing.
    #[must_use]
    pub const fn statement(self, sent_at_ms: u64, received_at_ms: u64) -> Option<LimitStatement> {
        let (rate, stated_at_ms) = match self {
            Self::Absent => (None, sent_at_ms),
            Self::Rate(rate) => (Some(rate), received_at_ms),
            Self::Unreadable => return None,
        };
        Some(LimitStatement { rate, stated_at_ms })
    }
}
