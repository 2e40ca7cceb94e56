//! The right to dispatch one request.

use std::net::SocketAddr;

use tokio::sync::oneshot;
use toucan_types::{BillId, TargetName, Tokens};

use crate::shard_sync::OpenState;

/// Identifier of an admitted request within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TicketId(pub(crate) u64);

/// Where a request is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placement {
    /// Name of the target.
    pub(crate) target: TargetName,
    /// Its address.
    pub(crate) address: SocketAddr,
}

/// The right to dispatch one request: its tokens are reserved and its target is chosen.
#[derive(Debug)]
pub(crate) struct Ticket {
    /// Identifier.
    pub(crate) id: TicketId,
    /// Identifier under which the request is billed once.
    pub(crate) bill: BillId,
    /// Where to send the request.
    pub(crate) placement: Placement,
    /// Tokens at which the answer is stopped.
    pub(crate) reserve_tokens: Tokens,
    /// Priority of its class, handed on to engines.
    pub(crate) priority: u32,
    /// Whether this node dispatched the request to that target before.
    pub(crate) dispatched_before: bool,
    /// Gets what is known of the request once another VM knows of the reservation.
    pub(crate) opened: oneshot::Receiver<OpenState>,
    /// Gets a word when a retry of the caller takes the request over in this process.
    pub(crate) superseded: oneshot::Receiver<()>,
}

/// What to do after an attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum NextAttempt {
    /// Resume the stream at the same target.
    Resume {
        /// Where.
        placement: Placement,
        /// First token to ask for.
        from_token: u64,
        /// Time to wait before, in milliseconds.
        after_ms: u64,
    },
    /// Send the request to another target.
    Elsewhere {
        /// Where.
        placement: Placement,
        /// Time to wait before, in milliseconds.
        after_ms: u64,
    },
    /// Tell the caller.
    GiveUp {
        /// Whether some attempt may have run.
        may_have_run: bool,
    },
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// The target answered; the tokens are billed.
    Answered {
        /// Tokens to bill.
        used_tokens: Tokens,
        /// Prompt tokens that the engine had cached.
        cached_tokens: Option<u64>,
    },
    /// The answer was cut off; the tokens that the caller got are billed.
    CutOff {
        /// Tokens to bill.
        used_tokens: Tokens,
        /// Whether the target failed, rather than the caller leaving.
        target_failed: bool,
    },
    /// Nothing was run; nothing is billed.
    NotRun {
        /// Whether the target failed, rather than the caller leaving.
        target_failed: bool,
    },
    /// Another router took the request over and bills it.
    TakenOver,
}
