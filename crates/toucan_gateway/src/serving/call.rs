//! State of a call in progress.

use std::rc::Rc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body_util::Full;
use toucan_types::{OrganisationName, RequestId, ServiceName, TargetName, Tokens};

use crate::{
    Gateway, Platform, Refusal,
    config::{FleetConfig, Organisation, Route, Service, TargetEntry},
    placement::CallOutcome,
    retries::{CallProgress, SendFailure},
    wire_format::{CallHead, Dispatch, TokenCounts},
};

use super::call_log::CallLog;

/// A call that was read and authenticated, with everything needed to forward it.
pub(crate) struct Call {
    /// Id of the caller's attempt.
    pub(crate) id: RequestId,
    /// Parsed headers.
    pub(crate) head: CallHead,
    /// Configuration that applies to the call.
    pub(crate) config: Rc<FleetConfig>,
    /// Route that the call matched.
    pub(crate) route: Rc<Route>,
    /// Service that runs the call.
    pub(crate) service: ServiceName,
    /// Organisation that makes the call; [`None`] on public routes without a valid key.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// Method of the caller's request.
    pub(crate) method: Method,
    /// Path and query of the caller's request.
    pub(crate) uri: Uri,
    /// Headers of the caller's request, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// Body of the caller's request.
    pub(crate) body: Bytes,
    /// When the caller's timeout or the route's timeout ends, whichever is earlier.
    pub(crate) deadline_ms: u64,
    /// Targets that failed the call.
    pub(crate) tried: Vec<TargetName>,
    /// Number of attempts, and whether one of them may have run the call.
    pub(crate) progress: CallProgress,
}

impl Call {
    /// Returns the time left until the deadline.
    pub(crate) const fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Records a failed attempt at a target.
    pub(crate) fn note_failure(&mut self, target: &TargetName, failure: SendFailure) {
        match failure {
            // A stale connection says nothing about the target, which stays eligible.
            SendFailure::NotSent(CallOutcome::Broken) => {
                self.progress.unsent += 1;
                return;
            }
            SendFailure::NotSent(_) => self.progress.unsent += 1,
            SendFailure::NotRun => self.progress.sends += 1,
            SendFailure::MayHaveRun(_) => {
                self.progress.sends += 1;
                self.progress.may_have_run = true;
            }
        }
        self.tried.push(target.clone());
    }

    /// Returns the configuration of the call's service.
    pub(crate) fn service_settings(&self) -> Option<&Rc<Service>> {
        self.config.services.get(&self.service)
    }

    /// Returns the priority at the target, ordered by the organisation's priority and then the route's.
    fn priority(&self) -> u8 {
        const ROUTE_RANKS: u8 = 3;
        const LAST_RANK: u8 = 9;
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        organisation
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(route)
            .min(LAST_RANK)
    }

