//! Settings that must be equal for all ledgers of one stream.

use serde::{Deserialize, Serialize};

/// Settings that must be equal for all ledgers of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LedgerSettings {
    /// Log time for which the id of a bill is kept, in milliseconds.
    ///
    /// A bill that is applied later than half of this after its admission is disputed. A retry that
    /// is made within the other half after the first bill is thus still recognised by its id.
    pub bill_window_ms: u64,
    /// Log time for which the claim of a non-idempotent call is kept, in milliseconds.
    pub intent_window_ms: u64,
    /// Log time for which an ended incarnation is kept, in milliseconds.
    pub ended_incarnation_window_ms: u64,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            bill_window_ms: 3_600_000,
            intent_window_ms: 24 * 3_600_000,
            ended_incarnation_window_ms: 7 * 24 * 3_600_000,
        }
    }
}

impl LedgerSettings {
    /// Returns the age above which a bill is disputed when it is applied, in milliseconds.
    #[must_use]
    pub const fn max_bill_lateness_ms(&self) -> u64 {
        self.bill_window_ms / 2
    }
}
