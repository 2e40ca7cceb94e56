//! What happened to the latest requests of this node.

use std::{collections::VecDeque, sync::Mutex};

use toucan_config::operators::ExplainStep;
use toucan_types::{BillId, BudgetName, FastHashMap};

/// Requests that are remembered.
const MAX_REQUESTS: usize = 4_096;
/// Steps of one request that are remembered.
const MAX_STEPS: usize = 24;

/// Steps of one request, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RequestSteps {
    /// Budget that pays; [`None`] if the request is not known here.
    pub(crate) budget: Option<BudgetName>,
    /// Steps.
    pub(crate) steps: Vec<ExplainStep>,
}

/// What happened to the latest requests of this node, for operators who ask why.
///
/// The request that was first noted longest ago is forgotten first.
#[derive(Default)]
pub(crate) struct RequestTraces {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_bill: FastHashMap<BillId, RequestSteps>,
    order: VecDeque<BillId>,
}

impl RequestTraces {
    /// Notes that a request, or a retry of it, came in.
    pub(crate) fn start(&self, bill: BillId, budget: &BudgetName, detail: String, now_ms: u64) {
        self.with(bill, |entry| {
            entry.budget = Some(budget.clone());
            entry.push("received", detail, now_ms);
        });
    }

    /// Notes a step of a request.
    pub(crate) fn note(&self, bill: BillId, step: &str, detail: impl Into<String>, now_ms: u64) {
        self.with(bill, |entry| entry.push(step, detail.into(), now_ms));
    }

    /// Steps of a request; none if it is not remembered.
    pub(crate) fn of(&self, bill: BillId) -> RequestSteps {
        let Ok(inner) = self.inner.lock() else {
            return RequestSteps::default();
        };
        inner.by_bill.get(&bill).cloned().unwrap_or_default()
    }

    fn with(&self, bill: BillId, change: impl FnOnce(&mut RequestSteps)) {
        let Ok(mut inner) = self.inner.lock() else {
            return;
        };
        if !inner.by_bill.contains_key(&bill) {
            if inner.order.len() >= MAX_REQUESTS
                && let Some(oldest) = inner.order.pop_front()
            {
                inner.by_bill.remove(&oldest);
            }
            inner.order.push_back(bill);
        }
        change(inner.by_bill.entry(bill).or_default());
    }
}

impl RequestSteps {
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
