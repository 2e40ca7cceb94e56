//! Reads a stream of events ahead of its caller.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    pin::pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use tokio::{
    sync::Notify,
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, sleep_until},
};
use toucan_types::OrganisationName;

use crate::{
    buffers::{BufferKind, ByteClaim, CallBuffers, LimitReached, ReaderId},
    clock::boot_time_ms,
};

use super::{
    caller_connection::{CallerConnection, ConnectionLimit},
    delivery::{Delivery, RelayedEvents},
    response::IncompleteResponse,
};

/// Memory that a held piece takes besides its bytes.
const PIECE_OVERHEAD_BYTES: u64 = 128;
/// Size of a piece that may be held uncounted for a caller that keeps up. What a call holds for its
/// connections includes it.
pub(crate) const TRANSIT_BYTES: usize = 16 * 1024;
/// Interval at which an answer that waits for memory looks for it. Waking all such answers at each release
/// would cost more than the wait.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which an answer waits for memory before another one is ended. Targets abort an answer that
/// stays unread for some seconds.
const SHORTAGE_PATIENCE: Duration = Duration::from_millis(1_000);

/// A stream that is to be read ahead of its caller.
pub(crate) struct ReadAhead {
    /// Memory of the gateway.
    pub(crate) buffers: Rc<CallBuffers>,
    /// Organisation whose share the events count towards.
    pub(crate) organisation: OrganisationName,
    /// What the caller has received.
    pub(crate) delivery: Rc<Delivery>,
    /// Connection of the caller.
    pub(crate) connection: Option<CallerConnection>,
    /// When the call ends.
    pub(crate) deadline: Instant,
    /// Status of the response, for the log.
    pub(crate) status: u16,
}

impl ReadAhead {
    /// Starts the task that reads the stream, and returns what the caller takes.
    ///
    /// Dropping the returned stream ends the task, which cancels the call at the target.
    pub(crate) fn start<S>(self, events: S) -> HeldEvents
    where
        S: Stream<Item = Result<RelayedEvents, IncompleteResponse>> + 'static,
    {
        let ended = Rc::new(Notify::new());
        let id = self
            .buffers
            .readers()
            .begin(Rc::clone(&ended), boot_time_ms());
        let claim = self
            .buffers
            .budget
            .claim(BufferKind::ReadAhead, self.organisation.clone());
        let held = Rc::new(Held {
            id,
            buffers: Rc::clone(&self.buffers),
            delivery: Rc::clone(&self.delivery),
            pieces: RefCell::default(),
            piece_bytes: Cell::default(),
            claim: RefCell::new(claim),
            end: Cell::new(None),
            waker: Cell::new(None),
            taken: Notify::new(),
        });
        let connection = self.connection.clone();
        let limit = connection.as_ref().map(|c| c.limit(self.deadline));
        // The future of the task would hold an unboxed stream several times.
        let task = spawn_local(self.run(Rc::clone(&held), ended, Box::pin(events)));
        HeldEvents {
            held,
            task,
            _limit: limit,
            is_flushed: false,
        }
    }

    async fn run<S>(self, held: Rc<Held>, ended: Rc<Notify>, events: S)
    where
        S: Stream<Item = Result<RelayedEvents, IncompleteResponse>>,
    {
        let outcome = {
            let mut filled = pin!(held.fill(events));
            let outcome = tokio::select! {
                end = filled.as_mut() => return held.finish(end),
                () = sleep_until(self.deadline) => "deadline_reached",
                () = ended.notified() => "ended_for_memory",
            };
            // Before `filled` is dropped, which settles the call.
            self.delivery.set_cut_off(self.status, outcome);
            outcome
        };
        log::debug!(target: "memory", outcome = outcome; "a stream is cut off");
        held.discard();
        if let Some(connection) = &self.connection {
            connection.end();
        }
    }
}

/// Events that are held for a caller.
struct Held {
    id: ReaderId,
    buffers: Rc<CallBuffers>,
    delivery: Rc<Delivery>,
    pieces: RefCell<VecDeque<Piece>>,
    /// Size of the pieces, also of one that need not be counted.
    piece_bytes: Cell<u64>,
    claim: RefCell<ByteClaim>,
    end: Cell<Option<Result<(), IncompleteResponse>>>,
    waker: Cell<Option<Waker>>,
    /// Notified when the caller takes a piece.
    taken: Notify,
}

struct Piece {
    events: RelayedEvents,
    claimed_bytes: u64,
}

/// Why a piece has to wait.
enum Shortage {
    /// The caller has to take what is held for it.
    OwnShare,
    /// Callers of the organisation have to take what is held for them.
    OrganisationShare,
    /// Memory is short.
    Memory,
}

impl Held {
    /// Reads all events of a stream as far as there is memory for them.
    async fn fill<S>(&self, events: S) -> Result<(), IncompleteResponse>
    where
        S: Stream<Item = Result<RelayedEvents, IncompleteResponse>>,
    {
        let mut events = pin!(events);
        while let Some(events) = events.next().await {
            self.push(events?).await;
        }
        Ok(())
    }

