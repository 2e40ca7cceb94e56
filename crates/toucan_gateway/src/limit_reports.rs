//! Applies the limits that targets name, and exchanges permits for the calls to them.

use std::rc::Rc;

use toucan_types::TargetName;

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    limits::{CallRate, LimitStatement, PermitRequest, PermitStep, StatedLimit},
    peers::{PeerMessage, PermitAnswer, PermitQuery, ToldLimit},
};

/// Time that a datagram may take. A limit is lifted only by what was surely said after it.
const MAX_DATAGRAM_DELAY_MS: u64 = 100;

impl<P: Platform> Gateway<P> {
    /// Applies what a response of a target says about a limit on its calls, and tells the other gateways
    /// if it was not known.
    pub(crate) fn record_stated_limit(
        &self,
        target: &TargetName,
        started_at_unix_ms: u64,
        stated: StatedLimit,
        sent_at_ms: u64,
    ) {
        let now_ms = self.now_ms();
        let Some(statement) = stated.statement(sent_at_ms, now_ms) else {
            metrics::counter!("toucan_unreadable_limits_total").increment(1);
            log::debug!(target: "target", name = target.as_str(); "the limit of the target cannot be read and is ignored");
            return;
        };
        let is_changed = {
            let targets = &mut self.state.borrow_mut().targets;
            let known = targets.limit_mut(target, started_at_unix_ms);
            known.is_some_and(|known| known.apply(statement))
        };
        if !is_changed {
            return;
        }
        self.permits_changed.notify_waiters();
        if let Some(rate) = statement.rate {
            metrics::counter!("toucan_limiting_targets_total").increment(1);
            log::info!(target: "target", name = target.as_str(), per_s = rate.per_s(); "the target limits its calls");
        } else {
            log::info!(target: "target", name = target.as_str(); "the target no longer limits its calls");
        }
        self.tell_all(PeerMessage::TargetLimit(ToldLimit {
            target: target.clone(),
            started_at_unix_ms,
            rate: statement.rate,
            stated_ms_ago: now_ms.saturating_sub(statement.stated_at_ms),
        }));
    }

    /// Applies the limit of a target that another gateway tells.
    pub(crate) fn accept_limit(&self, limit: &ToldLimit) {
        let told_at_ms = match limit.rate {
            Some(_rate) => self.now_ms(),
            None => self.now_ms().saturating_sub(MAX_DATAGRAM_DELAY_MS),
        };
        let statement = LimitStatement {
            rate: limit.rate.map(CallRate::in_range),
            stated_at_ms: told_at_ms.saturating_sub(limit.stated_ms_ago),
        };
        let is_changed = {
            let targets = &mut self.state.borrow_mut().targets;
            let known = targets.limit_mut(&limit.target, limit.started_at_unix_ms);
            known.is_some_and(|known| known.apply_told(statement))
        };
        if !is_changed {
            return;
        }
        // Calls that wait for permits may need none any more.
        self.permits_changed.notify_waiters();
        log::info!(
            target: "target",
            name = limit.target.as_str(),
            per_s = statement.rate.map_or(0.0, CallRate::per_s),
            stated_ms_ago = limit.stated_ms_ago;
            "another gateway tells the limit of the target; 0 means that it has none"
        );
    }

    /// Returns the limit of a target as it is told to other gateways; [`None`] if the target is not known.
    fn told_limit(&self, target: &TargetName) -> Option<ToldLimit> {
        let now_ms = self.now_ms();
        let state = self.state.borrow();
        let known = state.targets.get(target)?;
        Some(ToldLimit {
            target: target.clone(),
            started_at_unix_ms: known.entry.started_at_unix_ms,
            rate: known.limit.rate(),
            stated_ms_ago: known.limit.age_ms(now_ms),
        })
    }

    /// Decides on a call that is to be sent to a target and can wait for `left_ms`.
    pub(crate) fn next_permit_step(
        &self,
        target: &Rc<TargetEntry>,
        left_ms: u64,
        now_ms: u64,
    ) -> PermitStep {
        let mut state = self.state.borrow_mut();
        let is_limited = state.call_limit(&target.name, now_ms).is_some();
        match state.targets.get_mut(&target.name) {
            Some(known) if is_limited => known.permits.next_step(left_ms, now_ms),
            _ => PermitStep::Send,
        }
    }

    /// Asks the gateway that grants permits for a target, and its deputy if it has not answered in time.
    pub(crate) fn ask_permits(&self, target: &Rc<TargetEntry>, request: PermitRequest) {
        let now_ms = self.now_ms();
        let rate = self.state.borrow().call_limit(&target.name, now_ms);
        let (Some(limit), Some(rate)) = (self.told_limit(&target.name), rate) else {
            return;
        };
        let query = PermitQuery {
            limit,
            rate,
            id: request.id,
            permits: request.permits,
        };
        let mut granters = {
            let members = &self.state.borrow().members;
            members.permit_granters(&target.name, &self.location, now_ms)
        };
        if !request.is_repeated {
            granters.truncate(1);
        }
        for vm in granters {
            if vm != self.location.vm {
                let message = PeerMessage::AskPermits(query.clone());
                self.send_to_peers(std::iter::once(&vm), message);
            } else if let Some(answer) = self.answer_permit_query(&query) {
                self.accept_permits(&answer);
            }
        }
    }

    /// Answers a request for permits; [`None`] if the target is not known here.
    pub(crate) fn answer_permit_query(&self, query: &PermitQuery) -> Option<PermitAnswer> {
        self.accept_limit(&query.limit);
        let target = &query.limit.target;
        let limit = self.told_limit(target)?;
        let now_ms = self.now_ms();
        let grant = self.state.borrow_mut().grant_permits(
            target,
            query.rate.in_range(),
            &self.location,
            query.permits,
            now_ms,
        );
        log::debug!(
            target: "target",
            name = target.as_str(),
            asked = query.permits,
            granted = grant.permits,
            return_ms = grant.return_ms;
            "permits for calls to the target were asked for"
        );
        Some(PermitAnswer {
            limit,
            id: query.id,
            grant,
        })
    }

    /// Applies the answer to a request for permits.
    pub(crate) fn accept_permits(&self, answer: &PermitAnswer) {
        self.accept_limit(&answer.limit);
        let now_ms = self.now_ms();
        if let Some(known) = self
            .state
            .borrow_mut()
            .targets
            .get_mut(&answer.limit.target)
        {
            known.permits.accept(answer.id, answer.grant, now_ms);
        }
        self.permits_changed.notify_waiters();
    }
}
