//! Recently dispatched and billed requests of a shard, with their targets.

use std::collections::VecDeque;

use toucan_types::{BillId, FastHashMap, IncarnationId, TargetName};

use crate::shard_sync::{OpenState, PendingDispatch};

/// Maximum number of requests kept.
const MAX_REQUESTS: usize = 50_000;

struct RecentRequest {
    incarnation: IncarnationId,
    target: TargetName,
    billed: bool,
}

/// Recently dispatched and billed requests of a shard, with their targets.
///
/// A hint for retries that reach another router; only the ledger decides what is billed.
#[derive(Default)]
pub(super) struct RecentRequests {
    requests: FastHashMap<BillId, RecentRequest>,
    order: VecDeque<BillId>,
    taken_over: FastHashMap<IncarnationId, Vec<BillId>>,
}

impl RecentRequests {
    /// Records a dispatch and returns the previous state of the request.
    pub(super) fn open(
        &mut self,
        incarnation: IncarnationId,
        dispatch: &PendingDispatch,
    ) -> OpenState {
        let bill = dispatch.reservation.bill;
        let Some(known) = self.requests.get_mut(&bill) else {
            self.add(bill, incarnation, dispatch.target.clone());
            return OpenState::Fresh;
        };
        if known.billed {
            return OpenState::Billed {
                target: Some(known.target.clone()),
            };
        }
        if known.incarnation == incarnation {
            known.target = dispatch.target.clone();
            return OpenState::Fresh;
        }
        let state = OpenState::OpenElsewhere {
            incarnation: known.incarnation,
            target: known.target.clone(),
        };
        self.taken_over
            .entry(known.incarnation)
            .or_default()
            .push(bill);
        known.incarnation = incarnation;
        state
    }

    /// Removes and returns the requests of an incarnation that other ones took over.
    pub(super) fn drain_taken_over(&mut self, incarnation: IncarnationId) -> Vec<BillId> {
        self.taken_over.remove(&incarnation).unwrap_or_default()
    }

    /// Records that a request was billed.
    pub(super) fn record_bill(&mut self, bill: BillId) {
        if let Some(request) = self.requests.get_mut(&bill) {
            request.billed = true;
        }
    }

    /// Removes a request that this incarnation did not run.
    pub(super) fn close(&mut self, incarnation: IncarnationId, bill: BillId) {
        if self
            .requests
            .get(&bill)
            .is_some_and(|request| request.incarnation == incarnation)
        {
            self.requests.remove(&bill);
        }
    }

    fn add(&mut self, bill: BillId, incarnation: IncarnationId, target: TargetName) {
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.requests.remove(&oldest);
        }
        self.order.push_back(bill);
        self.requests.insert(
            bill,
            RecentRequest {
                incarnation,
                target,
                billed: false,
            },
        );
    }
}