    async fn push(&self, mut events: RelayedEvents) {
        let mut short_since = Instant::now();
        let claimed_bytes = loop {
            match self.claim(events.bytes.len()) {
                Ok(claimed_bytes) => break claimed_bytes,
                Err(Shortage::OwnShare) => {
                    self.taken.notified().await;
                    short_since = Instant::now();
                }
                Err(shortage) => {
                    tokio::select! {
                        () = self.taken.notified() => {}
                        () = sleep(RETRY_INTERVAL) => {}
                    }
                    if matches!(shortage, Shortage::OrganisationShare) {
                        short_since = Instant::now();
                    } else if short_since.elapsed() >= SHORTAGE_PATIENCE {
                        self.buffers
                            .end_slowest_answer(Some(self.id), boot_time_ms());
                        short_since = Instant::now();
                    }
                }
            }
        };
        if claimed_bytes > 0 {
            // The buffer that the target's connection was read into may be much larger.
            events.bytes = Bytes::copy_from_slice(&events.bytes);
        }
        let piece_bytes = self.piece_bytes.get() + events.bytes.len() as u64;
        self.piece_bytes.set(piece_bytes);
        self.pieces.borrow_mut().push_back(Piece {
            events,
            claimed_bytes,
        });
        self.record_held();
        self.wake_reader();
    }

    /// Claims the memory of a piece and returns its size; 0 if it need not be counted.
    fn claim(&self, bytes: usize) -> Result<u64, Shortage> {
        let is_behind = !self.pieces.borrow().is_empty();
        if !is_behind && bytes <= TRANSIT_BYTES {
            return Ok(0);
        }
        let mut claim = self.claim.borrow_mut();
        let size_bytes = bytes as u64 + PIECE_OVERHEAD_BYTES;
        let claimed_bytes = claim.bytes() + size_bytes;
        let answer_bytes = self.buffers.budget.accounts().limits().answer_bytes;
        if is_behind && claimed_bytes > answer_bytes {
            return Err(Shortage::OwnShare);
        }
        match claim.set(claimed_bytes) {
            Ok(()) => Ok(size_bytes),
            Err(LimitReached::Organisation) => Err(Shortage::OrganisationShare),
            Err(_reached) => Err(Shortage::Memory),
        }
    }

    fn take(&self) -> Option<Bytes> {
        let piece = self.pieces.borrow_mut().pop_front()?;
        {
            let mut claim = self.claim.borrow_mut();
            let claimed_bytes = claim.bytes() - piece.claimed_bytes;
            // Fails only if a claim grows.
            let _released = claim.set(claimed_bytes);
        }
        self.delivery.record(&piece.events);
        let taken_bytes = piece.events.bytes.len() as u64;
        self.piece_bytes.set(self.piece_bytes.get() - taken_bytes);
        let mut readers = self.buffers.readers();
        readers.record_taken(self.id, taken_bytes, boot_time_ms());
        drop(readers);
        self.record_held();
        self.taken.notify_one();
        Some(piece.events.bytes)
    }

    /// Ends the stream after what is held.
    fn finish(&self, end: Result<(), IncompleteResponse>) {
        self.end.set(Some(end));
        self.wake_reader();
    }

    /// Ends the stream as incomplete, without what is held.
    fn discard(&self) {
        self.pieces.borrow_mut().clear();
        let _released = self.claim.borrow_mut().set(0);
        self.finish(Err(IncompleteResponse));
    }

    fn record_held(&self) {
        self.delivery.set_held(self.pieces.borrow().len());
        let held_bytes = self.piece_bytes.get();
        self.buffers.readers().set_held(self.id, held_bytes);
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.buffers.readers().end(self.id);
    }
}

/// What a caller takes of a stream that is read ahead.
pub(crate) struct HeldEvents {
    held: Rc<Held>,
    task: JoinHandle<()>,
    _limit: Option<ConnectionLimit>,
    is_flushed: bool,
}

impl HeldEvents {
    /// Takes the next events.
    pub(crate) fn poll_next(
        &mut self,
        cx: &Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        if let Some(events) = self.held.take() {
            return Poll::Ready(Some(Ok(events)));
        }
        match self.held.end.get() {
            None => {
                self.held.waker.set(Some(cx.waker().clone()));
                Poll::Pending
            }
            Some(Ok(())) => Poll::Ready(None),
            // hyper does not write what it has taken before an error unless it has to wait in between.
            Some(Err(_incomplete)) if !self.is_flushed => {
                self.is_flushed = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Some(Err(incomplete)) => Poll::Ready(Some(Err(incomplete))),
        }
    }
}

impl Drop for HeldEvents {
    fn drop(&mut self) {
        self.task.abort();
    }
}