    /// Builds the request for a target.
    pub(crate) fn request_to(
        &self,
        platform: &impl Platform,
        target: &TargetEntry,
        last_event_id: Option<&str>,
        now_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let is_engine = self.service_settings().is_some_and(|s| s.engine.is_some());
        let dispatch = Dispatch {
            target: &target.name,
            left_ms: self.left_ms(now_ms),
            organisation: self.organisation.as_ref().map(|o| &o.name),
            last_event_id,
            priority: is_engine.then(|| self.priority()),
        };
        platform.write_dispatch(&mut headers, &dispatch);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Guard that tracks the tokens of a call in progress and settles and logs the call when dropped.
pub(crate) struct CallAccount<P: Platform> {
    gateway: Rc<Gateway<P>>,
    organisation: Option<OrganisationName>,
    counts: TokenCounts,
    reserved: Tokens,
    may_have_run: bool,
    has_run: bool,
    output_tokens: u64,
    is_ended: bool,
    /// Log entry of the call.
    pub(crate) log: CallLog,
}

impl<P: Platform> CallAccount<P> {
    /// Starts tracking a call that has no tokens reserved yet.
    pub(crate) fn new(gateway: Rc<Gateway<P>>) -> Self {
        let log = CallLog {
            began_ms: gateway.now_ms(),
            ..CallLog::default()
        };
        gateway.core.borrow_mut().calls_in_progress += 1;
        Self {
            gateway,
            organisation: None,
            counts: TokenCounts::default(),
            reserved: Tokens::ZERO,
            may_have_run: false,
            has_run: false,
            output_tokens: 0,
            is_ended: false,
            log,
        }
    }

    /// Takes over a reservation in the organisation's wallet, which the drop settles.
    pub(crate) fn hold(&mut self, organisation: OrganisationName, counts: TokenCounts) {
        self.organisation = Some(organisation);
        self.counts = counts;
        self.reserved = counts.max_total();
        self.log.reserved_tokens = self.reserved.0;
    }

    /// Marks the call as being sent. Its prompt counts as spent from now on, even if the caller
    /// disconnects.
    pub(crate) fn note_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Marks the call as not run by any target.
    pub(crate) fn note_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Marks the call as run by a target.
    pub(crate) fn note_run(&mut self) {
        self.has_run = true;
    }

    /// Sets the number of tokens delivered to the caller.
    pub(crate) fn note_output(&mut self, tokens: u64) {
        self.output_tokens = tokens;
    }

    /// Ends the call with a refusal by the gateway.
    pub(crate) fn refuse(&mut self, refusal: Refusal, reason: &str) {
        self.is_ended = true;
        let now_ms = self.gateway.now_ms();
        self.log.refused(refusal, reason, self.spent().0, now_ms);
    }

    /// Ends the call with a response of a target.
    pub(crate) fn answer(&mut self, status: u16, outcome: &str) {
        self.is_ended = true;
        let now_ms = self.gateway.now_ms();
        self.log.answered(status, outcome, self.spent().0, now_ms);
    }

    fn spent(&self) -> Tokens {
        if !self.may_have_run {
            return Tokens::ZERO;
        }
        let output = self.output_tokens.min(self.counts.max_output);
        Tokens(self.counts.input.saturating_add(output))
    }
}

impl<P: Platform> Drop for CallAccount<P> {
    fn drop(&mut self) {
        if !self.is_ended {
            // The caller closed its connection, which dropped the future that served the call.
            self.answer(0, "caller_left");
        }
        let spent = self.spent();
        let mut core = self.gateway.core.borrow_mut();
        core.calls_in_progress = core.calls_in_progress.saturating_sub(1);
        if let Some(organisation) = &self.organisation {
            core.wallet(organisation)
                .settle(self.reserved, spent, self.has_run);
        }
        drop(core);
        self.gateway.tokens_changed.notify_waiters();
    }
}

/// Guard that counts a call as in flight at a target until it is dropped.
pub(crate) struct TargetVisit<P: Platform> {
    gateway: Rc<Gateway<P>>,
    target: TargetName,
    unread_tokens: u64,
}

impl<P: Platform> TargetVisit<P> {
    /// Counts a call that is about to be sent.
    pub(crate) fn begin(gateway: Rc<Gateway<P>>, target: &TargetName, call: &Call) -> Self {
        let now_ms = gateway.now_ms();
        let parts = &call.head.prompt_parts;
        let mut unread_tokens = 0;
        if let Some(state) = gateway.core.borrow_mut().targets.get_mut(target) {
            unread_tokens = state.prompt_cache.uncached_tokens(parts, now_ms);
            state.in_flight += 1;
            state.unread_tokens += unread_tokens;
            state.prompt_cache.record_sent(parts, now_ms);
        }
        Self {
            gateway,
            target: target.clone(),
            unread_tokens,
        }
    }

    /// Returns the name of the target.
    pub(crate) const fn target(&self) -> &TargetName {
        &self.target
    }

    /// Records the first event of the response, which shows that the target has read the prompt.
    pub(crate) fn note_first_event(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(state) = self.gateway.core.borrow_mut().targets.get_mut(&self.target) {
            state.unread_tokens = state.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Records the outcome of the call at the target, and logs if the target is avoided from now on.
    pub(crate) fn note_end(&self, end: CallOutcome) {
        let now_ms = self.gateway.now_ms();
        let mut core = self.gateway.core.borrow_mut();
        let avoided = core.targets.record_outcome(&self.target, end, now_ms);
        if !avoided.target && !avoided.data_centre {
            return;
        }
        let Some(state) = core.targets.get(&self.target) else {
            return;
        };
        log::warn!(
            target: "target",
            name = self.target.as_str(),
            end:? = end,
            failed_part = state.failures.failure_rate(),
            pause_ms = state.failures.backoff_until_ms().saturating_sub(now_ms),
            data_centre = state.entry.data_centre.as_str(),
            is_data_centre_avoided = avoided.data_centre;
            "target avoided after failures"
        );
    }
}

impl<P: Platform> Drop for TargetVisit<P> {
    fn drop(&mut self) {
        self.note_first_event();
        if let Some(state) = self.gateway.core.borrow_mut().targets.get_mut(&self.target) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }
}
