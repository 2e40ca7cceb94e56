//! What is retried, resumed and told to the caller.

use proptest::prelude::*;
use test_case::test_case;
use toucan_router::{
    AttemptOutcome, HedgePolicy, HedgeSettings, RequestAttempts, RetryBudget, RetryBudgetSettings,
    RetryDecision, RetryPolicy, RunStatus,
};

const ONCE: RetryPolicy = RetryPolicy {
    idempotent: false,
    resumable: false,
    max_attempts: 3,
    max_resumes: 5,
    backoff_ms: 20,
    deadline_ms: 10_000,
};
const AGAIN: RetryPolicy = RetryPolicy {
    idempotent: true,
    ..ONCE
};
const STREAM: RetryPolicy = RetryPolicy {
    idempotent: true,
    resumable: true,
    ..ONCE
};

const UNKNOWN: RetryDecision = RetryDecision::GiveUp {
    run_status: RunStatus::MayHaveRun,
};
const NOT_RUN: RetryDecision = RetryDecision::GiveUp {
    run_status: RunStatus::NotRun,
};
const ELSEWHERE: RetryDecision = RetryDecision::RetryElsewhere { after_ms: 20 };

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings::default(), 0)
}

#[test_case(ONCE, AttemptOutcome::NotSent, ELSEWHERE; "not sent")]
#[test_case(ONCE, AttemptOutcome::RefusedNotRun { retry_after_ms: 0 }, ELSEWHERE; "refused")]
#[test_case(ONCE, AttemptOutcome::Unknown, UNKNOWN; "unknown, once only")]
#[test_case(ONCE, AttemptOutcome::Broken { tokens_received: 0 }, UNKNOWN; "broken, once only")]
#[test_case(ONCE, AttemptOutcome::Silent { tokens_received: 0 }, UNKNOWN; "silent, once only")]
#[test_case(AGAIN, AttemptOutcome::Unknown, ELSEWHERE; "unknown, idempotent")]
#[test_case(AGAIN, AttemptOutcome::Broken { tokens_received: 3 }, UNKNOWN; "caller has tokens of another run")]
#[test_case(STREAM, AttemptOutcome::Broken { tokens_received: 3 }, RetryDecision::Resume { from_token: 3, after_ms: 0 }; "resumed")]
#[test_case(STREAM, AttemptOutcome::StreamGone { tokens_received: 0 }, ELSEWHERE; "stream gone before any token")]
#[test_case(STREAM, AttemptOutcome::StreamGone { tokens_received: 3 }, UNKNOWN; "stream gone with tokens")]
fn decision_after_the_first_attempt(
    rules: RetryPolicy,
    outcome: AttemptOutcome,
    expected: RetryDecision,
) {
    assert_eq!(
        RequestAttempts::new(rules).decide(outcome, &mut budget(), 0),
        expected
    );
}

#[test]
fn a_last_attempt_that_did_not_run_does_not_hide_one_that_may_have() {
    let mut attempts = RequestAttempts::new(AGAIN);
    let mut budget = budget();
    assert_eq!(
        attempts.decide(AttemptOutcome::Unknown, &mut budget, 0),
        ELSEWHERE
    );
    attempts.decide(AttemptOutcome::NotSent, &mut budget, 0);
    assert_eq!(
        attempts.decide(AttemptOutcome::NotSent, &mut budget, 0),
        UNKNOWN
    );
}

#[test]
fn an_empty_budget_and_a_passed_deadline_end_retries() {
    let settings = RetryBudgetSettings {
        max_saved_retries: 0,
        per_s: 0,
        ..Default::default()
    };
    let mut empty = RetryBudget::new(settings, 0);
    let decision = RequestAttempts::new(AGAIN).decide(AttemptOutcome::NotSent, &mut empty, 0);
    assert_eq!(decision, NOT_RUN);
    let late = RequestAttempts::new(STREAM).decide(
        AttemptOutcome::Broken { tokens_received: 1 },
        &mut budget(),
        10_000,
    );
    assert_eq!(late, UNKNOWN);
}

#[test]
fn resumptions_without_progress_end_and_progress_renews_them() {
    let mut attempts = RequestAttempts::new(STREAM);
    let mut budget = budget();
    let mut resumes = 0;
    let mut tokens_received = 1;
    while let RetryDecision::Resume { from_token, .. } =
        attempts.decide(AttemptOutcome::Broken { tokens_received }, &mut budget, 0)
    {
        assert_eq!(from_token, tokens_received);
        resumes += 1;
        if resumes == 3 {
            tokens_received = 2;
        }
    }
    assert_eq!(resumes, 3 + 5);
}

/// A brown-out: every attempt fails. Retries add a tenth and the saved ones, not a multiple.
#[test]
fn a_brown_out_does_not_become_a_storm() {
    let mut budget = budget();
    for _ in 0..1_000 {
        budget.record_success();
    }
    let mut sent = 0;
    for request in 0..1_000 {
        let mut attempts = RequestAttempts::new(AGAIN);
        sent += 1;
        while let RetryDecision::RetryElsewhere { .. } =
            attempts.decide(AttemptOutcome::Unknown, &mut budget, request)
        {
            sent += 1;
        }
    }
    assert_eq!(sent, 1_000 + 20);
}

#[test]
fn hedges_are_off_by_default_rare_when_on_and_never_for_work_that_runs_once() {
    let mut off = HedgePolicy::new(HedgeSettings::default());
    let on = HedgeSettings {
        enabled: true,
        ..Default::default()
    };
    let mut policy = HedgePolicy::new(on);
    for answer in 0..5_000_u64 {
        let first_token_ms = if answer % 20 == 0 { 900 } else { 100 };
        off.answered(first_token_ms);
        policy.answered(first_token_ms);
    }
    assert!(!off.take(true, 100_000));
    assert!(!policy.take(false, 100_000));
    assert!(!policy.take(true, 10));
    let taken = (0..1_000).filter(|_| policy.take(true, 100_000)).count();
    assert_eq!(taken, 10);
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::NotSent),
        (0..500_u64).prop_map(|retry_after_ms| AttemptOutcome::RefusedNotRun { retry_after_ms }),
        (0..9_u64).prop_map(|tokens_received| AttemptOutcome::Broken { tokens_received }),
        (0..9_u64).prop_map(|tokens_received| AttemptOutcome::Silent { tokens_received }),
        (0..9_u64).prop_map(|tokens_received| AttemptOutcome::StreamGone { tokens_received }),
        Just(AttemptOutcome::Unknown),
    ]
}

proptest! {
    /// Non-idempotent work that may have run is never sent again, nor called "not run".
    #[test]
    fn runs_once_and_tells_the_truth(
        outcomes in proptest::collection::vec(outcome(), 1..12),
        idempotent: bool,
        resumable: bool,
    ) {
        let rules = RetryPolicy { idempotent, resumable, ..ONCE };
        let mut attempts = RequestAttempts::new(rules);
        let mut budget = budget();
        let mut may_have_run = false;
        for outcome in outcomes {
            may_have_run |= !matches!(
                outcome,
                AttemptOutcome::NotSent | AttemptOutcome::RefusedNotRun { .. }
            );
            match attempts.decide(outcome, &mut budget, 0) {
                RetryDecision::RetryElsewhere { .. } => prop_assert!(idempotent || !may_have_run),
                RetryDecision::Resume { .. } => prop_assert!(resumable),
                RetryDecision::GiveUp { run_status } => {
                    prop_assert_eq!(run_status == RunStatus::MayHaveRun, may_have_run);
                    break;
                }
            }
            prop_assert!(attempts.attempts() <= rules.max_attempts);
        }
    }
}
