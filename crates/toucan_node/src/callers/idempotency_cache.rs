//! Cache of recent plain calls, which prevents retries from running a call again.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use toucan_platform::ServiceResponse;
use toucan_types::{BillId, FastHashMap};

use super::ReplayLimits;

/// Bytes that a cached response counts in addition to its body and headers.
const RESPONSE_OVERHEAD_BYTES: usize = 256;

/// Outcome of a call that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The target responded; the response may be cached.
    Answered {
        /// HTTP status.
        status: u16,
        /// Complete response, if it is still cached.
        response: Option<ServiceResponse>,
    },
    /// The call may have run.
    Unknown,
    /// The call was abandoned before it was sent.
    Abandoned,
}

/// Earlier call with the same id, because of which a call is not started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EarlierCall {
    /// An earlier attempt is in progress.
    InProgress,
    /// An earlier attempt finished with this outcome.
    Finished(CallOutcome),
    /// The id was used for a different call.
    DifferentCall,
}

struct CallEntry {
    /// Hash of the call, which detects a different call with the same id.
    fingerprint: u128,
    /// [`None`] while the call is in progress.
    outcome: Option<CallOutcome>,
}

/// Cache of the plain calls that this node serves or has served recently.
///
/// The log allows an incarnation to send a call that it has claimed, so the log alone does not stop
/// a retry at the same node from sending it again. This cache does: a claimed call is cached until
/// `max_calls` later ones have finished, and by then the log contains its outcome.
pub(crate) struct IdempotencyCache {
    limits: ReplayLimits,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    calls: FastHashMap<BillId, CallEntry>,
    /// Finished calls, oldest first.
    finished: VecDeque<BillId>,
    /// Calls whose responses are cached, with the size of each in bytes, oldest first.
    responses: VecDeque<(BillId, usize)>,
    response_bytes: usize,
}

impl IdempotencyCache {
    /// Creates an empty cache.
    pub(crate) fn new(limits: ReplayLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
        })
    }

    /// Starts a call, or returns the earlier call that has its id.
    pub(crate) fn begin(
        self: &Arc<Self>,
        bill: BillId,
        fingerprint: u128,
    ) -> Result<CallGuard, Box<EarlierCall>> {
        let mut state = self.state();
        if let Some(entry) = state.calls.get(&bill) {
            if entry.fingerprint != fingerprint {
                return Err(Box::new(EarlierCall::DifferentCall));
            }
            let outcome = entry.outcome.clone();
            return Err(Box::new(
                outcome.map_or(EarlierCall::InProgress, EarlierCall::Finished),
            ));
        }
        let entry = CallEntry {
            fingerprint,
            outcome: None,
        };
        state.calls.insert(bill, entry);
        Ok(CallGuard {
            cache: Arc::clone(self),
            bill,
            outcome: None,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic while the lock was held can leave a wrong byte count at worst.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(&mut self, bill: BillId, mut outcome: CallOutcome, limits: ReplayLimits) {
        if let CallOutcome::Answered { response, .. } = &mut outcome {
            let bytes = response.as_ref().map_or(0, response_bytes);
            if bytes > limits.max_response_bytes {
                *response = None;
            } else {
                self.responses.push_back((bill, bytes));
                self.response_bytes = self.response_bytes.saturating_add(bytes);
            }
        }
        if let Some(entry) = self.calls.get_mut(&bill) {
            entry.outcome = Some(outcome);
            self.finished.push_back(bill);
        }
        while self.finished.len() > limits.max_calls {
            self.evict_oldest_call();
        }
        while self.response_bytes > limits.max_response_bytes {
            self.evict_oldest_response();
        }
    }

    fn evict_oldest_call(&mut self) {
        let Some(oldest) = self.finished.pop_front() else {
            return;
        };
        if self
            .responses
            .front()
            .is_some_and(|(bill, _)| *bill == oldest)
        {
            self.evict_oldest_response();
        }
        self.calls.remove(&oldest);
    }

    fn evict_oldest_response(&mut self) {
        let Some((bill, bytes)) = self.responses.pop_front() else {
            self.response_bytes = 0;
            return;
        };
        self.response_bytes = self.response_bytes.saturating_sub(bytes);
        if let Some(entry) = self.calls.get_mut(&bill)
            && let Some(CallOutcome::Answered { response, .. }) = &mut entry.outcome
        {
            *response = None;
        }
    }
}

fn response_bytes(response: &ServiceResponse) -> usize {
    let headers = response.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    response.body.len() + header_bytes + RESPONSE_OVERHEAD_BYTES
}

/// Guard of a call in progress; records the call's outcome when dropped.
pub(crate) struct CallGuard {
    cache: Arc<IdempotencyCache>,
    bill: BillId,
    outcome: Option<CallOutcome>,
}

impl CallGuard {
    /// Sets the outcome that is recorded when this guard is dropped.
    pub(crate) fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = Some(outcome);
    }

    /// Clears the outcome, so that a retry can run the call again.
    pub(crate) fn allow_rerun(&mut self) {
        self.outcome = None;
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.cache.state();
        match self.outcome.take() {
            Some(outcome) => state.record(self.bill, outcome, self.cache.limits),
            None => {
                state.calls.remove(&self.bill);
            }
        }
    }
}
