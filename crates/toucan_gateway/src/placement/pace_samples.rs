//! Samples of the pace of a target, as a gateway tells them to the others.

/// Units of [`PaceSamples::mean_log_permille`] in one.
const PERMILLE: f64 = 1_000.0;

/// Samples that a gateway has taken since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PaceSamples {
    /// Number of samples.
    pub count: u8,
    /// Mean natural logarithm of observed over expected time, in thousandths.
    pub mean_log_permille: i16,
}

impl PaceSamples {
    /// Returns the mean natural logarithm of observed over expected time.
    #[must_use]
    pub fn mean_log(self) -> f64 {
        f64::from(self.mean_log_permille) / PERMILLE
    }
}

/// Sum of the samples that have not been told yet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct PaceSum {
    log_sum: f64,
    count: u32,
}

impl PaceSum {
    pub(super) fn add(&mut self, log_ratio: f64) {
        if log_ratio.is_finite() {
            self.log_sum += log_ratio;
            self.count += 1;
        }
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(super) fn take(&mut self) -> PaceSamples {
        let Self { log_sum, count } = std::mem::take(self);
        let mean = log_sum / f64::from(count.max(1));
        PaceSamples {
            count: u8::try_from(count).unwrap_or(u8::MAX),
            // A cast from a float saturates.
            mean_log_permille: (mean * PERMILLE) as i16,
        }
    }
}
