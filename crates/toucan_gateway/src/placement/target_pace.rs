//! How fast a target is, compared to the other targets of its service.

use super::{Pace, PaceSamples, pace_samples::PaceSum};

/// Difference of logarithms up to which targets count as equal. Samples of equal targets differ by as much.
const EQUAL_LOG_DISTANCE: f64 = 0.15;
/// Difference of logarithms from which the whole difference counts.
const UNLIKE_LOG_DISTANCE: f64 = 0.25;
/// Time over which the rate of processed prompt tokens is averaged. It exceeds the interval of reports.
const READ_RATE_WINDOW_MS: f64 = 1_000.0;
/// Largest difference of logarithms that counts.
const MAX_LOG_DISTANCE: f64 = 1.4;

/// Weight of each kind. Times to the first event vary with calls that this gateway has not heard of, so they
/// decide only where there are hardly any pauses.
const KIND_WEIGHTS: [f64; PaceKind::COUNT] = [0.2, 1.0];

/// What a sample was taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceKind {
    /// Time from sending a call to the first event of its answer.
    FirstEvent,
    /// Time between the events of an answer.
    Step,
}

/// Samples of a target that a gateway has taken since its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PaceReport {
    /// Samples of each kind.
    pub samples: [PaceSamples; PaceKind::COUNT],
    /// Prompt tokens of the gateway's calls that the target has processed.
    pub read_tokens: u32,
}

impl PaceKind {
    /// Number of kinds.
    pub const COUNT: usize = 2;

    const fn index(self) -> usize {
        self as usize
    }
}

/// How fast a target is, compared to the other targets of its service.
///
/// Both kinds of sample have an expected time that holds for all targets alike and may be wrong for all of
/// them, so the averages of a target are compared to those of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetPace {
    kinds: [Pace; PaceKind::COUNT],
    untold: [PaceSum; PaceKind::COUNT],
    slowness: f64,
    read_tokens: f64,
    read_at_ms: u64,
    untold_read_tokens: u32,
}

impl Default for TargetPace {
    fn default() -> Self {
        Self {
            kinds: Default::default(),
            untold: Default::default(),
            slowness: 1.0,
            read_tokens: 0.0,
            read_at_ms: 0,
            untold_read_tokens: 0,
        }
    }
}

impl TargetPace {
    /// Records a sample of this gateway.
    pub fn record(&mut self, kind: PaceKind, observed_ms: f64, expected_ms: f64, now_ms: u64) {
        let log_ratio = (observed_ms.max(1.0) / expected_ms.max(1.0)).ln();
        self.kinds[kind.index()].record(log_ratio, 1, now_ms);
        self.untold[kind.index()].add(log_ratio);
    }

    /// Records that an answer whose steps take `steps_ms` took `observed_ms` at this target, which usually
    /// processes `prefill_tokens_per_ms` of the prompts of other calls between these steps.
    pub fn record_pause(
        &mut self,
        observed_ms: f64,
        steps_ms: f64,
        prefill_tokens_per_ms: f64,
        now_ms: u64,
    ) {
        let prefill_ms = observed_ms * self.read_tokens_per_ms(now_ms) / prefill_tokens_per_ms;
        self.record(PaceKind::Step, observed_ms, steps_ms + prefill_ms, now_ms);
    }

    /// Records that the target has processed `tokens` of the prompt of a call of this gateway.
    ///
    /// Shared parts must not be counted, because calls of other gateways may have left them in its cache.
    pub fn record_read(&mut self, tokens: u64, now_ms: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        self.untold_read_tokens = self.untold_read_tokens.saturating_add(tokens);
        self.add_read_tokens(tokens, now_ms);
    }

    fn add_read_tokens(&mut self, tokens: u32, now_ms: u64) {
        self.read_tokens = self.read_tokens * self.read_decay(now_ms) + f64::from(tokens);
        self.read_at_ms = self.read_at_ms.max(now_ms);
    }

    fn read_decay(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.read_at_ms) as f64;
        (-age_ms / READ_RATE_WINDOW_MS).exp()
    }

    /// Returns the prompt tokens of all gateways' calls that the target has lately processed per
    /// millisecond.
    #[must_use]
    pub fn read_tokens_per_ms(&self, now_ms: u64) -> f64 {
        self.read_tokens * self.read_decay(now_ms) / READ_RATE_WINDOW_MS
    }

    /// Records samples that another gateway told.
    pub fn record_told(&mut self, report: &PaceReport, now_ms: u64) {
        self.add_read_tokens(report.read_tokens, now_ms);
        for (pace, samples) in self.kinds.iter_mut().zip(&report.samples) {
            pace.record(samples.mean_log(), samples.count.into(), now_ms);
        }
    }

    /// Returns whether there are samples of this gateway that the others have not been told.
    #[must_use]
    pub fn has_untold(&self) -> bool {
        self.untold_read_tokens > 0 || self.untold.iter().any(|sum| !sum.is_empty())
    }

    /// Takes the samples that the others have not been told.
    pub fn take_untold(&mut self) -> PaceReport {
        PaceReport {
            samples: self.untold.each_mut().map(PaceSum::take),
            read_tokens: std::mem::take(&mut self.untold_read_tokens),
        }
    }

    /// Returns how much longer the target takes than the mean of its service, as last compared: 1 for an
    /// equal target, 2 for one of half the speed.
    #[must_use]
    pub const fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the confidence in the samples, from 0 to 1.
    #[must_use]
    pub fn confidence(&self, now_ms: u64) -> f64 {
        let confidences = self.kinds.iter().map(|pace| pace.confidence(now_ms));
        confidences.fold(0.0, f64::max)
    }

    /// Compares the target to the mean of its service.
    pub fn compare(&mut self, service: &ServicePace, now_ms: u64) {
        let mut log_sum = 0.0;
        let mut confidence_sum = 0.0;
        let kinds = self.kinds.iter().zip(service.means()).zip(KIND_WEIGHTS);
        for ((pace, mean), kind_weight) in kinds {
            let confidence = pace.confidence(now_ms);
            let weight = confidence * kind_weight;
            log_sum += weight * confidence * (pace.log_ratio() - mean);
            confidence_sum += weight;
        }
        // Weighting by confidence and shrinking by it, which gives 0 without samples.
        let distance = if confidence_sum > 0.0 {
            log_sum / confidence_sum
        } else {
            0.0
        };
        let ramp = UNLIKE_LOG_DISTANCE - EQUAL_LOG_DISTANCE;
        let evidence = ((distance.abs() - EQUAL_LOG_DISTANCE) / ramp).clamp(0.0, 1.0);
        let distance = distance.clamp(-MAX_LOG_DISTANCE, MAX_LOG_DISTANCE);
        self.slowness = (distance * evidence).exp();
    }
}

/// Mean pace of the targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServicePace {
    log_sums: [f64; PaceKind::COUNT],
    weights: [f64; PaceKind::COUNT],
}

impl ServicePace {
    /// Adds a target.
    pub fn add(&mut self, target: &TargetPace, now_ms: u64) {
        let sums = self.log_sums.iter_mut().zip(&mut self.weights);
        for (pace, (log_sum, weight)) in target.kinds.iter().zip(sums) {
            let confidence = pace.confidence(now_ms);
            *log_sum += confidence * pace.log_ratio();
            *weight += confidence;
        }
    }

    fn means(&self) -> impl Iterator<Item = f64> {
        let sums = self.log_sums.iter().zip(&self.weights);
        sums.map(|(log_sum, weight)| if *weight > 0.0 { log_sum / weight } else { 0.0 })
    }
}
