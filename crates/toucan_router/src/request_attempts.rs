//! Retry decisions after failed attempts of a request.

use crate::RetryBudget;

/// Failure of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// No byte of the request was written to the target.
    NotSent,
    /// The target refused the request and reported that it did not run it.
    RefusedNotRun {
        /// Retry delay that the target requested, or 0 if none.
        retry_after_ms: u64,
    },
    /// The connection broke after the request was written.
    Broken {
        /// Tokens received in order before the failure.
        tokens_received: u64,
    },
    /// The connection went silent and was closed.
    Silent {
        /// Tokens received in order before the failure.
        tokens_received: u64,
    },
    /// The target no longer holds the stream to resume.
    StreamGone {
        /// Tokens received in order before the failure.
        tokens_received: u64,
    },
    /// Any other failure after which the target may have run the request.
    Unknown,
}

/// Whether a request was run, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// No attempt ran.
    NotRun,
    /// Some attempt may have run.
    MayHaveRun,
}

/// Next step after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Resume the stream at the same target.
    Resume {
        /// Index of the first token to request.
        from_token: u64,
        /// Delay before the resumption.
        after_ms: u64,
    },
    /// Send the request to another target.
    RetryElsewhere {
        /// Delay before the retry.
        after_ms: u64,
    },
    /// Report the failure to the caller.
    GiveUp {
        /// Run status to report.
        run_status: RunStatus,
    },
}

/// Retry policy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the target can resume the stream by the request's id.
    pub resumable: bool,
    /// Maximum number of attempts that send the request, including the first one.
    pub max_attempts: u32,
    /// Maximum number of consecutive resumptions without a new token.
    pub max_resumes: u32,
    /// Initial delay before a retry or a second resumption, which doubles with each further one, in
    /// milliseconds.
    pub initial_backoff_ms: u64,
    /// Time after which no further attempt starts, in milliseconds since 1970.
    pub deadline_ms: u64,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            idempotent: false,
            resumable: false,
            max_attempts: 3,
            max_resumes: 5,
            initial_backoff_ms: 20,
            deadline_ms: u64::MAX,
        }
    }
}

/// Attempts of one request so far.
///
/// Tracks whether any attempt may have run. Otherwise a last attempt that certainly did not run
/// would be reported to the caller as if no attempt had run.
///
/// ```
/// use toucan_router::{
///     AttemptOutcome, RequestAttempts, RetryBudget, RetryBudgetSettings, RetryDecision, RetryPolicy,
///     RunStatus,
/// };
///
/// let mut budget = RetryBudget::new(RetryBudgetSettings::default(), 0);
/// let mut attempts = RequestAttempts::new(RetryPolicy::default());
/// let decision = attempts.decide(AttemptOutcome::Unknown, &mut budget, 0);
/// assert_eq!(decision, RetryDecision::GiveUp { run_status: RunStatus::MayHaveRun });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts {
    policy: RetryPolicy,
    attempts: u32,
    resumes: u32,
    may_have_run: bool,
    tokens_received: u64,
}

impl RequestAttempts {
    /// Creates the state of a request whose first attempt is about to start.
    #[must_use]
    pub const fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            attempts: 1,
            resumes: 0,
            may_have_run: false,
            tokens_received: 0,
        }
    }

    /// Returns the number of attempts that sent or tried to send the request.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns whether any attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Decides what to do after a failed attempt or resumption. A retry is taken from the budget.
    pub fn decide(
        &mut self,
        outcome: AttemptOutcome,
        budget: &mut RetryBudget,
        now_ms: u64,
    ) -> RetryDecision {
        match outcome {
            AttemptOutcome::NotSent => self.retry(0, budget, now_ms),
            AttemptOutcome::RefusedNotRun { retry_after_ms } => {
                self.retry(retry_after_ms, budget, now_ms)
            }
            AttemptOutcome::Broken { tokens_received }
            | AttemptOutcome::Silent { tokens_received } => {
                self.may_have_run = true;
                self.resume(tokens_received)
                    .filter(|_| now_ms < self.policy.deadline_ms)
                    .unwrap_or_else(|| self.retry(0, budget, now_ms))
            }
            AttemptOutcome::StreamGone { tokens_received } => {
                self.may_have_run = true;
                self.tokens_received = self.tokens_received.max(tokens_received);
                self.retry(0, budget, now_ms)
            }
            AttemptOutcome::Unknown => {
                self.may_have_run = true;
                self.retry(0, budget, now_ms)
            }
        }
    }

    /// Returns a resumption, if one is allowed.
    ///
    /// Resumptions cost the target very little and take nothing from the retry budget.
    fn resume(&mut self, tokens_received: u64) -> Option<RetryDecision> {
        if tokens_received > self.tokens_received {
            self.tokens_received = tokens_received;
            self.resumes = 0;
        }
        if !self.policy.resumable || self.resumes >= self.policy.max_resumes {
            return None;
        }
        // The first resumption has no delay.
        let after_ms = match self.resumes {
            0 => 0,
            resumes => self.policy.initial_backoff_ms << (resumes - 1).min(16),
        };
        self.resumes += 1;
        Some(RetryDecision::Resume {
            from_token: self.tokens_received,
            after_ms,
        })
    }

    fn retry(&mut self, after_ms: u64, budget: &mut RetryBudget, now_ms: u64) -> RetryDecision {
        let backoff_ms = self.policy.initial_backoff_ms << (self.attempts - 1).min(16);
        let after_ms = after_ms.max(backoff_ms);
        let is_in_time = now_ms.saturating_add(after_ms) < self.policy.deadline_ms;
        let is_allowed = self.may_repeat() && self.attempts < self.policy.max_attempts;
        if !is_allowed || !is_in_time || !budget.take(now_ms) {
            return self.give_up();
        }
        self.attempts += 1;
        self.resumes = 0;
        RetryDecision::RetryElsewhere { after_ms }
    }

    /// Returns whether the request may be sent again.
    ///
    /// A second run produces other tokens, so it cannot continue a partly delivered answer.
    const fn may_repeat(&self) -> bool {
        !self.may_have_run || self.policy.idempotent && self.tokens_received == 0
    }

    const fn give_up(&self) -> RetryDecision {
        let run_status = if self.may_have_run {
            RunStatus::MayHaveRun
        } else {
            RunStatus::NotRun
        };
        RetryDecision::GiveUp { run_status }
    }
}
