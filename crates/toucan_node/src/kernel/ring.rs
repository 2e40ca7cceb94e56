//! Bounded rings that connect the duties.

use displaydoc::Display;
use tokio::sync::{mpsc, oneshot};

/// An entry of a duty's ring.
pub(crate) enum Envelope<M> {
    /// A message to the duty.
    Work(M),
    /// A request for the duty's state dump.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Stops the duty.
    Stop,
}

/// the ring of the duty {duty} is full or the duty has ended
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) struct RingFull {
    /// Name of the duty.
    pub(crate) duty: &'static str,
}

impl std::error::Error for RingFull {}

/// Receiving end of the ring of a duty without I/O, read by its thread.
pub(crate) type ThreadReceiver<M> = crossbeam_channel::Receiver<Envelope<M>>;

/// Receiving end of the ring of a duty that does I/O, read by its tasks.
pub(crate) type TaskReceiver<M> = mpsc::Receiver<Envelope<M>>;

enum Sender<M> {
    Thread(crossbeam_channel::Sender<Envelope<M>>),
    Task(mpsc::Sender<Envelope<M>>),
}

/// Sending end of a duty's ring.
pub(crate) struct Ring<M> {
    duty: &'static str,
    sender: Sender<M>,
}

impl<M> Clone for Ring<M> {
    fn clone(&self) -> Self {
        let sender = match &self.sender {
            Sender::Thread(sender) => Sender::Thread(sender.clone()),
            Sender::Task(sender) => Sender::Task(sender.clone()),
        };
        Self {
            duty: self.duty,
            sender,
        }
    }
}

impl<M> Ring<M> {
    /// Creates a ring that is read by a thread, with room for `capacity` messages.
    pub(crate) fn to_thread(duty: &'static str, capacity: usize) -> (Self, ThreadReceiver<M>) {
        let (sender, receiver) = crossbeam_channel::bounded(capacity);
        (
            Self {
                duty,
                sender: Sender::Thread(sender),
            },
            receiver,
        )
    }

    /// Creates a ring that is read by tasks, with room for `capacity` messages.
    pub(crate) fn to_task(duty: &'static str, capacity: usize) -> (Self, TaskReceiver<M>) {
        let (sender, receiver) = mpsc::channel(capacity);
        (
            Self {
                duty,
                sender: Sender::Task(sender),
            },
            receiver,
        )
    }

    /// Sends a message without waiting; counts the failure if the ring is full.
    pub(crate) fn try_send(&self, message: M) -> Result<(), RingFull> {
        self.try_send_envelope(Envelope::Work(message))
    }

    /// Sends a message without waiting, or returns it.
    pub(crate) fn offer(&self, message: M) -> Result<(), M> {
        let returned = match &self.sender {
            Sender::Thread(sender) => sender
                .try_send(Envelope::Work(message))
                .map_err(crossbeam_channel::TrySendError::into_inner),
            Sender::Task(sender) => sender
                .try_send(Envelope::Work(message))
                .map_err(mpsc::error::TrySendError::into_inner),
        };
        match returned {
            Err(Envelope::Work(message)) => Err(message),
            Ok(()) | Err(Envelope::Dump(_) | Envelope::Stop) => Ok(()),
        }
    }

    /// Sends a message, blocking while the ring is full; must not be called in an async task.
    ///
    /// An error means that the duty has ended.
    pub(crate) fn send(&self, message: M) -> Result<(), RingFull> {
        self.send_envelope(Envelope::Work(message))
    }

    /// Requests the duty's state dump; [`None`] if the ring is full or the duty has ended.
    pub(crate) async fn dump(&self) -> Option<serde_json::Value> {
        let (reply, response) = oneshot::channel();
        self.try_send_envelope(Envelope::Dump(reply)).ok()?;
        response.await.ok()
    }

    /// Stops the duty after the messages in its ring; must not be called in an async task.
    pub(crate) fn stop(&self) {
        // An error means that the duty has already ended.
        let _ended = self.send_envelope(Envelope::Stop);
    }

    fn send_envelope(&self, envelope: Envelope<M>) -> Result<(), RingFull> {
        let sent = match &self.sender {
            Sender::Thread(sender) => sender.send(envelope).is_ok(),
            Sender::Task(sender) => sender.blocking_send(envelope).is_ok(),
        };
        if sent {
            Ok(())
        } else {
            Err(RingFull { duty: self.duty })
        }
    }

    fn try_send_envelope(&self, envelope: Envelope<M>) -> Result<(), RingFull> {
        let sent = match &self.sender {
            Sender::Thread(sender) => sender.try_send(envelope).is_ok(),
            Sender::Task(sender) => sender.try_send(envelope).is_ok(),
        };
        if sent {
            return Ok(());
        }
        metrics::counter!("toucan_ring_full_total", "duty" => self.duty).increment(1);
        Err(RingFull { duty: self.duty })
    }
}
