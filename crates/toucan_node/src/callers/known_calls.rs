//! What this node knows of the plain calls that it serves and served lately.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use toucan_platform::ServiceResponse;
use toucan_types::{BillId, FastHashMap};

use super::ReplayLimits;

/// Bytes counted for an answer beyond its body and headers.
const ANSWER_OVERHEAD_BYTES: usize = 256;

/// How a call that may not be repeated ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The target answered; the answer itself is held for a while.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whole answer, if it is still held.
        answer: Option<ServiceResponse>,
    },
    /// It may have run.
    Unknown,
    /// It was given up before it was sent.
    Abandoned,
}

/// Why a call is not begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Earlier {
    /// An earlier try is in progress.
    InProgress,
    /// An earlier try ended so.
    Ended(CallEnd),
    /// The id was given to another call.
    OtherCall,
}

struct KnownCall {
    /// Hash of the call, by which another call under the same id is told.
    fingerprint: u128,
    /// [`None`] while the call is in progress.
    end: Option<CallEnd>,
}

/// What this node knows of the plain calls that it serves and served lately.
///
/// The log lets an incarnation send a call that it has claimed. That a retry at this node does not
/// send it again is decided here: a claimed call stays known until `max_calls` later ones have
/// ended, and by then the log holds its outcome.
pub(crate) struct KnownCalls {
    limits: ReplayLimits,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    calls: FastHashMap<BillId, KnownCall>,
    /// Ended calls, oldest first.
    ended: VecDeque<BillId>,
    /// Calls whose answers are held and the bytes of each, oldest first.
    answers: VecDeque<(BillId, usize)>,
    answer_bytes: usize,
}

impl KnownCalls {
    /// Knows no calls.
    pub(crate) fn new(limits: ReplayLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
        })
    }

    /// Begins a call unless an earlier one of its id is known.
    pub(crate) fn begin(
        self: &Arc<Self>,
        bill: BillId,
        fingerprint: u128,
    ) -> Result<OpenCall, Box<Earlier>> {
        let mut state = self.state();
        if let Some(known) = state.calls.get(&bill) {
            if known.fingerprint != fingerprint {
                return Err(Box::new(Earlier::OtherCall));
            }
            let end = known.end.clone();
            return Err(Box::new(end.map_or(Earlier::InProgress, Earlier::Ended)));
        }
        let begun = KnownCall {
            fingerprint,
            end: None,
        };
        state.calls.insert(bill, begun);
        Ok(OpenCall {
            calls: Arc::clone(self),
            bill,
            end: None,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic between two steps leaves at worst a wrong count of bytes.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn record(&mut self, bill: BillId, mut end: CallEnd, limits: ReplayLimits) {
        if let CallEnd::Answered { answer, .. } = &mut end {
            let bytes = answer.as_ref().map_or(0, answer_bytes);
            if bytes > limits.max_response_bytes {
                *answer = None;
            } else {
                self.answers.push_back((bill, bytes));
                self.answer_bytes = self.answer_bytes.saturating_add(bytes);
            }
        }
        if let Some(known) = self.calls.get_mut(&bill) {
            known.end = Some(end);
            self.ended.push_back(bill);
        }
        while self.ended.len() > limits.max_calls {
            self.forget_oldest();
        }
        while self.answer_bytes > limits.max_response_bytes {
            self.drop_oldest_answer();
        }
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.ended.pop_front() else {
            return;
        };
        if self
            .answers
            .front()
            .is_some_and(|(bill, _)| *bill == oldest)
        {
            self.drop_oldest_answer();
        }
        self.calls.remove(&oldest);
    }

    fn drop_oldest_answer(&mut self) {
        let Some((bill, bytes)) = self.answers.pop_front() else {
            self.answer_bytes = 0;
            return;
        };
        self.answer_bytes = self.answer_bytes.saturating_sub(bytes);
        if let Some(known) = self.calls.get_mut(&bill)
            && let Some(CallEnd::Answered { answer, .. }) = &mut known.end
        {
            *answer = None;
        }
    }
}

fn answer_bytes(answer: &ServiceResponse) -> usize {
    let headers = answer.headers.iter();
    let header_bytes: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    answer.body.len() + header_bytes + ANSWER_OVERHEAD_BYTES
}

/// A call in progress; what is known of it is recorded when this is dropped.
pub(crate) struct OpenCall {
    calls: Arc<KnownCalls>,
    bill: BillId,
    end: Option<CallEnd>,
}

impl OpenCall {
    /// Sets how the call has ended if this is dropped now.
    pub(crate) fn set_end(&mut self, end: CallEnd) {
        self.end = Some(end);
    }

    /// Lets a retry begin the call anew.
    pub(crate) fn may_begin_again(&mut self) {
        self.end = None;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut state = self.calls.state();
        match self.end.take() {
            Some(end) => state.record(self.bill, end, self.calls.limits),
            None => {
                state.calls.remove(&self.bill);
            }
        }
    }
}
