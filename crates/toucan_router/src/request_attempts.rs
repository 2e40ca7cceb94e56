//! What to do after an attempt of a request failed.

use crate::RetryBudget;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// No byte of the request was written to the target.
    NotSent,
    /// The target says that it did not run the request.
    RefusedNotRun {
        /// Time that the target asks to wait; 0 if it names none.
        retry_after_ms: u64,
    },
    /// The connection broke after the request was written.
    Broken {
        /// Tokens received in order before.
        tokens_received: u64,
    },
    /// The connection went silent and was given up.
    Silent {
        /// Tokens received in order before.
        tokens_received: u64,
    },
    /// The target no longer holds a stream that was to be resumed.
    StreamGone {
        /// Tokens received in order before.
        tokens_received: u64,
    },
    /// Anything else after which the target may have run the request.
    Unknown,
}

/// Whether a request was run, as far as the caller may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunStatus {
    /// No attempt ran.
    NotRun,
    /// Some attempt may have run.
    MayHaveRun,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryDecision {
    /// Resume the stream at the same target.
    Resume {
        /// First token to ask for.
        from_token: u64,
        /// Time to wait before.
        after_ms: u64,
    },
    /// Send the request to another target.
    RetryElsewhere {
        /// Time to wait before.
        after_ms: u64,
    },
    /// Tell the caller.
    GiveUp {
        /// What the caller may be told.
        run_status: RunStatus,
    },
}

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the target can resume its stream by the request's id.
    pub resumable: bool,
    /// Most attempts that send the request, the first one included.
    pub max_attempts: u32,
    /// Most resumptions without a token of progress between them.
    pub max_resumes: u32,
    /// First wait before a resumption or retry, doubled by each further one, in milliseconds.
    pub backoff_ms: u64,
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
            backoff_ms: 20,
            deadline_ms: u64::MAX,
        }
    }
}

/// Attempts of one request so far.
///
/// Remembers whether any attempt may have run, so that a later attempt which surely did not run does
/// not let the caller be told that nothing did.
///
/// ```
/// use toucan_router::{
///     AttemptOutcome, RunStatus, RequestAttempts, RetryBudget, RetryBudgetSettings, RetryDecision,
///     RetryPolicy,
/// };
///
/// let mut budget = RetryBudget::new(RetryBudgetSettings::default(), 0);
/// let mut issuance = RequestAttempts::new(RetryPolicy::default());
/// let decision = issuance.decide(AttemptOutcome::Unknown, &mut budget, 0);
/// assert_eq!(decision, RetryDecision::GiveUp { run_status: RunStatus::MayHaveRun });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts {
    rules: RetryPolicy,
    attempts: u32,
    resumes: u32,
    may_have_run: bool,
    tokens_received: u64,
}

impl RequestAttempts {
    /// The first attempt is about to start.
    #[must_use]
    pub const fn new(rules: RetryPolicy) -> Self {
        Self {
            rules,
            attempts: 1,
            resumes: 0,
            may_have_run: false,
            tokens_received: 0,
        }
    }

    /// Attempts that sent or tried to send the request.
    #[must_use]
    pub const fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Whether some attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Decides after a failed attempt or resumption; takes from the budget what it uses.
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
                    .filter(|_| now_ms < self.rules.deadline_ms)
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

    /// Resumes cost the target next to nothing and need no budget.
    fn resume(&mut self, tokens_received: u64) -> Option<RetryDecision> {
        if tokens_received > self.tokens_received {
            self.tokens_received = tokens_received;
            self.resumes = 0;
        }
        if !self.rules.resumable || self.resumes >= self.rules.max_resumes {
            return None;
        }
        // The first resumption goes out at once.
        let after_ms = match self.resumes {
            0 => 0,
            resumes => self.rules.backoff_ms << (resumes - 1).min(16),
        };
        self.resumes += 1;
        Some(RetryDecision::Resume {
            from_token: self.tokens_received,
            after_ms,
        })
    }

    fn retry(&mut self, after_ms: u64, budget: &mut RetryBudget, now_ms: u64) -> RetryDecision {
        let backoff_ms = self.rules.backoff_ms << (self.attempts - 1).min(16);
        let after_ms = after_ms.max(backoff_ms);
        let in_time = now_ms.saturating_add(after_ms) < self.rules.deadline_ms;
        let allowed = self.may_repeat() && self.attempts < self.rules.max_attempts;
        if !allowed || !in_time || !budget.take(now_ms) {
            return self.give_up();
        }
        self.attempts += 1;
        self.resumes = 0;
        RetryDecision::RetryElsewhere { after_ms }
    }

    /// A second run gives other tokens, so it cannot continue an answer of which the caller has some.
    const fn may_repeat(&self) -> bool {
        !self.may_have_run || self.rules.idempotent && self.tokens_received == 0
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
