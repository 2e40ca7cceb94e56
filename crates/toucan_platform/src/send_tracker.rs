//! Tracks whether a request was passed to a connection.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;

/// No connection has polled the body.
const UNPOLLED: u8 = 0;
/// A connection has polled the body, so the request head may have been written.
const POLLED: u8 = 1;
/// The body was dropped before any connection polled it, so nothing was written.
const DROPPED_UNPOLLED: u8 = 2;

/// Shared view of the state of a [`TrackedBody`].
#[derive(Clone, Debug)]
pub(crate) struct SendTracker(Arc<AtomicU8>);

impl SendTracker {
    /// Returns whether part of the request may have been written, or may still be.
    ///
    /// Also true while the body is in a connection's queue, because it may be sent later.
    pub(crate) fn may_have_been_sent(&self) -> bool {
        self.0.load(Ordering::SeqCst) != DROPPED_UNPOLLED
    }

    /// Returns whether a connection has started to send the request.
    pub(crate) fn is_polled(&self) -> bool {
        self.0.load(Ordering::SeqCst) == POLLED
    }
}

/// Body that records whether a connection has polled it.
///
/// An HTTP connection reads the body's length before it writes the request head, so if the body
/// was never polled, nothing of its request was written.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: Full<Bytes>,
    state: Arc<AtomicU8>,
}

impl TrackedBody {
    /// Wraps `body` and returns it with its tracker.
    pub(crate) fn new(body: Bytes) -> (Self, SendTracker) {
        let state = Arc::new(AtomicU8::new(UNPOLLED));
        let tracker = SendTracker(Arc::clone(&state));
        let body = Full::new(body);
        (Self { body, state }, tracker)
    }

    fn mark_polled(&self) {
        self.state.store(POLLED, Ordering::SeqCst);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        self.mark_polled();
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.mark_polled();
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.mark_polled();
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // Fails if a connection has polled the body; that state is then kept.
        let _ = self.state.compare_exchange(
            UNPOLLED,
            DROPPED_UNPOLLED,
            Ordering::SeqCst,
            Ordering::SeqCst,
        );
    }
}
