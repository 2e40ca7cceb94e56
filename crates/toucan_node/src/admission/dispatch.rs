//! Dispatch of queued requests to targets, and takeover by retries.

use tokio::sync::oneshot;
use toucan_ledger::OpenReservation;
use toucan_router::{RequestAttempts, RetryPolicy, TargetIndex, TargetPolicy};
use toucan_types::{IncarnationId, ServiceName};

use super::{
    AdmissionDuty, AdmissionRequest, Placement, Ticket, TicketId,
    queued::{Queued, Running, TicketReply, choice_request},
};
use crate::{
    callers::{Refusal, RefusalCode},
    shard_sync::{OpenState, PendingDispatch},
};

/// Retry delay for callers whose request is in progress or finds no free slot, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u64 = 1_000;

impl AdmissionDuty {
    /// Dispatches queued requests while targets have free slots, and refuses those that expired.
    pub(super) fn dispatch_queued(&mut self, now_ms: u64) {
        let services: Vec<ServiceName> = self.queues.keys().cloned().collect();
        for service in services {
            while let Some(queued) = self.pop(&service, now_ms) {
                self.assign_target(queued, now_ms);
            }
            let refused = self
                .queues
                .get_mut(&service)
                .map(|queue| queue.take_refused(now_ms))
                .unwrap_or_default();
            for refused in refused {
                self.refuse_queued(refused.item, refused.refusal);
            }
        }
    }

    fn pop(&mut self, service: &ServiceName, now_ms: u64) -> Option<Queued> {
        let table = &self.table;
        let queue = self.queues.get_mut(service)?;
        let (queued, _) = queue.pop(now_ms, |_, queued| {
            table.has_capacity(&choice_request(&queued.request, now_ms))
        })?;
        Some(queued)
    }

    fn assign_target(&mut self, queued: Queued, now_ms: u64) {
        if queued.reply.is_closed() {
            return self.drop_admitted(&queued.request, queued.reserved);
        }
        let choice = choice_request(&queued.request, now_ms).require_free_slot();
        let target = self
            .target_policy
            .choose(&self.table, &choice, &mut self.rng);
        match target.and_then(|target| Some((target, self.placement(target)?))) {
            Some((target, placement)) => self.issue_ticket(queued, target, placement, now_ms),
            None => {
                self.drop_admitted(&queued.request, queued.reserved);
                super::admit::refuse(
                    queued.reply,
                    Refusal::new(RefusalCode::NoCapacity, "no target has room now")
                        .retry_after_ms(IN_PROGRESS_RETRY_AFTER_MS),
                );
            }
        }
    }

    pub(super) fn placement(&self, target: TargetIndex) -> Option<Placement> {
        let name = self.table.get(target)?.name().clone();
        let address = *self.addresses.get(&target)?;
        Some(Placement {
            target: name,
            address,
        })
    }

    fn issue_ticket(
        &mut self,
        queued: Queued,
        target: TargetIndex,
        placement: Placement,
        now_ms: u64,
    ) {
        let Queued {
            request,
            reply,
            reserved,
        } = queued;
        let choice = choice_request(&request, now_ms);
        let dispatch = self.table.record_dispatch(target, &choice);
        let attempts = RequestAttempts::new(RetryPolicy {
            idempotent: request.idempotent,
            resumable: request.resumable,
            deadline_ms: request.deadline_ms,
            ..RetryPolicy::default()
        });
        let opened = self.open(&request, reserved.incarnation, &placement);
        let id = self.next_ticket_id();
        let (reserve_tokens, priority) = (request.reserve_tokens, request.priority);
        let bill = request.bill;
        let (superseded, was_superseded) = oneshot::channel();
        self.by_bill.insert(request.bill, id);
        self.running.insert(
            id,
            Running {
                request,
                reserved,
                target,
                dispatch,
                attempts,
                excluded: Vec::new(),
                superseded,
            },
        );
        let ticket = Ticket {
            id,
            bill,
            placement,
            reserve_tokens,
            priority,
            dispatched_before: false,
            opened,
            superseded: was_superseded,
        };
        self.send_ticket(id, ticket, reply, now_ms);
    }

    /// Sends a ticket to the caller's task; if that has ended, the request is finished as not run.
    fn send_ticket(&mut self, id: TicketId, ticket: Ticket, reply: TicketReply, now_ms: u64) {
        if reply.send(Ok(ticket)).is_ok() {
            return;
        }
        let (durable, _unread) = oneshot::channel();
        let outcome = super::RequestOutcome::NotRun {
            target_failed: false,
        };
        self.finish(id, outcome, durable, now_ms);
    }

    fn next_ticket_id(&mut self) -> TicketId {
        let id = TicketId(self.next_ticket);
        self.next_ticket += 1;
        id
    }

    /// Reports the reservation to the batcher before the request is dispatched.
    fn open(
        &mut self,
        request: &AdmissionRequest,
        incarnation: IncarnationId,
        placement: &Placement,
    ) -> oneshot::Receiver<OpenState> {
        let (reply, opened) = oneshot::channel();
        let dispatch = PendingDispatch {
            reservation: OpenReservation {
                bill: request.bill,
                budget: request.budget.clone(),
                reserved_tokens: request.reserve_tokens,
            },
            target: placement.target.clone(),
        };
        if let Some(shard) = self.wallet_of(&request.budget, incarnation) {
            shard.open(dispatch, reply);
        }
        opened
    }

    /// Hands a request in flight over to a retry by its caller.
    ///
    /// The first relay ends without billing; the retry resumes the stream at the same target.
    pub(super) fn take_over(
        &mut self,
        request: &AdmissionRequest,
        reply: TicketReply,
        now_ms: u64,
    ) {
        // Both attempts were counted against the limits; the retry replaces the first one.
        self.limiter.finish(&request.organisation);
        let Some((mut running, placement)) = self.take_resumable(request) else {
            let refusal = Refusal::new(
                RefusalCode::InProgress,
                "a request with this id is in progress",
            );
            return super::admit::refuse(reply, refusal.retry_after_ms(IN_PROGRESS_RETRY_AFTER_MS));
        };
        let (superseded, was_superseded) = oneshot::channel();
        let previous = std::mem::replace(&mut running.superseded, superseded);
        // The previous relay may have ended meanwhile.
        let _ended = previous.send(());
        let (opened_reply, opened) = oneshot::channel();
        let _waiting = opened_reply.send(OpenState::Fresh);
        let id = self.next_ticket_id();
        let reserve_tokens = running.request.reserve_tokens;
        let priority = running.request.priority;
        self.by_bill.insert(request.bill, id);
        self.running.insert(id, running);
        let ticket = Ticket {
            id,
            bill: request.bill,
            placement,
            reserve_tokens,
            priority,
            dispatched_before: true,
            opened,
            superseded: was_superseded,
        };
        self.send_ticket(id, ticket, reply, now_ms);
    }

    /// Removes and returns the request in flight that a retry can resume, with its target.
    ///
    /// Any other request is left unchanged: it keeps its reservation and will be billed.
    fn take_resumable(&mut self, retry: &AdmissionRequest) -> Option<(Running, Placement)> {
        let id = *self.by_bill.get(&retry.bill)?;
        let running = self.running.get(&id)?;
        let can_resume = running.request.resumable
            && retry.resumable
            && running.request.service == retry.service;
        let placement = self.placement(running.target).filter(|_| can_resume)?;
        Some((self.running.remove(&id)?, placement))
    }
}
