//! State of a call in progress.

use std::{cell::OnceCell, rc::Rc};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header, uri::PathAndQuery};
use toucan_types::{OrganisationName, RequestId, ServiceName, TargetName, Tokens};

use crate::{
    Gateway, Platform, Refusal,
    buffers::ByteClaim,
    config::{FleetConfig, Organisation, Route, Service, TargetEntry},
    placement::CallOutcome,
    poison::{CallDigest, CallIdentity, Fingerprint},
    retries::{CallProgress, SendFailure},
    streams::StreamOrigin,
    wire_format::{CallHead, Dispatch, TokenCounts},
};

use super::{
    call_log::CallLog, delivery::Delivery, poison_trial::PoisonTrial, read_ahead::TRANSIT_BYTES,
};

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
    /// Organisation that makes the call; [`None`] if the call has no valid key and needs none.
    pub(crate) organisation: Option<Rc<Organisation>>,
    /// Method of the caller's request.
    pub(crate) method: Method,
    /// Path and query of the caller's request.
    pub(crate) uri: Uri,
    /// Headers of the caller's request, without hop-by-hop headers.
    pub(crate) headers: HeaderMap,
    /// What the call is suspected for if its target ends, once it is needed.
    pub(crate) fingerprints: OnceCell<Vec<Fingerprint>>,
    /// Body of the caller's request.
    pub(crate) body: Bytes,
    /// What the call holds of the memory for calls.
    pub(crate) claims: CallClaims,
    /// When the caller's timeout or the route's timeout ends, whichever is earlier.
    pub(crate) deadline_ms: u64,
    /// Where the stream that answers the call began, perhaps in an earlier attempt; [`None`] before
    /// its first event.
    pub(crate) origin: Option<StreamOrigin>,
    /// Targets that failed the call.
    pub(crate) tried: Vec<TargetName>,
    /// Targets whose limit left no permit for the call.
    pub(crate) denied: Vec<TargetName>,
    /// Time for which the call may still wait for permits.
    pub(crate) permit_wait_ms: u64,
    /// Number of attempts, and whether one of them may have run the call.
    pub(crate) progress: CallProgress,
}

/// What a call holds of the memory for calls.
pub(crate) struct CallClaims {
    /// Body of the request.
    pub(crate) body: ByteClaim,
    /// Buffers of the connections.
    pub(crate) connections: ByteClaim,
    /// Bytes after the last complete event of the answer.
    pub(crate) partial_event: ByteClaim,
}

impl Call {
    /// Counts the bytes after the last complete event of the answer; returns false if memory is short.
    ///
    /// What the connections hold includes a small part of an event.
    pub(crate) fn hold_partial_event(&mut self, bytes: usize) -> bool {
        let counted_bytes = if bytes > TRANSIT_BYTES {
            bytes as u64
        } else {
            0
        };
        self.claims.partial_event.set(counted_bytes).is_ok()
    }

    /// Releases the body, which is not sent again.
    pub(crate) fn release_body(&mut self) {
        self.body = Bytes::new();
        // Fails only if a claim grows.
        let _released = self.claims.body.set(0);
    }

    /// Returns the name of the organisation; empty if the call has none.
    pub(crate) fn organisation_name(&self) -> OrganisationName {
        let organisation = self.organisation.as_ref();
        organisation.map_or_else(OrganisationName::default, |o| o.name.clone())
    }

    /// Returns the time left until the deadline.
    pub(crate) const fn left_ms(&self, now_ms: u64) -> u64 {
        self.deadline_ms.saturating_sub(now_ms)
    }

