//! Handling of failed attempts of requests in flight.

use tokio::sync::oneshot;
use toucan_router::{
    AttemptOutcome, DispatchOutcome, RetryBudget, RetryBudgetSettings, RetryDecision, RunStatus,
    TargetPolicy,
};

use super::{
    AdmissionDuty, NextAttempt, TicketId,
    queued::{Running, choice_request},
};

impl AdmissionDuty {
    /// Records the first token of a request.
    pub(super) fn record_first_token(&mut self, ticket: TicketId, now_ms: u64) {
        let dispatch = self
            .running
            .get(&ticket)
            .and_then(|running| running.dispatch);
        if let Some(dispatch) = dispatch {
            self.table.record_first_token(dispatch, now_ms);
        }
    }

    /// Decides how to continue after a failed attempt.
    pub(super) fn attempt_failed(
        &mut self,
        ticket: TicketId,
        outcome: AttemptOutcome,
        reply: oneshot::Sender<NextAttempt>,
        now_ms: u64,
    ) {
        // The entry is removed while the rest of the state is borrowed, and inserted again below.
        let Some(mut running) = self.running.remove(&ticket) else {
            return;
        };
        let next = self.next_attempt(&mut running, outcome, now_ms);
        self.running.insert(ticket, running);
        // The relay may have ended; its `Finish` message follows.
        let _unread = reply.send(next);
    }

    fn next_attempt(
        &mut self,
        running: &mut Running,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) -> NextAttempt {
        let budget = self
            .retry_budgets
            .entry(running.request.service.clone())
            .or_insert_with(|| RetryBudget::new(RetryBudgetSettings::default(), now_ms));
        match running.attempts.decide(outcome, budget, now_ms) {
            RetryDecision::Resume {
                from_token,
                after_ms,
            } => match self.placement(running.target) {
                Some(placement) => NextAttempt::Resume {
                    placement,
                    from_token,
                    after_ms,
                },
                None => give_up(running),
            },
            RetryDecision::RetryElsewhere { after_ms } => {
                self.retry_elsewhere(running, after_ms, now_ms)
            }
            RetryDecision::GiveUp { run_status } => NextAttempt::GiveUp {
                may_have_run: run_status == RunStatus::MayHaveRun,
            },
        }
    }

    fn retry_elsewhere(
        &mut self,
        running: &mut Running,
        after_ms: u64,
        now_ms: u64,
    ) -> NextAttempt {
        if let Some(dispatch) = running.dispatch.take() {
            self.table
                .record_end(dispatch, DispatchOutcome::Failed, now_ms);
        }
        running.excluded.push(running.target);
        let choice = choice_request(&running.request, now_ms).excluding(&running.excluded);
        let Some(target) = self
            .target_policy
            .choose(&self.table, &choice, &mut self.rng)
        else {
            return give_up(running);
        };
        let Some(placement) = self.placement(target) else {
            return give_up(running);
        };
        running.dispatch = self.table.record_dispatch(target, &choice);
        running.target = target;
        NextAttempt::Elsewhere {
            placement,
            after_ms,
        }
    }
}

fn give_up(running: &Running) -> NextAttempt {
    NextAttempt::GiveUp {
        may_have_run: running.attempts.may_have_run(),
    }
}
