//! Decision whether to transfer KV cache between targets or to recompute it.

use toucan_types::Permille;

/// Settings of a [`KvTransferDecision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvTransferSettings {
    /// Size of the KV cache of one token in bytes.
    pub bytes_per_token: u64,
    /// Time for export and import, without the network transfer.
    pub overhead_ms: u64,
    /// Bandwidth between two targets in the same data centre.
    pub same_data_centre_bytes_per_s: u64,
    /// Bandwidth between targets in two data centres.
    pub cross_data_centre_bytes_per_s: u64,
    /// Prompt tokens that a target prefills per second.
    pub prefill_tokens_per_s: u64,
    /// Maximum duration of a transfer as a fraction of the time to recompute.
    pub max_recompute_fraction: Permille,
}

impl Default for KvTransferSettings {
    fn default() -> Self {
        Self {
            bytes_per_token: 131_072,
            overhead_ms: 15,
            same_data_centre_bytes_per_s: 1_250_000_000,
            cross_data_centre_bytes_per_s: 250_000_000,
            prefill_tokens_per_s: 8_000,
            max_recompute_fraction: Permille(700),
        }
    }
}

/// A possible transfer and the state of its source and destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvTransferCandidate {
    /// Prompt tokens that are expected in the cache of the source but not of the destination.
    pub tokens: u64,
    /// Confidence that the source still has them cached.
    pub confidence: Permille,
    /// Size of the export in bytes, if the source reported it.
    pub bytes: Option<u64>,
    /// Active transfers that share the bandwidth.
    pub active_transfers: u32,
    /// Whether source and destination are in the same data centre.
    pub same_data_centre: bool,
    /// Prompt tokens queued for prefill at the destination ahead of this request.
    pub pending_prefill_tokens: u64,
}

/// Decision about a transfer, with the expected times of both options.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvTransferDecision {
    /// Whether to transfer the KV cache.
    pub should_transfer: bool,
    /// Expected time of the transfer.
    pub transfer_ms: u64,
    /// Expected time to recompute.
    pub recompute_ms: u64,
}

impl KvTransferDecision {
    /// Compares a transfer with recomputing.
    ///
    /// Prefill queues behind earlier prompts, a transfer does not. If the source no longer has the
    /// prefix cached, the overhead is spent in addition to recomputing.
    #[must_use]
    pub fn decide(settings: &KvTransferSettings, candidate: &KvTransferCandidate) -> Self {
        let bytes = candidate
            .bytes
            .unwrap_or(candidate.tokens.saturating_mul(settings.bytes_per_token));
        let bytes_per_s = if candidate.same_data_centre {
            settings.same_data_centre_bytes_per_s
        } else {
            settings.cross_data_centre_bytes_per_s
        };
        let concurrent = u64::from(candidate.active_transfers) + 1;
        let network_ms = duration_ms(bytes.saturating_mul(concurrent), bytes_per_s);
        let prefill_ms = duration_ms(candidate.tokens, settings.prefill_tokens_per_s);
        let pending_ms = duration_ms(
            candidate.pending_prefill_tokens,
            settings.prefill_tokens_per_s,
        );
        let recompute_ms = prefill_ms + pending_ms;
        let miss_probability = Permille(1_000_u32.saturating_sub(candidate.confidence.0));
        let transfer_ms = settings.overhead_ms
            + candidate.confidence.of(network_ms)
            + miss_probability.of(recompute_ms);
        Self {
            should_transfer: transfer_ms < settings.max_recompute_fraction.of(recompute_ms),
            transfer_ms,
            recompute_ms,
        }
    }
}

/// Returns the time in milliseconds that `amount` takes at a rate per second.
fn duration_ms(amount: u64, per_s: u64) -> u64 {
    let ms = u128::from(amount) * 1_000 / u128::from(per_s.max(1));
    u64::try_from(ms).unwrap_or(u64::MAX)
}
