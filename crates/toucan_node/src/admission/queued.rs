//! States of requests in the admission duty.

use tokio::sync::oneshot;
use toucan_ledger::Reservation;
use toucan_router::{ChoiceRequest, DispatchId, RequestAttempts, TargetIndex};
use toucan_types::IncarnationId;

use super::{AdmissionRequest, Ticket};
use crate::callers::Refusal;

/// Receives the ticket or the refusal of a request.
pub(super) type TicketReply = oneshot::Sender<Result<Ticket, Refusal>>;

/// A request that waits for tokens.
pub(super) struct Parked {
    pub(super) request: Box<AdmissionRequest>,
    pub(super) reply: TicketReply,
    /// Time at which the request is refused if it still lacks tokens, in milliseconds since 1970.
    pub(super) grant_deadline_ms: u64,
}

/// A request that waits for a target.
pub(super) struct Queued {
    pub(super) request: Box<AdmissionRequest>,
    pub(super) reply: TicketReply,
    pub(super) reserved: Reserved,
}

/// Tokens reserved in the wallet of one incarnation.
pub(super) struct Reserved {
    pub(super) reservation: Reservation,
    /// Incarnation of the wallet; after a fence, new grants go to another one.
    pub(super) incarnation: IncarnationId,
}

/// A request in flight, for which a ticket was issued.
pub(super) struct Running {
    pub(super) request: Box<AdmissionRequest>,
    pub(super) reserved: Reserved,
    pub(super) target: TargetIndex,
    pub(super) dispatch: Option<DispatchId>,
    pub(super) attempts: RequestAttempts,
    pub(super) excluded: Vec<TargetIndex>,
    /// Notifies the relay that a retry by the caller replaced it.
    pub(super) superseded: oneshot::Sender<()>,
}

/// Returns the input of the target policy for a request.
pub(super) fn choice_request(request: &AdmissionRequest, now_ms: u64) -> ChoiceRequest<'_> {
    let choice = ChoiceRequest::new(&request.service, now_ms).with_prompt(
        &request.blocks,
        request.block_tokens,
        request.prompt_tokens,
    );
    match &request.model {
        Some(model) => choice.with_model(model),
        None => choice,
    }
}
