//! Admission and settlement of requests, shared by the handlers.

use std::time::Duration;

use tokio::sync::oneshot;
use toucan_types::BillId;

use super::{Refusal, RefusalCode};
use crate::{
    admission::{AdmissionMessage, AdmissionRequest, RequestOutcome, Ticket, TicketId},
    node_shared::{NodeShared, NodeStatus},
};

/// Timeout for a bill to become durable outside this VM, in milliseconds.
const BILL_TIMEOUT_MS: u64 = 3_000;
/// Backoff before a message is sent again to a full ring.
const RING_FULL_BACKOFF: Duration = Duration::from_millis(1);
/// Retry delay given to a caller while the node starts or stops, in milliseconds.
const NOT_READY_RETRY_AFTER_MS: u64 = 1_000;

/// Returns a refusal while the node starts or stops.
pub(super) fn refuse_unless_ready(shared: &NodeShared) -> Result<(), Refusal> {
    let message = match shared.status() {
        NodeStatus::Ready => return Ok(()),
        NodeStatus::Starting => "this node has no document yet",
        NodeStatus::Leaving => "this node is stopping",
    };
    Err(Refusal::new(RefusalCode::NotReady, message).retry_after_ms(NOT_READY_RETRY_AFTER_MS))
}

/// Requests a ticket from the admission duty.
///
/// If the caller disconnects during the wait, the queue drops its request; a ticket that was
/// already issued is returned.
pub(super) async fn admit(
    shared: &NodeShared,
    request: AdmissionRequest,
) -> Result<Ticket, Refusal> {
    let bill = request.bill;
    let detail = format!(
        "reserve {} tokens, service {}, class {}",
        request.reserve_tokens, request.service, request.class
    );
    let now_ms = shared.clock.now_ms();
    shared
        .traces
        .record_received(bill, &request.budget, detail, now_ms);
    let admitted = wait_for_ticket(shared, request).await;
    let (step, detail) = match &admitted {
        Ok(ticket) => ("admitted", format!("target {}", ticket.placement.target)),
        Err(refusal) => ("refused", refusal.to_string()),
    };
    shared
        .traces
        .record_step(bill, step, detail, shared.clock.now_ms());
    admitted
}

async fn wait_for_ticket(
    shared: &NodeShared,
    request: AdmissionRequest,
) -> Result<Ticket, Refusal> {
    let request = Box::new(request);
    let (reply, ticket) = oneshot::channel();
    shared.send_to_admission(AdmissionMessage::Admit { request, reply })?;
    let mut pending = PendingTicket {
        shared,
        ticket: Some(ticket),
    };
    let Some(ticket) = &mut pending.ticket else {
        return Err(stopping_refusal());
    };
    let result = ticket.await;
    pending.ticket = None;
    result.unwrap_or_else(|_ended| Err(stopping_refusal()))
}

fn stopping_refusal() -> Refusal {
    Refusal::new(RefusalCode::NotReady, "this node is stopping")
        .retry_after_ms(NOT_READY_RETRY_AFTER_MS)
}

/// Reply channel of an admission; returns an unread ticket to the admission duty when dropped.
struct PendingTicket<'a> {
    shared: &'a NodeShared,
    ticket: Option<oneshot::Receiver<Result<Ticket, Refusal>>>,
}

impl Drop for PendingTicket<'_> {
    fn drop(&mut self) {
        let Some(mut reply) = self.ticket.take() else {
            return;
        };
        reply.close();
        if let Ok(Ok(ticket)) = reply.try_recv() {
            let (durable, _unread) = oneshot::channel();
            let message = AdmissionMessage::Finish {
                ticket: ticket.id,
                outcome: RequestOutcome::NotRun {
                    target_failed: false,
                },
                durable,
            };
            if let Err(message) = self.shared.rings.admission.offer(message) {
                let ring = self.shared.rings.admission.clone();
                tokio::spawn(async move { send_with_retry(&ring, message).await });
            }
        }
    }
}

/// Sends a message that must not be lost to the admission duty, waiting while its ring is full.
pub(super) async fn send_with_retry(
    ring: &crate::kernel::Ring<AdmissionMessage>,
    mut message: AdmissionMessage,
) {
    while let Err(returned) = ring.offer(message) {
        message = returned;
        tokio::time::sleep(RING_FULL_BACKOFF).await;
    }
}

/// Result of the wait for a bill to become durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BillConfirmation {
    /// The bill is durable outside this VM, or there is none.
    Durable,
    /// The bill is recorded here and will become durable later.
    TimedOut,
    /// The node stopped before the bill was durable; the caller must not be told of success.
    NodeStopped,
}

/// Settles a request, waits until its bill is durable outside this VM, and records both in its
/// trace.
pub(super) async fn finish_request(
    shared: &NodeShared,
    (ticket, bill): (TicketId, BillId),
    outcome: RequestOutcome,
    detail: impl Into<String>,
) -> BillConfirmation {
    let record = |step: &str, detail: String| {
        let now_ms = shared.clock.now_ms();
        shared.traces.record_step(bill, step, detail, now_ms);
    };
    record("ended", detail.into());
    let (durable, confirmed) = oneshot::channel();
    let message = AdmissionMessage::Finish {
        ticket,
        outcome,
        durable,
    };
    send_with_retry(&shared.rings.admission, message).await;
    let timeout = Duration::from_millis(BILL_TIMEOUT_MS);
    let (confirmation, text) = match tokio::time::timeout(timeout, confirmed).await {
        Ok(Ok(())) => (BillConfirmation::Durable, "known outside this VM"),
        // The admission duty replies to every message that it accepts, so it has stopped.
        Ok(Err(_dropped)) => (
            BillConfirmation::NodeStopped,
            "the node ended before it was known",
        ),
        Err(_elapsed) => (
            BillConfirmation::TimedOut,
            "not known outside this VM in time",
        ),
    };
    if confirmation != BillConfirmation::Durable {
        metrics::counter!("toucan_unconfirmed_bills_total").increment(1);
    }
    record("bill", text.to_owned());
    confirmation
}

/// Returns the refusal for a request whose node stopped before the bill was durable.
pub(super) fn node_stopped() -> Refusal {
    let message = "this node ended before the bill was known elsewhere";
    Refusal::new(RefusalCode::OutcomeUnknown, message).may_have_run()
}
