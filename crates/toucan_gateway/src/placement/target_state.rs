//! The state of one target as seen by this VM.

use std::rc::Rc;

use toucan_types::{FastHashMap, SoftwareVersion};

use crate::{
    config::{EngineSettings, TargetEntry},
    limits::{BrittleRecord, CallRate, LimitRecord, Permits, SlotUse},
    overload::UrgencyTokens,
};

use super::{FailureHistory, PromptCacheEstimate, RecordPlace, Room, TargetPresence};

/// The state of a target as seen by this VM.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Registration of the target.
    pub entry: Rc<TargetEntry>,
    /// Load of this VM's calls.
    pub own: TargetLoad,
    /// Recent failures.
    pub failures: FailureHistory,
    /// Estimate of the prompt parts that the target has cached.
    pub prompt_cache: PromptCacheEstimate,
    /// Whether the target has stated that it is leaving.
    pub is_leaving: bool,
    /// Last record that registers the target; [`None`] if it is not known.
    pub registered_at: Option<RecordPlace>,
    /// Record by which the target leaves, as another gateway has read it; [`None`] if a later one registers it.
    pub departed_at: Option<RecordPlace>,
    /// When its first registration in this start was read.
    pub appeared_ms: u64,
    /// Whether another process answers at the target's address. The registration is then of a target that
    /// has ended, until it is written again.
    pub is_replaced: bool,
    /// Time until which the target wants no calls from this VM.
    pub throttled_until_ms: u64,
    /// Limit on the calls from all VMs together.
    pub limit: LimitRecord,
    /// Whether the target falls over when it turns away too many calls.
    pub brittle: BrittleRecord,
    /// Time until which the target is cold.
    pub cold_until_ms: u64,
    /// Permits of this VM for calls to the target while it has a limit.
    pub permits: Permits,
    /// End of the grace period after deregistration; [`None`] while the target is registered.
    pub usable_until_ms: Option<u64>,
    /// Tells those to whom the target was given that it has left.
    pub presence: TargetPresence,
    /// Loads that other VMs reported, by the random identifier of the process's start.
    peer_loads: FastHashMap<u64, PeerLoad>,
}

/// Load on a target, of one VM or of all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Number of calls in flight.
    pub in_flight: u32,
    /// Prompt tokens of those calls that are neither processed yet nor expected to be cached.
    pub unread_tokens: u64,
    /// The same by the urgency of the calls.
    pub unread_by_urgency: UrgencyTokens,
    /// Tokens of those calls in the KV cache, with the output that is expected, without prompt parts that
    /// were cached before.
    pub kv_tokens: u64,
}

/// Another VM's load at a target, as last reported.
#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: TargetLoad,
    updated_at_ms: u64,
}

impl PeerLoad {
    /// Returns the prompt tokens that the target cannot have processed since the report.
    fn unread_tokens(&self, prefill_tokens_per_ms: f64, now_ms: u64) -> u64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        let processed_tokens = (age_ms * prefill_tokens_per_ms) as u64;
        self.load.unread_tokens.saturating_sub(processed_tokens)
    }
}

/// Age after which another VM's report of its load is ignored.
const PEER_LOAD_MAX_AGE_MS: u64 = 3_000;
/// Number of reports above which old ones are removed.
const MAX_PEERS: usize = 128;

impl TargetState {
    /// Creates the state of a newly registered target.
    #[must_use]
    pub fn new(entry: Rc<TargetEntry>) -> Self {
        Self {
            entry,
            own: TargetLoad::default(),
            failures: FailureHistory::default(),
            prompt_cache: PromptCacheEstimate::default(),
            is_leaving: false,
            registered_at: None,
            departed_at: None,
            appeared_ms: 0,
            is_replaced: false,
            throttled_until_ms: 0,
            limit: LimitRecord::default(),
            brittle: BrittleRecord::default(),
            cold_until_ms: 0,
            permits: Permits::default(),
            usable_until_ms: None,
            presence: TargetPresence::default(),
            peer_loads: FastHashMap::default(),
        }
    }

    /// Returns whether the registration ended and its grace period is over.
    #[must_use]
    pub fn is_expired(&self, now_ms: u64) -> bool {
        self.usable_until_ms
            .is_some_and(|until_ms| now_ms >= until_ms)
    }

