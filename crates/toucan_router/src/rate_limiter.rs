//! Rate and concurrency limits of each organisation's requests.

use displaydoc::Display;
use toucan_types::{FastHashMap, OrganisationName};

use crate::OrganisationLimits;

/// Credit that one request consumes.
///
/// It equals the milliseconds of a minute, so that a rate of n requests per minute earns n units of
/// credit per millisecond.
const CREDIT_PER_REQUEST: u64 = 60_000;
/// Retry delay sent to a caller that has too many requests in flight.
const CONCURRENCY_RETRY_AFTER_MS: u64 = 250;

/// Reason to refuse a request before it is queued. A refused request was not run.
#[expect(
    clippy::doc_markdown,
    reason = "the first line is the message of the error"
)]
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RateRefusal {
    /// over the organisation's rate, retry after {retry_after_ms} ms
    Rate {
        /// Time after which the next request is within the rate limit.
        retry_after_ms: u64,
    },
    /// too many of the organisation's requests in progress, retry after {retry_after_ms} ms
    Concurrency {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
}

impl std::error::Error for RateRefusal {}

impl RateRefusal {
    /// Returns the time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after_ms(&self) -> u64 {
        match *self {
            Self::Rate { retry_after_ms } | Self::Concurrency { retry_after_ms } => retry_after_ms,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    credit: u64,
    refilled_at_ms: u64,
    in_flight: u32,
}

/// Limits the request rate of each organisation by a token bucket, and its requests in flight.
///
/// ```
/// use toucan_router::{OrganisationLimits, RateLimiter};
///
/// let limits = OrganisationLimits {
///     requests_per_minute: Some(60),
///     burst_requests: 1,
///     concurrent_requests: None,
/// };
/// let mut limiter = RateLimiter::default();
/// assert!(limiter.admit(&"guild".into(), limits, 0).is_ok());
/// let refusal = limiter.admit(&"guild".into(), limits, 400).unwrap_err();
/// assert_eq!(refusal.retry_after_ms(), 600);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    buckets: FastHashMap<OrganisationName, Bucket>,
}

impl RateLimiter {
    /// Counts a request as in flight, or refuses it.
    ///
    /// # Errors
    ///
    /// [`RateRefusal`] if the request would exceed a limit. It is then not counted.
    pub fn admit(
        &mut self,
        organisation: &OrganisationName,
        limits: OrganisationLimits,
        now_ms: u64,
    ) -> Result<(), RateRefusal> {
        let max_credit = max_credit(limits);
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert_with(|| Bucket {
                credit: max_credit,
                refilled_at_ms: now_ms,
                in_flight: 0,
            });
        if limits
            .concurrent_requests
            .is_some_and(|max| bucket.in_flight >= max)
        {
            return Err(RateRefusal::Concurrency {
                retry_after_ms: CONCURRENCY_RETRY_AFTER_MS,
            });
        }
        if let Some(rate) = limits.requests_per_minute {
            bucket.take_request(rate, max_credit, now_ms)?;
        }
        bucket.in_flight += 1;
        Ok(())
    }

    /// Counts a request as ended. Must be called once for each admitted request.
    pub fn finish(&mut self, organisation: &OrganisationName) {
        if let Some(bucket) = self.buckets.get_mut(organisation) {
            bucket.in_flight = bucket.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self, organisation: &OrganisationName) -> u32 {
        self.buckets
            .get(organisation)
            .map_or(0, |bucket| bucket.in_flight)
    }

    /// Removes the state of organisations without requests in flight that sent none for `idle_ms`.
    pub fn forget_idle(&mut self, idle_ms: u64, now_ms: u64) {
        self.buckets.retain(|_, bucket| {
            bucket.in_flight > 0 || now_ms.saturating_sub(bucket.refilled_at_ms) < idle_ms
        });
    }
}

impl Bucket {
    fn take_request(
        &mut self,
        rate_per_minute: u64,
        max_credit: u64,
        now_ms: u64,
    ) -> Result<(), RateRefusal> {
        let passed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let filled = passed_ms.saturating_mul(rate_per_minute);
        self.credit = self.credit.saturating_add(filled).min(max_credit);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        if self.credit < CREDIT_PER_REQUEST {
            let missing = CREDIT_PER_REQUEST - self.credit;
            let retry_after_ms = match rate_per_minute {
                0 => CREDIT_PER_REQUEST,
                rate => missing.div_ceil(rate),
            };
            return Err(RateRefusal::Rate { retry_after_ms });
        }
        self.credit -= CREDIT_PER_REQUEST;
        Ok(())
    }
}

fn max_credit(limits: OrganisationLimits) -> u64 {
    let per_second = limits.requests_per_minute.unwrap_or(0).div_ceil(60);
    let burst = match limits.burst_requests {
        0 => per_second.max(1),
        burst => burst,
    };
    burst.saturating_mul(CREDIT_PER_REQUEST)
}
