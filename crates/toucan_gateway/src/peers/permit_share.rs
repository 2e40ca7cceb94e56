//! Which gateways grant permits for the calls to a target, and what share of its limit each has.
//!
//! One gateway, found by rendezvous hashing, grants nearly all of the limit. Gateways do not always see
//! the same members, so several may take themselves for it. A share stays small until no other gateway
//! can still believe that it has the large one, and the shares of all that may exist at the same time
//! stay below the limit with its tolerance, without any agreement between them.

use std::hash::Hash;

use toucan_types::{TargetName, VmName, rendezvous_ranking};

use super::{
    GatewayLocation, Members,
    member::{LIVENESS_TIMEOUT_MS, MEMBER_EXPIRY_MS},
};

/// Share of the gateway that ranks first among all that it has seen for long enough.
const FULL_SHARE: f64 = 0.95;
/// Share of a gateway that ranks first since a moment ago, and of the one that ranks second.
const SMALL_SHARE: f64 = 0.1;
/// Share of all gateways together that hear from no majority.
const MINORITY_SHARE: f64 = 0.4;
/// Time for which a gateway has to hear from a majority, and to rank first, before its share grows. The
/// one that ranked first before has noticed by then.
const TAKEOVER_MS: u64 = LIVENESS_TIMEOUT_MS;
/// Longest time between two observations of the members. After a longer one, the process was suspended.
const MAX_OBSERVATION_GAP_MS: u64 = 6_000;
/// Number of gateways that are asked for the permits of one target.
const GRANTERS: usize = 2;

/// Number of gateways that tell the others what they have read. Some of them may be unable to read it.
const TELLERS: usize = 4;

/// Since when this gateway hears from a majority of all gateways.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MajorityWatch {
    since_ms: Option<u64>,
    observed_at_ms: u64,
}

impl Members {
    /// Notes whether a majority of the gateways is heard from. To be called at least every
    /// `MAX_OBSERVATION_GAP_MS`.
    pub fn observe(&mut self, now_ms: u64) {
        let is_continuous = now_ms <= self.majority.observed_at_ms + MAX_OBSERVATION_GAP_MS;
        let since_ms = self.majority.since_ms.filter(|_since| is_continuous);
        self.majority = MajorityWatch {
            since_ms: self
                .hears_majority(now_ms)
                .then(|| since_ms.unwrap_or(now_ms)),
            observed_at_ms: now_ms,
        };
    }

    /// Returns the gateways to ask for permits to call a target, best first. The gateway at `local` may be
    /// one of them.
    #[must_use]
    pub fn permit_granters(
        &self,
        target: &TargetName,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> Vec<VmName> {
        self.rank_live(target, local, GRANTERS, now_ms)
    }

    /// Returns whether the gateway at `local` is one of the few that tell the others what they have read of `subject`
    /// from the store.
    #[must_use]
    pub fn is_teller(&self, subject: &impl Hash, local: &GatewayLocation, now_ms: u64) -> bool {
        self.rank_live(subject, local, TELLERS, now_ms)
            .contains(&local.vm)
    }

    /// Returns up to `count` of the live gateways, the same ones at each gateway that sees the same members.
    fn rank_live(
        &self,
        subject: &impl Hash,
        local: &GatewayLocation,
        count: usize,
        now_ms: u64,
    ) -> Vec<VmName> {
        let live = self.seen_within(LIVENESS_TIMEOUT_MS, now_ms);
        let candidates = live.map(|(vm, _member)| vm);
        let candidates = candidates.chain(std::iter::once(&local.vm));
        let ranked = rendezvous_ranking(subject, candidates, count);
        ranked.into_iter().cloned().collect()
    }

    /// Returns the share of a target's limit for which the gateway at `local` grants permits.
    #[must_use]
    pub fn permit_share(&self, target: &TargetName, local: &GatewayLocation, now_ms: u64) -> f64 {
        let granters = self.permit_granters(target, local, now_ms);
        let is_first = granters.first() == Some(&local.vm);
        if !self.hears_majority(now_ms) {
            let live = 1 + self.seen_within(LIVENESS_TIMEOUT_MS, now_ms).count();
            let registered = 1 + self.seen_within(MEMBER_EXPIRY_MS, now_ms).count();
            let heard_fraction = live as f64 / registered as f64;
            return if is_first {
                MINORITY_SHARE * heard_fraction
            } else {
                0.0
            };
        }
        if is_first && self.ranks_first_for_long(target, local, now_ms) {
            FULL_SHARE
        } else if granters.contains(&local.vm) {
            SMALL_SHARE
        } else {
            0.0
        }
    }

    /// Returns whether the gateway at `local` has ranked first for long enough that no other one can still
    /// believe to do so.
    fn ranks_first_for_long(
        &self,
        target: &TargetName,
        local: &GatewayLocation,
        now_ms: u64,
    ) -> bool {
        let is_observed = now_ms <= self.majority.observed_at_ms + MAX_OBSERVATION_GAP_MS;
        let has_majority = self
            .majority
            .since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + TAKEOVER_MS);
        let lately_live = self.seen_within(LIVENESS_TIMEOUT_MS + TAKEOVER_MS, now_ms);
        let candidates = lately_live.map(|(vm, _member)| vm);
        let candidates = candidates.chain(std::iter::once(&local.vm));
        is_observed
            && has_majority
            && rendezvous_ranking(target, candidates, 1).first() == Some(&&local.vm)
    }
}
