//! Counts a call as in flight at a target.

use std::rc::Rc;

use toucan_types::TargetName;

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    placement::CallOutcome,
    poison::{SOUND_AFTER_MS, SuspectCall},
    tasks::target_check::record_broken_call,
};

use super::{
    answer_end::{self, EndedAnswer},
    body_framing::BodyFraming,
    call::Call,
    content_end::ContentEnd,
    exchange::OpenResponse,
};

/// Shortest time between two reports that the progress of an answer gives rise to.
const SOUND_REPORT_INTERVAL_MS: u64 = 250;

/// Guard that counts a call as in flight at a target until it is dropped.
pub(crate) struct InFlightCall<P: Platform> {
    gateway: Rc<Gateway<P>>,
    target: Rc<TargetEntry>,
    sent_at_ms: u64,
    first_event_ms: Option<u64>,
    /// When progress of the answer next shows that the call does not end its target.
    sound_report_ms: u64,
    unread_tokens: u64,
    /// Tokens in the KV cache of the target, with the output that is expected.
    kv_tokens: u64,
    urgency: u8,
}

impl<P: Platform> InFlightCall<P> {
    /// Counts a call that is about to be sent.
    pub(crate) fn begin(gateway: Rc<Gateway<P>>, target: &Rc<TargetEntry>, call: &Call) -> Self {
        let now_ms = gateway.now_ms();
        let parts = &call.head.prompt_parts;
        let mut unread_tokens = 0;
        let mut kv_tokens = 0;
        let engine = call.service_settings().and_then(|service| service.engine);
        if let Some(target_state) = gateway.state.borrow_mut().targets.get_mut(&target.name) {
            unread_tokens = target_state.prompt_cache.uncached_tokens(parts, now_ms);
            target_state.own.in_flight += 1;
            target_state.own.unread_tokens += unread_tokens;
            target_state
                .own
                .unread_by_urgency
                .add(call.priority(), unread_tokens);
            kv_tokens = unread_tokens + call.head.expected_output();
            target_state.own.kv_tokens += kv_tokens;
            let capacity = engine.and_then(|engine| engine.kv_capacity_tokens);
            let cache_tokens =
                capacity.map(|capacity| capacity.saturating_sub(target_state.kv_tokens(now_ms)));
            target_state
                .prompt_cache
                .record_sent(parts, cache_tokens, now_ms);
        }
        Self {
            gateway,
            target: Rc::clone(target),
            sent_at_ms: now_ms,
            first_event_ms: None,
            sound_report_ms: u64::MAX,
            unread_tokens,
            kv_tokens,
            urgency: call.priority(),
        }
    }

    /// Returns the name of the target.
    pub(crate) fn target(&self) -> &TargetName {
        &self.target.name
    }

    /// Returns whether the body of a response, which was read to its end, is whole as far as can be found out.
    /// `content` returns what the body says of its own end, `left_ms` is left for the call.
    ///
    /// The end of a body without a length or chunks is that of its connection, which a target that ends or is killed
    /// brings about as well. Only then this takes time.
    pub(crate) async fn is_whole(
        &self,
        response: &OpenResponse,
        content: impl FnOnce() -> ContentEnd,
        left_ms: u64,
    ) -> bool {
        if response.framing != BodyFraming::Close {
            return true;
        }
        let answer = EndedAnswer {
            target: &self.target,
            path: response.path(),
            sent_at_ms: self.sent_at_ms,
            content: content(),
            left_ms,
        };
        answer_end::is_whole(&self.gateway, answer).await
    }

    /// Records the first event of the response, which shows that the target has read the prompt.
    pub(crate) fn record_first_event(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.first_event_ms = Some(now_ms);
        self.sound_report_ms = now_ms + SOUND_AFTER_MS;
        self.clear_unread_tokens();
    }

    /// Records that more of the answer has arrived. A call whose answer has been written for some time does
    /// not end its target.
    pub(crate) fn record_progress(&mut self, call: &Call) {
        let now_ms = self.gateway.now_ms();
        if now_ms >= self.sound_report_ms {
            self.sound_report_ms = now_ms + SOUND_REPORT_INTERVAL_MS;
            self.gateway.report_sound_call(call);
        }
    }

    /// Records that the target broke the connection after the call was sent.
    pub(crate) fn record_broken(&self, call: &Call) {
        let call = SuspectCall {
            fingerprints: call.fingerprints().to_vec(),
            sent_at_ms: self.sent_at_ms,
        };
        record_broken_call(&self.gateway, &self.target, call, self.first_event_ms);
    }

    fn clear_unread_tokens(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if let Some(target_state) = self
            .gateway
            .state
            .borrow_mut()
            .targets
            .get_mut(&self.target.name)
        {
            target_state.own.unread_tokens =
                target_state.own.unread_tokens.saturating_sub(unread_tokens);
            target_state
                .own
                .unread_by_urgency
                .remove(self.urgency, unread_tokens);
        }
    }

    /// Records the outcome of the call at the target and logs whether the target is now avoided.
    pub(crate) fn record_outcome(&self, outcome: CallOutcome) {
        let now_ms = self.gateway.now_ms();
        let mut state = self.gateway.state.borrow_mut();
        let avoided = state.targets.record_outcome(self.target(), outcome, now_ms);
        if !avoided.target && !avoided.data_centre {
            return;
        }
        let Some(target_state) = state.targets.get(self.target()) else {
            return;
        };
        log::warn!(
            target: "target",
            name = self.target().as_str(),
            end:? = outcome,
            failed_part = target_state.failures.failure_rate(),
            pause_ms = target_state.failures.backoff_until_ms().saturating_sub(now_ms),
            data_centre = target_state.entry.data_centre.as_str(),
            is_data_centre_avoided = avoided.data_centre;
            "target avoided after failures"
        );
    }
}

impl<P: Platform> Drop for InFlightCall<P> {
    fn drop(&mut self) {
        self.clear_unread_tokens();
        if let Some(target_state) = self
            .gateway
            .state
            .borrow_mut()
            .targets
            .get_mut(&self.target.name)
        {
            target_state.own.in_flight = target_state.own.in_flight.saturating_sub(1);
            // A target that has restarted holds nothing of the calls before.
            if target_state.entry.started_at_unix_ms == self.target.started_at_unix_ms {
                let kv_tokens = &mut target_state.own.kv_tokens;
                *kv_tokens = kv_tokens.saturating_sub(self.kv_tokens);
            }
        }
    }
}
