//! Body of a request to a target, which is withheld if the request is no longer to be sent.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Instant,
};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};

use crate::placement::TargetPresence;

/// the request is no longer to be sent
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) struct Withheld;

impl std::error::Error for Withheld {}

/// The whole body of a request, as one frame.
///
/// A request is written by the task of its connection. Between the choice of a target and the write, that task waits
/// behind all others of the process, which takes seconds on a VM that is short of processor time. So the body is withheld if
/// the target has left meanwhile or the time of the call is over. As the head is written together with the body, the
/// target then gets nothing.
#[derive(Debug)]
pub(crate) struct RequestBody {
    bytes: Option<Bytes>,
    condition: SendCondition,
}

/// Until when a request may be sent.
#[derive(Clone, Debug)]
pub(crate) struct SendCondition {
    target: TargetPresence,
    send_until: Instant,
    is_withheld: Rc<Cell<bool>>,
}

impl SendCondition {
    /// Creates the condition that the target has not left and `send_until` has not passed.
    pub(crate) fn new(target: TargetPresence, send_until: Instant) -> Self {
        Self {
            target,
            send_until,
            is_withheld: Rc::default(),
        }
    }

    /// Returns whether the request was withheld.
    pub(crate) fn is_withheld(&self) -> bool {
        self.is_withheld.get()
    }

    fn check(&self) -> Result<(), Withheld> {
        if self.target.has_left() || Instant::now() >= self.send_until {
            self.is_withheld.set(true);
            return Err(Withheld);
        }
        Ok(())
    }
}

impl RequestBody {
    /// Creates a body that is sent under a condition.
    pub(crate) fn new(bytes: Bytes, condition: SendCondition) -> Self {
        Self {
            bytes: (!bytes.is_empty()).then_some(bytes),
            condition,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Withheld;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Withheld>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        let checked = self.condition.check();
        Poll::Ready(Some(checked.map(|()| Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
