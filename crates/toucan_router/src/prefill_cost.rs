//! Prefill time per prompt token of a target, measured by its first tokens.

/// Minimum number of prefilled tokens for a sample; with fewer, fixed costs dominate.
const MIN_SAMPLE_TOKENS: u64 = 512;
/// Half-life of a target's excess over the fleet average.
const HALF_LIFE_MS: u64 = 20_000;
/// Excess over the fleet average, as a multiple of it, from which a target counts as slow.
///
/// Smaller deviations are noise from wrong cache estimates and from other routers' prompts.
const SLOW_FACTOR: u64 = 1;
/// Upper bound of a sample as a multiple of the fleet average.
const MAX_SAMPLE_FACTOR: u64 = 32;

/// Observed prefill time per prompt token of one target.
///
/// Includes everything that delays a first token at that target, such as a slow machine or a batch
/// filled by other routers. The value decays towards the fleet average, so that a target that was
/// slow is tried again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PrefillCost {
    average_ns: Option<u64>,
    updated_ms: u64,
}

impl PrefillCost {
    /// Returns the time per token in nanoseconds, given the fleet average.
    pub(crate) fn ns_per_token(self, fleet_ns: u64, now_ms: u64) -> u64 {
        let excess_ns = self.excess_ns(fleet_ns, now_ms);
        if excess_ns < fleet_ns * SLOW_FACTOR {
            return fleet_ns;
        }
        fleet_ns + excess_ns
    }

    /// Updates the average by a first token; returns the sample if it was usable.
    pub(crate) fn observe(
        &mut self,
        tokens_ahead: u64,
        took_ms: u64,
        fleet_ns: u64,
        now_ms: u64,
    ) -> Option<u64> {
        if tokens_ahead < MIN_SAMPLE_TOKENS {
            return None;
        }
        let sample_ns = took_ms.saturating_mul(1_000_000) / tokens_ahead;
        let sample_ns = sample_ns.min(fleet_ns * MAX_SAMPLE_FACTOR);
        let before_ns = fleet_ns + self.excess_ns(fleet_ns, now_ms);
        self.average_ns = Some((before_ns * 7 + sample_ns) / 8);
        self.updated_ms = now_ms;
        Some(sample_ns)
    }

    /// Returns the decayed excess of the time per token over the fleet average.
    fn excess_ns(self, fleet_ns: u64, now_ms: u64) -> u64 {
        let halvings = now_ms.saturating_sub(self.updated_ms) / HALF_LIFE_MS;
        let shift = u32::try_from(halvings).unwrap_or(u32::MAX).min(63);
        self.average_ns
            .map_or(0, |average_ns| average_ns.saturating_sub(fleet_ns) >> shift)
    }
}
