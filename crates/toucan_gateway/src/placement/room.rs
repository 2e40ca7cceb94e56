//! Whether a call fits at a target.

use crate::config::EngineSettings;

/// Part of a KV cache that calls may be expected to fill. The rest is for outputs that are longer than expected
/// and for calls that other gateways have sent since their last report.
const USABLE_KV_FRACTION: f64 = 0.9;

/// Calls and tokens for which a target has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Calls that the target can run in addition.
    pub free_slots: u32,
    /// Tokens for which its KV cache has room; [`None`] if its size is not known.
    pub free_kv_tokens: Option<u64>,
}

impl Room {
    /// Returns the room at a target with `slots` that holds `calls` calls, which need `kv_tokens`.
    #[must_use]
    pub fn new(engine: Option<EngineSettings>, slots: u32, calls: u32, kv_tokens: u64) -> Self {
        let engine_slots = engine.and_then(|engine| engine.slots).unwrap_or(u32::MAX);
        let capacity = engine.and_then(|engine| engine.kv_capacity_tokens);
        Self {
            free_slots: slots.min(engine_slots).saturating_sub(calls),
            free_kv_tokens: capacity.map(|capacity| {
                let usable = (capacity as f64 * USABLE_KV_FRACTION) as u64;
                usable.saturating_sub(kv_tokens)
            }),
        }
    }

    /// Returns whether a call that needs `kv_tokens` fits.
    #[must_use]
    pub fn fits(&self, kv_tokens: u64) -> bool {
        self.free_slots > 0 && self.free_kv_tokens.is_none_or(|free| kv_tokens <= free)
    }
}