    /// Records a failed attempt at a target.
    pub(crate) fn record_failure(&mut self, target: &TargetName, failure: SendFailure) {
        match failure {
            // A stale connection says nothing about the target, which stays eligible.
            SendFailure::Withdrawn => return,
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

    /// Returns what the call is suspected for if its target ends: the parts of its prompt that other calls
    /// may have too, and its digest.
    ///
    /// The first use takes the time to hash the body.
    pub(crate) fn fingerprints(&self) -> &[Fingerprint] {
        self.fingerprints.get_or_init(|| {
            let parts = self.head.shared_parts().into_iter();
            let parts = parts.map(Fingerprint::Part);
            parts.chain([Fingerprint::Call(self.digest())]).collect()
        })
    }

    fn digest(&self) -> CallDigest {
        let host = self.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let identity = CallIdentity {
            organisation: self.organisation.as_ref().map_or("", |o| o.name.as_str()),
            method: self.method.as_str(),
            host: host.or_else(|| self.uri.host()).unwrap_or_default(),
            path: self.uri.path_and_query().map_or("", PathAndQuery::as_str),
            body: &self.body,
        };
        identity.digest()
    }

    /// Returns the configuration of the call's service.
    pub(crate) fn service_settings(&self) -> Option<&Rc<Service>> {
        self.config.services.get(&self.service)
    }

    /// Returns the priority at the target: the organisation's priority, then the route's.
    pub(crate) fn priority(&self) -> u8 {
        const ROUTE_PRIORITIES: u8 = 3;
        const LOWEST_PRIORITY: u8 = 9;
        let organisation = self.organisation.as_ref().map_or(0, |o| o.priority);
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        organisation
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route)
            .min(LOWEST_PRIORITY)
    }

    /// Builds the request for a target.
    pub(crate) fn request_to(
        &self,
        platform: &impl Platform,
        target: &TargetEntry,
        last_event_id: Option<&str>,
        now_ms: u64,
    ) -> Request<Bytes> {
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
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }
}

/// Guard that tracks a call in progress, and settles its tokens when dropped.
pub(crate) struct CallTracker<P: Platform> {
    gateway: Rc<Gateway<P>>,
    organisation: Option<OrganisationName>,
    counts: TokenCounts,
    reserved: Tokens,
    may_have_run: bool,
    has_run: bool,
    is_ended: bool,
    /// What the caller has received of a stream.
    pub(crate) delivery: Rc<Delivery>,
    /// Trial that the call is; [`None`] if it is none.
    pub(crate) trial: Option<PoisonTrial<P>>,
    /// Log entry of the call.
    pub(crate) log: CallLog,
}

impl<P: Platform> CallTracker<P> {
    /// Starts tracking a call that has no tokens reserved yet.
    pub(crate) fn new(gateway: Rc<Gateway<P>>) -> Self {
        let log = CallLog {
            began_ms: gateway.now_ms(),
            ..CallLog::default()
        };
        gateway.state.borrow_mut().calls_in_progress += 1;
        Self {
            gateway,
            organisation: None,
            counts: TokenCounts::default(),
            reserved: Tokens::ZERO,
            may_have_run: false,
            has_run: false,
            is_ended: false,
            delivery: Rc::default(),
            trial: None,
            log,
        }
    }

    /// Takes over a reservation in the organisation's wallet, which is settled on drop.
    pub(crate) fn hold_reservation(&mut self, organisation: OrganisationName, counts: TokenCounts) {
        self.organisation = Some(organisation);
        self.counts = counts;
        self.reserved = counts.max_total();
        self.log.reserved_tokens = self.reserved.0;
    }

    /// Marks the call as being sent.
    ///
    /// From now on its prompt counts as spent, even if the caller disconnects.
    pub(crate) fn mark_may_have_run(&mut self) {
        self.may_have_run = true;
    }

    /// Returns whether a target may have run the call.
    pub(crate) const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records how long an answer took that was a success.
    pub(crate) fn record_duration(&self, route: &str) {
        let now_ms = self.gateway.now_ms();
        let took_ms = now_ms.saturating_sub(self.log.began_ms);
        let durations = &mut self.gateway.state.borrow_mut().call_durations;
        durations.record(route, took_ms, now_ms);
    }

    /// Marks the call as not run by any target.
    pub(crate) fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }

    /// Records that a target broke off the call, which may be a trial.
    pub(crate) fn record_broken(&self) {
        if let Some(trial) = &self.trial {
            trial.record_broken();
        }
    }

    /// Marks the call as run by a target.
    pub(crate) fn mark_run(&mut self) {
        self.has_run = true;
    }

    /// Ends the call with a refusal by the gateway.
    pub(crate) fn refuse(&mut self, refusal: Refusal, reason: &str) {
        self.is_ended = true;
        let now_ms = self.gateway.now_ms();
        self.log
            .log_refused(refusal, reason, self.spent().0, now_ms);
    }

    /// Ends the call with a response of a target.
    pub(crate) fn complete(&mut self, status: u16, outcome: &str) {
        self.is_ended = true;
        self.log.events = self.delivery.events();
        let now_ms = self.gateway.now_ms();
        self.log
            .log_answered(status, outcome, self.spent().0, now_ms);
    }

    fn spent(&self) -> Tokens {
        if !self.may_have_run {
            return Tokens::ZERO;
        }
        let output = self.delivery.output_tokens().min(self.counts.max_output);
        Tokens(self.counts.input.saturating_add(output))
    }
}

impl<P: Platform> Drop for CallTracker<P> {
    fn drop(&mut self) {
        if !self.is_ended {
            // Unless the gateway cut the stream off, the caller closed its connection, so hyper dropped the
            // call before it was complete.
            let (status, outcome) = self.delivery.cut_off().unwrap_or((0, "caller_left"));
            self.complete(status, outcome);
        }
        let spent = self.spent();
        let mut state = self.gateway.state.borrow_mut();
        state.calls_in_progress = state.calls_in_progress.saturating_sub(1);
        if let Some(organisation) = &self.organisation {
            state
                .wallet(organisation)
                .settle(self.reserved, spent, self.has_run);
        }
        drop(state);
        self.gateway.tokens_changed.notify_waiters();
    }
}
