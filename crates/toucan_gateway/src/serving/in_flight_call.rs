//! Counts a call as in flight at a target.

use std::rc::Rc;

use toucan_types::TargetName;

use crate::{
    Gateway, Platform,
    config::TargetEntry,
    placement::{CallOutcome, ChoiceSettings, PaceKind, TargetState},
    poison::{SOUND_AFTER_MS, SuspectCall},
    tasks::target_check::record_broken_call,
};

use super::call::Call;

/// Shortest time between two reports that the progress of an answer gives rise to.
const SOUND_REPORT_INTERVAL_MS: u64 = 250;

/// Time of one step of an engine by which pauses between events are compared. Paces are compared to those of
/// other targets, so it need not be exact.
const EXPECTED_STEP_MS: f64 = 5.0;
/// Shortest time over which pauses between events are averaged. A process whose processor share is used up
/// gets several events at once.
const MIN_PAUSE_SAMPLE_MS: u64 = 100;
/// Time to pass on events above which the caller reads more slowly than the target writes. It exceeds the
/// time for which a process stands still that has used up its processor share.
const MAX_PASSING_ON_MS: u64 = 150;

/// Events since when pauses are averaged.
#[derive(Clone, Copy, Debug)]
struct EventWindow {
    began_ms: u64,
    first_event: u64,
}

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
    /// Prompt tokens that no other call shares, which the target has to process in any case.
    unshared_tokens: u64,
    /// Expected time to the first event at a target of usual pace; [`None`] if it cannot be told, because
    /// other gateways may have sent the target the same prompt.
    expected_first_event_ms: Option<f64>,
    /// Time for the steps of one event; [`None`] if pauses are not counted.
    expected_pause_ms: Option<f64>,
    window: Option<EventWindow>,
    last_arrival_ms: u64,
    urgency: u8,
}

impl<P: Platform> InFlightCall<P> {
    /// Counts a call that is about to be sent.
    pub(crate) fn begin(gateway: Rc<Gateway<P>>, target: &Rc<TargetEntry>, call: &Call) -> Self {
        let now_ms = gateway.now_ms();
        let parts = &call.head.prompt_parts;
        let mut unread_tokens = 0;
        let unshared_tokens = parts.last().map_or(0, |part| part.tokens);
        let mut kv_tokens = 0;
        let mut expected_first_event_ms = None;
        let engine = call.service_settings().and_then(|service| service.engine);
        if let Some(target_state) = gateway.state.borrow_mut().targets.get_mut(&target.name) {
            unread_tokens = target_state.prompt_cache.uncached_tokens(parts, now_ms);
            if engine.is_some() && unread_tokens <= unshared_tokens {
                let settings = ChoiceSettings::default();
                let first_event_ms =
                    settings.first_event_ms(target_state, unread_tokens, 1.0, now_ms);
                expected_first_event_ms = Some(first_event_ms);
            }
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
            unshared_tokens,
            expected_first_event_ms,
            expected_pause_ms: engine
                .map(|engine| f64::from(engine.tokens_per_event.max(1)) * EXPECTED_STEP_MS),
            window: None,
            last_arrival_ms: now_ms,
            urgency: call.priority(),
        }
    }

    /// Returns the name of the target.
    pub(crate) fn target(&self) -> &TargetName {
        &self.target.name
    }

    /// Records the first event of the response, which shows that the target has read the prompt.
    pub(crate) fn record_first_event(&mut self) {
        let now_ms = self.gateway.now_ms();
        self.first_event_ms = Some(now_ms);
        self.sound_report_ms = now_ms + SOUND_AFTER_MS;
        let read_tokens = self.unread_tokens.min(self.unshared_tokens);
        self.clear_unread_tokens();
        let observed_ms = now_ms.saturating_sub(self.sent_at_ms) as f64;
        self.with_target(|target| {
            let pace = &mut target.pace;
            pace.record_read(read_tokens, now_ms);
            if let Some(expected_ms) = self.expected_first_event_ms {
                let kind = PaceKind::FirstEvent;
                pace.record(kind, observed_ms, expected_ms, now_ms);
            }
        });
    }

    /// Records that events were passed on to the caller. The pauses of an answer whose caller reads slowly
    /// say nothing about the target.
    pub(crate) fn record_passed_on(&mut self) {
        let passing_on_ms = self.gateway.now_ms().saturating_sub(self.last_arrival_ms);
        if passing_on_ms > MAX_PASSING_ON_MS {
            self.expected_pause_ms = None;
        }
    }

    /// Records that `events` events of the answer have arrived so far.
    fn record_events(&mut self, events: u64, now_ms: u64) {
        self.last_arrival_ms = now_ms;
        let next = EventWindow {
            began_ms: now_ms,
            first_event: events,
        };
        let window = *self.window.get_or_insert(next);
        let elapsed_ms = now_ms.saturating_sub(window.began_ms);
        let new_events = events.saturating_sub(window.first_event);
        if elapsed_ms < MIN_PAUSE_SAMPLE_MS || new_events == 0 {
            return;
        }
        self.window = Some(next);
        if let Some(expected_ms) = self.expected_pause_ms {
            let steps_ms = new_events as f64 * expected_ms;
            let tokens_per_ms = ChoiceSettings::default().prefill_tokens_per_ms;
            self.with_target(|target| {
                let pace = &mut target.pace;
                pace.record_pause(elapsed_ms as f64, steps_ms, tokens_per_ms, now_ms);
            });
        }
    }

    /// Changes the state of the target, unless it has restarted since the call was sent.
    fn with_target(&self, change: impl FnOnce(&mut TargetState)) {
        let targets = &mut self.gateway.state.borrow_mut().targets;
        if let Some(target) = targets.get_mut(&self.target.name)
            && target.entry.started_at_unix_ms == self.target.started_at_unix_ms
        {
            change(target);
        }
    }

    /// Records that more of the answer has arrived. A call whose answer has been written for some time does
    /// not end its target.
    ///
    /// `events` is the number of events that have arrived.
    pub(crate) fn record_progress(&mut self, call: &Call, events: u64) {
        let now_ms = self.gateway.now_ms();
        self.record_events(events, now_ms);
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
        let kv_tokens = self.kv_tokens;
        self.with_target(|target| {
            target.own.kv_tokens = target.own.kv_tokens.saturating_sub(kv_tokens);
        });
        if let Some(target_state) = self
            .gateway
            .state
            .borrow_mut()
            .targets
            .get_mut(&self.target.name)
        {
            target_state.own.in_flight = target_state.own.in_flight.saturating_sub(1);
        }
    }
}
