//! Tickets for dispatching requests, and their outcomes.

use std::net::SocketAddr;

use tokio::sync::oneshot;
use toucan_types::{BillId, TargetName, Tokens};

use crate::shard_sync::OpenState;

/// Identifier of an admitted request, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TicketId(pub(crate) u64);

/// Target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Name of the target.
    pub(crate) target: TargetName,
    /// Address of the target.
    pub(crate) address: SocketAddr,
}

/// Permission to dispatch one request: its tokens are reserved and its target is chosen.
#[derive(Debug)]
pub(crate) struct Ticket {
    /// Identifier.
    pub(crate) id: TicketId,
    /// Identifier under which the request is billed exactly once.
    pub(crate) bill: BillId,
    /// Target to send the request to.
    pub(crate) placement: Placement,
    /// Reserved tokens, at which the response is stopped.
    pub(crate) reserve_tokens: Tokens,
    /// Priority of its class, passed on to engines.
    pub(crate) priority: u32,
    /// Whether this node already dispatched the request to that target.
    pub(crate) dispatched_before: bool,
    /// Receives the known state of the request once another VM holds the reservation.
    pub(crate) opened: oneshot::Receiver<OpenState>,
    /// Notified when a retry by the caller takes the request over in this process.
    pub(crate) superseded: oneshot::Receiver<()>,
}

/// Next step after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NextAttempt {
    /// Resume the stream at the same target.
    Resume {
        /// Target to send to.
        placement: Placement,
        /// Index of the first token to request.
        from_token: u64,
        /// Delay before the attempt in milliseconds.
        after_ms: u64,
    },
    /// Send the request to another target.
    Elsewhere {
        /// Target to send to.
        placement: Placement,
        /// Delay before the attempt in milliseconds.
        after_ms: u64,
    },
    /// Report the failure to the caller.
    GiveUp {
        /// Whether any attempt may have run.
        may_have_run: bool,
    },
}

/// Outcome of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The target responded; the used tokens are billed.
    Answered {
        /// Tokens to bill.
        used_tokens: Tokens,
        /// Prompt tokens that were in the engine's cache.
        cached_tokens: Option<u64>,
    },
    /// The response was cut off; the tokens that the caller received are billed.
    CutOff {
        /// Tokens to bill.
        used_tokens: Tokens,
        /// Whether the target failed, rather than the caller disconnecting.
        target_failed: bool,
    },
    /// The request did not run; nothing is billed.
    NotRun {
        /// Whether the target failed, rather than the caller disconnecting.
        target_failed: bool,
    },
    /// Another router took the request over and bills it.
    TakenOver,
}
