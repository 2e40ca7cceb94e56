//! Admission and settlement of a request, as the handlers see them.

use std::time::Duration;

use tokio::sync::oneshot;
use toucan_types::BillId;

use super::{Refusal, RefusalCode};
use crate::{
    admission::{AdmissionMessage, AdmissionRequest, RequestOutcome, Ticket, TicketId},
    node_shared::{NodeShared, NodeStatus},
};

/// Longest wait until a bill is known outside this VM, in milliseconds.
const BILL_PATIENCE_MS: u64 = 3_000;
/// Pause before a message is put again into a full ring.
const RING_PAUSE: Duration = Duration::from_millis(1);
/// Time after which a caller may come back while the node starts or stops, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Refuses while the node starts or stops.
pub(super) fn refuse_unless_ready(shared: &NodeShared) -> Result<(), Refusal> {
    let message = match shared.status() {
        NodeStatus::Ready => return Ok(()),
        NodeStatus::Starting => "this node has no document yet",
        NodeStatus::Leaving => "this node is stopping",
    };
    Err(Refusal::new(RefusalCode::NotReady, message).retry_after_ms(NOT_READY_RETRY_MS))
}

/// Asks the admission duty for a ticket.
///
/// A caller may leave while this waits: the queue drops its request, or the ticket that was
/// already on its way is given back.
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
    shared.traces.start(bill, &request.budget, detail, now_ms);
    let admitted = wait_for_ticket(shared, request).await;
    let (step, detail) = match &admitted {
        Ok(ticket) => ("admitted", format!("target {}", ticket.placement.target)),
        Err(refusal) => ("refused", refusal.to_string()),
    };
    shared
        .traces
        .note(bill, step, detail, shared.clock.now_ms());
    admitted
}

async fn wait_for_ticket(
    shared: &NodeShared,
    request: AdmissionRequest,
) -> Result<Ticket, Refusal> {
    let request = Box::new(request);
    let (reply, ticket) = oneshot::channel();
    shared.send_to_admission(AdmissionMessage::Admit { request, reply })?;
    let mut waiting = TicketWait {
        shared,
        ticket: Some(ticket),
    };
    let Some(ticket) = &mut waiting.ticket else {
        return Err(stopping());
    };
    let answer = ticket.await;
    waiting.ticket = None;
    answer.unwrap_or_else(|_ended| Err(stopping()))
}

fn stopping() -> Refusal {
    Refusal::new(RefusalCode::NotReady, "this node is stopping").retry_after_ms(NOT_READY_RETRY_MS)
}

/// Gives back a ticket that nobody reads.
struct TicketWait<'a> {
    shared: &'a NodeShared,
    ticket: Option<oneshot::Receiver<Result<Ticket, Refusal>>>,
}

impl Drop for TicketWait<'_> {
    fn drop(&mut self) {
        let Some(mut waiting) = self.ticket.take() else {
            return;
        };
        waiting.close();
        if let Ok(Ok(ticket)) = waiting.try_recv() {
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
                tokio::spawn(async move { put(&ring, message).await });
            }
        }
    }
}

/// Puts a message that must not be lost into the admission duty's ring: a full ring is waited for.
pub(super) async fn put(
    ring: &crate::kernel::Ring<AdmissionMessage>,
    mut message: AdmissionMessage,
) {
    while let Err(returned) = ring.offer(message) {
        message = returned;
        tokio::time::sleep(RING_PAUSE).await;
    }
}

/// What became of a bill that was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BillWord {
    /// It is known outside this VM, or there is none.
    Known,
    /// It is written here and will be known later.
    NotInTime,
    /// The node has ended before the bill was known; the caller must not be told of success.
    NodeEnded,
}

/// Ends a request, waits until its bill is known outside this VM, and notes both in the trail.
pub(super) async fn finish(
    shared: &NodeShared,
    (ticket, bill): (TicketId, BillId),
    end: RequestOutcome,
    detail: impl Into<String>,
) -> BillWord {
    let note = |step: &str, detail: String| {
        let now_ms = shared.clock.now_ms();
        shared.traces.note(bill, step, detail, now_ms);
    };
    note("ended", detail.into());
    let (durable, known) = oneshot::channel();
    let message = AdmissionMessage::Finish {
        ticket,
        outcome: end,
        durable,
    };
    put(&shared.rings.admission, message).await;
    let patience = Duration::from_millis(BILL_PATIENCE_MS);
    let (word, text) = match tokio::time::timeout(patience, known).await {
        Ok(Ok(())) => (BillWord::Known, "known outside this VM"),
        // The admission duty answers all that it takes, so it has ended.
        Ok(Err(_dropped)) => (BillWord::NodeEnded, "the node ended before it was known"),
        Err(_elapsed) => (BillWord::NotInTime, "not known outside this VM in time"),
    };
    if word != BillWord::Known {
        metrics::counter!("toucan_unconfirmed_bills_total").increment(1);
    }
    note("bill", text.to_owned());
    word
}

/// What a caller is told whose request was answered by a node that ended before it was billed.
pub(super) fn node_ended() -> Refusal {
    let message = "this node ended before the bill was known elsewhere";
    Refusal::new(RefusalCode::OutcomeUnknown, message).may_have_run()
}
