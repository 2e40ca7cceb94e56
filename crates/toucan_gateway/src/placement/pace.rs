//! Moving average of how much longer a target takes than expected.

/// Time without samples after which earlier samples count half. It exceeds the slowdowns of some 400 ms that
/// neighbours on a machine cause, so that these move the average little.
const HALF_LIFE_MS: f64 = 2_000.0;
/// Largest distance of the natural logarithm of a sample from the average, once there is one. A larger one
/// is an outlier, such as a lost packet that was sent again.
const MAX_LOG_DISTANCE: f64 = 1.0;
/// Largest absolute value of the natural logarithm of a sample.
const MAX_LOG_RATIO: f64 = 3.0;
/// Weight of samples at which their average counts half against the assumption that targets are equal.
const HALF_CONFIDENCE_WEIGHT: f64 = 2.0;

/// Time from the first sample for which samples are ignored. The cache of a target that has just started is
/// cold, and the shared prompt parts that it processes then are not known to be missing.
const WARM_UP_MS: u64 = 4_000;
/// Weight of a sample above the average. It is under 1, because work for other calls that is not known
/// lengthens times, and nothing shortens them.
const LONGER_WEIGHT: f64 = 0.35;

/// Moving average of the natural logarithm of observed over expected times of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    log_ratio: f64,
    weight: f64,
    updated_at_ms: u64,
    first_at_ms: Option<u64>,
}

impl Pace {
    /// Records `count` samples whose logarithms of observed over expected time have the mean `log_ratio`.
    ///
    /// Implausible values are clamped, and values that are not finite are ignored.
    pub fn record(&mut self, log_ratio: f64, count: u32, now_ms: u64) {
        if !log_ratio.is_finite() || count == 0 {
            return;
        }
        let first_at_ms = *self.first_at_ms.get_or_insert(now_ms);
        if now_ms < first_at_ms + WARM_UP_MS {
            return;
        }
        let old_weight = self.weight * self.decay(now_ms);
        let bounded = log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        let sample = if old_weight >= HALF_CONFIDENCE_WEIGHT {
            let distance = bounded - self.log_ratio;
            self.log_ratio + distance.clamp(-MAX_LOG_DISTANCE, MAX_LOG_DISTANCE)
        } else {
            bounded
        };
        let is_longer = old_weight >= HALF_CONFIDENCE_WEIGHT && sample > self.log_ratio;
        let count = f64::from(count) * if is_longer { LONGER_WEIGHT } else { 1.0 };
        self.weight = old_weight + count;
        self.log_ratio += (sample - self.log_ratio) * count / self.weight;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }

    /// Returns the average of the logarithms.
    #[must_use]
    pub const fn log_ratio(&self) -> f64 {
        self.log_ratio
    }

    /// Returns the confidence in the average, from 0 to 1. It grows with the number of samples and shrinks
    /// with their age.
    #[must_use]
    pub fn confidence(&self, now_ms: u64) -> f64 {
        let decay = self.decay(now_ms);
        let weight = self.weight * decay;
        decay * weight / (weight + HALF_CONFIDENCE_WEIGHT)
    }

    fn decay(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        (-age_ms / HALF_LIFE_MS).exp2()
    }
}
