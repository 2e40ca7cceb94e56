//! Grants permits for the calls to targets with a limit.

use toucan_types::{FastHashMap, TargetName};

use super::{CallRate, PermitBucket};

/// Shortest time after which a gateway asks again that got fewer permits than it asked for.
const MIN_RETURN_MS: f64 = 50.0;
/// Time over which requests for permits are counted.
const REQUEST_WINDOW_MS: f64 = 1_000.0;
/// Time by which a gateway asks again later for each request of the last second, so that the number of
/// requests stays bounded in a large fleet.
const RETURN_PER_REQUEST_MS: f64 = 1.0;

/// The permits that were granted on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PermitGrant {
    /// Number of permits.
    pub permits: u32,
    /// Time after which there may be more.
    pub return_ms: u64,
}

/// What this gateway has granted for one target.
#[derive(Clone, Copy, Debug)]
struct GrantedTarget {
    bucket: PermitBucket,
    /// Number of requests, exponentially decayed.
    recent_requests: f64,
    asked_at_ms: u64,
}

impl GrantedTarget {
    const fn new(now_ms: u64) -> Self {
        Self {
            bucket: PermitBucket::new(now_ms),
            recent_requests: 0.0,
            asked_at_ms: now_ms,
        }
    }

    fn count_request(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.asked_at_ms) as f64;
        self.recent_requests *= (-passed_ms / REQUEST_WINDOW_MS).exp();
        self.recent_requests += 1.0;
        self.asked_at_ms = now_ms;
    }
}

/// The targets for which this gateway grants permits.
#[derive(Clone, Debug, Default)]
pub struct PermitGranter {
    by_target: FastHashMap<TargetName, GrantedTarget>,
}

impl PermitGranter {
    /// Grants up to `wanted` permits for a target, as far as the `share` of its limit allows for which this
    /// gateway may grant permits.
    ///
    /// A share can grow at any time, so the time to ask again follows from the whole limit.
    pub fn grant(
        &mut self,
        target: &TargetName,
        limit: CallRate,
        share: f64,
        wanted: u32,
        now_ms: u64,
    ) -> PermitGrant {
        let granted = self
            .by_target
            .entry(target.clone())
            .or_insert_with(|| GrantedTarget::new(now_ms));
        granted.count_request(now_ms);
        let permits = granted.bucket.take(wanted, limit.per_s() * share, now_ms);
        let min_return_ms = MIN_RETURN_MS.max(granted.recent_requests * RETURN_PER_REQUEST_MS);
        let next_ms = granted.bucket.next_permit_ms(limit.per_s());
        PermitGrant {
            permits,
            return_ms: next_ms.max(min_return_ms as u64),
        }
    }

    /// Forgets the targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&TargetName) -> bool) {
        self.by_target.retain(|target, _granted| is_known(target));
    }
}