    /// Returns whether the target is registered and its registration does not say that it drains.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        !self.entry.draining && self.usable_until_ms.is_none()
    }

    /// Returns whether the target runs a software version, or whether any will do.
    #[must_use]
    pub fn has_version(&self, software_version: Option<&SoftwareVersion>) -> bool {
        software_version.is_none_or(|version| self.entry.software_version == *version)
    }

    /// Returns whether the target is registered, is not leaving and has not been replaced.
    #[must_use]
    pub fn is_in_service(&self, now_ms: u64) -> bool {
        let is_gone = self.is_replaced || self.departed_at.is_some() || self.is_expired(now_ms);
        !self.entry.draining && !self.is_leaving && !is_gone
    }

    /// Tells those to whom the target was given whether it has left.
    pub(super) fn update_presence(&mut self, now_ms: u64) {
        let is_in_service = self.is_in_service(now_ms);
        self.presence.update(is_in_service);
    }

    /// Returns whether new calls may be sent to the target now.
    #[must_use]
    pub fn accepts_calls(&self, now_ms: u64) -> bool {
        self.is_in_service(now_ms) && self.pause_ms(now_ms) == 0
    }

    /// Returns the time until the target takes calls of this VM, as far as throttling, its limit and its brittleness
    /// are concerned.
    #[must_use]
    pub fn pause_ms(&self, now_ms: u64) -> u64 {
        let throttled_ms = self.throttled_until_ms.saturating_sub(now_ms);
        throttled_ms
            .max(self.limited_ms(now_ms))
            .max(self.brittle_ms(now_ms))
    }

    /// Returns the time until a brittle target may get a call; 0 for others.
    #[must_use]
    pub fn brittle_ms(&self, now_ms: u64) -> u64 {
        if !self.brittle.is_brittle() {
            return 0;
        }
        let calls = SlotUse {
            slots: self.entry.slots,
            own: self.own.in_flight,
            all: self.load(now_ms),
        };
        self.brittle.pause_ms(calls, now_ms)
    }

    /// Returns the time until there may be a permit for a call to the target.
    #[must_use]
    pub fn limited_ms(&self, now_ms: u64) -> u64 {
        let is_limited = self.limit.rate().is_some() || now_ms < self.cold_until_ms;
        if is_limited {
            self.permits.denied_ms(now_ms)
        } else {
            0
        }
    }

    /// Returns the limit on the calls from all VMs together, of a target that accepts `cold_limit` while it
    /// is cold; [`None`] if there is none.
    #[must_use]
    pub fn call_limit(&self, cold_limit: Option<CallRate>, now_ms: u64) -> Option<CallRate> {
        let cold_limit = cold_limit.filter(|_limit| now_ms < self.cold_until_ms);
        [self.limit.rate(), cold_limit].into_iter().flatten().min()
    }

    /// Sets another VM's load.
    pub fn set_peer_load(&mut self, peer: u64, load: TargetLoad, now_ms: u64) {
        let load = PeerLoad {
            load,
            updated_at_ms: now_ms,
        };
        if self.peer_loads.len() >= MAX_PEERS {
            // Each start of a process is another peer, so entries of earlier starts would
            // accumulate.
            self.peer_loads.retain(|_peer, load| {
                now_ms.saturating_sub(load.updated_at_ms) <= PEER_LOAD_MAX_AGE_MS
            });
        }
        self.peer_loads.insert(peer, load);
    }

    /// Removes another VM's load, before its next report is applied.
    pub fn clear_peer_load(&mut self, peer: u64) {
        self.peer_loads.remove(&peer);
    }

    /// Returns the calls in flight at the target, including those that other VMs reported.
    #[must_use]
    pub fn load(&self, now_ms: u64) -> u32 {
        let peer_total: u32 = self
            .recent_peer_loads(now_ms)
            .map(|peer| peer.load.in_flight)
            .fold(0, u32::saturating_add);
        self.own.in_flight.saturating_add(peer_total)
    }

    /// Returns the load of the calls of all VMs, of whose prompts the target has processed
    /// `prefill_tokens_per_ms` since the last reports.
    #[must_use]
    pub fn total_load(&self, prefill_tokens_per_ms: f64, now_ms: u64) -> TargetLoad {
        let mut total = self.own;
        for peer in self.recent_peer_loads(now_ms) {
            let unread_tokens = peer.unread_tokens(prefill_tokens_per_ms, now_ms);
            total.in_flight = total.in_flight.saturating_add(peer.load.in_flight);
            total.unread_tokens = total.unread_tokens.saturating_add(unread_tokens);
            total.kv_tokens = total.kv_tokens.saturating_add(peer.load.kv_tokens);
        }
        total
    }

    /// Returns the tokens in the KV cache for the calls in flight, including those that other VMs reported.
    #[must_use]
    pub fn kv_tokens(&self, now_ms: u64) -> u64 {
        let peer_total = self
            .recent_peer_loads(now_ms)
            .map(|peer| peer.load.kv_tokens)
            .fold(0, u64::saturating_add);
        self.own.kv_tokens.saturating_add(peer_total)
    }

    /// Returns the room for calls at the target, which has `engine`.
    #[must_use]
    pub fn room(&self, engine: Option<EngineSettings>, now_ms: u64) -> Room {
        let (calls, kv_tokens) = (self.load(now_ms), self.kv_tokens(now_ms));
        Room::new(engine, self.entry.slots.max(1), calls, kv_tokens)
    }

    /// Returns the prompt tokens that the target still has to process, including those that other
    /// VMs reported and that it cannot have processed since.
    #[must_use]
    pub fn total_unread_tokens(&self, prefill_tokens_per_ms: f64, now_ms: u64) -> u64 {
        let peer_total: u64 = self
            .recent_peer_loads(now_ms)
            .map(|peer| peer.unread_tokens(prefill_tokens_per_ms, now_ms))
            .sum();
        self.own.unread_tokens + peer_total
    }

    /// Returns the part of [`Self::total_unread_tokens`] that belongs to less urgent calls. The target
    /// processes it after that of more urgent ones.
    #[must_use]
    pub fn less_urgent_tokens(&self, urgency: u8, prefill_tokens_per_ms: f64, now_ms: u64) -> u64 {
        let peer_total: u64 = self
            .recent_peer_loads(now_ms)
            .map(|peer| {
                let left = peer.unread_tokens(prefill_tokens_per_ms, now_ms);
                let tokens = &peer.load.unread_by_urgency;
                tokens.less_urgent_than(urgency).min(left)
            })
            .sum();
        self.own.unread_by_urgency.less_urgent_than(urgency) + peer_total
    }

    fn recent_peer_loads(&self, now_ms: u64) -> impl Iterator<Item = &PeerLoad> {
        self.peer_loads
            .values()
            .filter(move |load| now_ms.saturating_sub(load.updated_at_ms) <= PEER_LOAD_MAX_AGE_MS)
    }
}
