//! A number of calls per second.

use std::fmt;

/// Lowest rate. A target that gets no calls at all could not say that it takes more.
const MIN_MILLICALLS_PER_S: u64 = 200;
/// Highest rate. More calls reach no target.
const MAX_MILLICALLS_PER_S: u64 = 1_000_000_000;

/// A number of calls per second, in thousandths.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct CallRate(u64);

impl CallRate {
    /// Converts calls per second; [`None`] if it is negative or no number. Very low and very high rates
    /// are cut to the range of this type.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s < 0.0 {
            return None;
        }
        let millicalls = (per_s * 1_000.0).min(MAX_MILLICALLS_PER_S as f64) as u64;
        Some(Self(millicalls).in_range())
    }

    /// Cuts a rate that another process has sent to the range of this type.
    #[must_use]
    pub fn in_range(self) -> Self {
        Self(self.0.clamp(MIN_MILLICALLS_PER_S, MAX_MILLICALLS_PER_S))
    }

    /// Returns the calls per second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for CallRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}
