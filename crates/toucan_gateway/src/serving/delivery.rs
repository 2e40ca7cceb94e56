//! What a caller has received of a stream.

use std::cell::Cell;

use bytes::Bytes;
use tokio::sync::Notify;

/// Events that were read from a target.
#[derive(Clone, Debug)]
pub(crate) struct RelayedEvents {
    /// The events, unchanged.
    pub(crate) bytes: Bytes,
    /// Events of the stream up to the last of these.
    pub(crate) events: u64,
    /// Tokens of the stream up to the last of these.
    pub(crate) output_tokens: u64,
}

/// What the caller has received of a stream. Only that is billed.
#[derive(Debug, Default)]
pub(crate) struct Delivery {
    events: Cell<u64>,
    output_tokens: Cell<u64>,
    /// Number of pieces that are held for the caller.
    held: Cell<usize>,
    all_taken: Notify,
    cut_off: Cell<Option<(u16, &'static str)>>,
}

impl Delivery {
    /// Returns the number of complete events.
    pub(crate) fn events(&self) -> u64 {
        self.events.get()
    }

    /// Returns the number of tokens.
    pub(crate) fn output_tokens(&self) -> u64 {
        self.output_tokens.get()
    }

    /// Records events that the caller takes.
    pub(crate) fn record(&self, taken: &RelayedEvents) {
        self.events.set(taken.events);
        self.output_tokens.set(taken.output_tokens);
    }

    /// Sets the number of pieces that are held for the caller.
    pub(crate) fn set_held(&self, held: usize) {
        self.held.set(held);
        if held == 0 {
            self.all_taken.notify_waiters();
        }
    }

    /// Waits until the caller has taken all that is held for it.
    pub(crate) async fn all_taken(&self) {
        while self.held.get() > 0 {
            self.all_taken.notified().await;
        }
    }

    /// Records the status and the outcome of a stream that the gateway cuts off.
    pub(crate) fn set_cut_off(&self, status: u16, outcome: &'static str) {
        self.cut_off.set(Some((status, outcome)));
    }

    /// Returns the status and the outcome of a stream that the gateway has cut off.
    pub(crate) fn cut_off(&self) -> Option<(u16, &'static str)> {
        self.cut_off.get()
    }
}
