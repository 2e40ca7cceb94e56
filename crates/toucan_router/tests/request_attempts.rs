//! Tests of retry, resume and hedge decisions and of the run status reported to the caller.

use proptest::prelude::*;
use test_case::test_case;
use toucan_router::{
    AttemptOutcome, HedgePolicy, HedgeSettings, RequestAttempts, RetryBudget, RetryBudgetSettings,
    RetryDecision, RetryPolicy, RunStatus,
};

const NON_IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: false,
    resumable: false,
    max_attempts: 3,
    max_resumes: 5,
    initial_backoff_ms: 20,
    deadline_ms: 10_000,
};
const IDEMPOTENT: RetryPolicy = RetryPolicy {
    idempotent: true,
    ..NON_IDEMPOTENT
};
const RESUMABLE: RetryPolicy = RetryPolicy {
    idempotent: true,
    resumable: true,
    ..NON_IDEMPOTENT
};

const GIVE_UP_MAY_HAVE_RUN: RetryDecision = RetryDecision::GiveUp {
    run_status: RunStatus::MayHaveRun,
};
const GIVE_UP_NOT_RUN: RetryDecision = RetryDecision::GiveUp {
    run_status: RunStatus::NotRun,
};
const RETRY_ELSEWHERE: RetryDecision = RetryDecision::RetryElsewhere { after_ms: 20 };

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings::default(), 0)
}

#[test_case(NON_IDEMPOTENT, AttemptOutcome::NotSent, RETRY_ELSEWHERE; "not sent")]
#[test_case(NON_IDEMPOTENT, AttemptOutcome::RefusedNotRun { retry_after_ms: 0 }, RETRY_ELSEWHERE; "refused")]
#[test_case(NON_IDEMPOTENT, AttemptOutcome::Unknown, GIVE_UP_MAY_HAVE_RUN; "unknown, non-idempotent")]
#[test_case(NON_IDEMPOTENT, AttemptOutcome::Broken { tokens_received: 0 }, GIVE_UP_MAY_HAVE_RUN; "broken, non-idempotent")]
#[test_case(NON_IDEMPOTENT, AttemptOutcome::Silent { tokens_received: 0 }, GIVE_UP_MAY_HAVE_RUN; "silent, non-idempotent")]
#[test_case(IDEMPOTENT, AttemptOutcome::Unknown, RETRY_ELSEWHERE; "unknown, idempotent")]
#[test_case(IDEMPOTENT, AttemptOutcome::Broken { tokens_received: 3 }, GIVE_UP_MAY_HAVE_RUN; "caller has tokens of another run")]
#[test_case(RESUMABLE, AttemptOutcome::Broken { tokens_received: 3 }, RetryDecision::Resume { from_token: 3, after_ms: 0 }; "resumed")]
#[test_case(RESUMABLE, AttemptOutcome::StreamGone { tokens_received: 0 }, RETRY_ELSEWHERE; "stream gone before any token")]
#[test_case(RESUMABLE, AttemptOutcome::StreamGone { tokens_received: 3 }, GIVE_UP_MAY_HAVE_RUN; "stream gone with tokens")]
fn decision_after_the_first_attempt(
    policy: RetryPolicy,
    outcome: AttemptOutcome,
    expected: RetryDecision,
) {
    assert_eq!(
        RequestAttempts::new(policy).decide(outcome, &mut budget(), 0),
        expected
    );
}

#[test]
fn a_last_attempt_that_did_not_run_does_not_mask_one_that_may_have_run() {
    let mut attempts = RequestAttempts::new(IDEMPOTENT);
    let mut budget = budget();
    assert_eq!(
        attempts.decide(AttemptOutcome::Unknown, &mut budget, 0),
        RETRY_ELSEWHERE
    );
    attempts.decide(AttemptOutcome::NotSent, &mut budget, 0);
    assert_eq!(
        attempts.decide(AttemptOutcome::NotSent, &mut budget, 0),
        GIVE_UP_MAY_HAVE_RUN
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
    let decision = RequestAttempts::new(IDEMPOTENT).decide(AttemptOutcome::NotSent, &mut empty, 0);
    assert_eq!(decision, GIVE_UP_NOT_RUN);
    let late = RequestAttempts::new(RESUMABLE).decide(
        AttemptOutcome::Broken { tokens_received: 1 },
        &mut budget(),
        10_000,
    );
    assert_eq!(late, GIVE_UP_MAY_HAVE_RUN);
}

#[test]
fn resumptions_without_progress_are_limited_and_progress_resets_the_limit() {
    let mut attempts = RequestAttempts::new(RESUMABLE);
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

/// When every attempt fails, retries add only the saved ones to the load.
#[test]
fn retries_do_not_multiply_the_load_when_all_attempts_fail() {
    let mut budget = budget();
    for _ in 0..1_000 {
        budget.record_success();
    }
    let mut sent = 0;
    for request in 0..1_000 {
        let mut attempts = RequestAttempts::new(IDEMPOTENT);
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
fn hedges_are_off_by_default_limited_when_on_and_never_sent_for_non_idempotent_requests() {
    let mut off = HedgePolicy::new(HedgeSettings::default());
    let on = HedgeSettings {
        enabled: true,
        ..Default::default()
    };
    let mut policy = HedgePolicy::new(on);
    for answer in 0..5_000_u64 {
        let first_token_ms = if answer % 20 == 0 { 900 } else { 100 };
        off.record_first_token(first_token_ms);
        policy.record_first_token(first_token_ms);
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
    /// A non-idempotent request that may have run is never sent again nor reported as not run.
    #[test]
    fn non_idempotent_requests_run_once_and_the_run_status_is_correct(
        outcomes in proptest::collection::vec(outcome(), 1..12),
        idempotent: bool,
        resumable: bool,
    ) {
        let policy = RetryPolicy { idempotent, resumable, ..NON_IDEMPOTENT };
        let mut attempts = RequestAttempts::new(policy);
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
            prop_assert!(attempts.attempts() <= policy.max_attempts);
        }
    }
}
