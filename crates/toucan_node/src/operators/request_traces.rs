//! Traces of the latest requests of this node.

use std::{collections::VecDeque, sync::Mutex};

use toucan_config::operators::ExplainStep;
use toucan_types::{BillId, BudgetName, FastHashMap};

/// Maximum number of requests with a trace.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of steps in a trace; later steps are discarded.
const MAX_STEPS: usize = 24;

/// Trace of one request: its steps, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestTrace {
    /// Budget that pays; [`None`] if this node did not receive the request.
    pub(crate) budget: Option<BudgetName>,
    /// Steps in the order in which they happened.
    pub(crate) steps: Vec<ExplainStep>,
}

/// Traces of the latest requests of this node, from which operators learn what happened to one.
///
/// When full, it evicts the request whose first step is the oldest.
#[derive(Default)]
pub(crate) struct RequestTraces {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_bill: FastHashMap<BillId, RequestTrace>,
    oldest_first: VecDeque<BillId>,
}

impl RequestTraces {
    /// Records that a request or a retry of it was received.
    pub(crate) fn record_received(
        &self,
        bill: BillId,
        budget: &BudgetName,
        detail: String,
        now_ms: u64,
    ) {
        self.update(bill, |trace| {
            trace.budget = Some(budget.clone());
            trace.push("received", detail, now_ms);
        });
    }

    /// Records a step of a request.
    pub(crate) fn record_step(
        &self,
        bill: BillId,
        step: &str,
        detail: impl Into<String>,
        now_ms: u64,
    ) {
        self.update(bill, |trace| trace.push(step, detail.into(), now_ms));
    }

    /// Returns the trace of a request; empty if there is none.
    pub(crate) fn get(&self, bill: BillId) -> RequestTrace {
        let Ok(inner) = self.inner.lock() else {
            return RequestTrace::default();
        };
        inner.by_bill.get(&bill).cloned().unwrap_or_default()
    }

    fn update(&self, bill: BillId, update: impl FnOnce(&mut RequestTrace)) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        if !inner.by_bill.contains_key(&bill) {
            if inner.oldest_first.len() >= MAX_REQUESTS
                && let Some(oldest) = inner.oldest_first.pop_front()
            {
                inner.by_bill.remove(&oldest);
            }
            inner.oldest_first.push_back(bill);
        }
        update(inner.by_bill.entry(bill).or_default());
    }
}

impl RequestTrace {
    fn push(&mut self, step: &str, detail: String, at_ms: u64) {
        if self.steps.len() < MAX_STEPS {
            let step = step.to_owned();
            self.steps.push(ExplainStep {
                at_ms,
                step,
                detail,
            });
        }
    }
}
