//! Rate and concurrency of organisations.

use test_case::test_case;
use toucan_router::{OrganisationLimits, RateLimiter, RateRefusal};

const LIMITS: OrganisationLimits = OrganisationLimits {
    requests_per_minute: Some(120),
    burst_requests: 4,
    concurrent_requests: Some(3),
};

#[test]
fn a_minute_lets_through_the_rate_and_the_burst() {
    let limits = OrganisationLimits {
        concurrent_requests: None,
        ..LIMITS
    };
    let mut limiter = RateLimiter::default();
    let admitted = (0..60_000)
        .step_by(50)
        .filter(|now_ms| limiter.admit(&"guild".into(), limits, *now_ms).is_ok())
        .count();
    assert_eq!(admitted, 4 + 119);
}

#[test]
fn a_retry_after_the_told_time_is_admitted() {
    let limits = OrganisationLimits {
        concurrent_requests: None,
        ..LIMITS
    };
    let mut limiter = RateLimiter::default();
    while limiter.admit(&"guild".into(), limits, 7).is_ok() {}
    let refusal = limiter.admit(&"guild".into(), limits, 7).unwrap_err();
    let at_ms = 7 + refusal.retry_after_ms();
    assert!(limiter.admit(&"guild".into(), limits, at_ms - 1).is_err());
    assert!(limiter.admit(&"guild".into(), limits, at_ms).is_ok());
}

#[test]
fn concurrency_frees_with_each_end_and_costs_no_rate() {
    let mut limiter = RateLimiter::default();
    let guild = "guild".into();
    for _ in 0..3 {
        limiter.admit(&guild, LIMITS, 0).unwrap();
    }
    for _ in 0..5 {
        let refusal = limiter.admit(&guild, LIMITS, 0).unwrap_err();
        assert!(matches!(refusal, RateRefusal::Concurrency { .. }));
    }
    limiter.finish(&guild);
    assert!(limiter.admit(&guild, LIMITS, 0).is_ok());
    assert_eq!(limiter.in_progress(&guild), 3);
    assert!(limiter.admit(&"other".into(), LIMITS, 0).is_ok());
}

#[test_case(1, 120, 4, 3)]
#[test_case(8, 15, 1, 1)]
#[test_case(0, 120, 4, 3; "no nodes counts as one")]
fn nodes_share_the_limits(nodes: u32, rate: u64, burst: u64, concurrent: u32) {
    let share = LIMITS.per_node(nodes);
    assert_eq!(share.requests_per_minute, Some(rate));
    assert_eq!(share.burst_requests, burst);
    assert_eq!(share.concurrent_requests, Some(concurrent));
}

#[test]
fn idle_organisations_are_forgotten_but_not_their_requests() {
    let mut limiter = RateLimiter::default();
    limiter.admit(&"guild".into(), LIMITS, 0).unwrap();
    limiter.forget_idle(1_000, 60_000);
    assert_eq!(limiter.in_progress(&"guild".into()), 1);
}
