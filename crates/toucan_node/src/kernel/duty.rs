//! A duty without I/O: one thread that owns its state and reads one ring.

use std::{
    thread::JoinHandle,
    time::{Duration, Instant},
};

use crossbeam_channel::RecvTimeoutError;

use super::{
    clock::Clock,
    failure_signal::FailureSignal,
    ring::{Envelope, ThreadReceiver},
};

/// State and message handling of one duty's thread.
pub(crate) trait Duty: Send + 'static {
    /// Messages of the duty's ring.
    type Message: Send + 'static;

    /// Name of the thread and of the duty's part of a state dump.
    const NAME: &'static str;

    /// Time between two calls of [`Duty::tick`] in milliseconds.
    const TICK_MS: u64;

    /// Handles one message.
    fn handle(&mut self, message: Self::Message, now_ms: u64);

    /// Does the work that is due by time rather than by message.
    fn tick(&mut self, now_ms: u64);

    /// Returns the state dump for operators.
    fn dump(&self, now_ms: u64) -> serde_json::Value;
}

/// Starts the thread of a duty.
pub(crate) fn spawn_duty<D: Duty>(
    mut duty: D,
    receiver: ThreadReceiver<D::Message>,
    clock: Clock,
    failure: &FailureSignal,
) -> std::io::Result<JoinHandle<()>> {
    let guard = failure.guard(D::NAME);
    std::thread::Builder::new()
        .name(D::NAME.to_owned())
        .spawn(move || {
            let _guard = guard;
            run(&mut duty, &receiver, clock);
        })
}

fn run<D: Duty>(duty: &mut D, receiver: &ThreadReceiver<D::Message>, clock: Clock) {
    let tick = Duration::from_millis(D::TICK_MS);
    let mut next_tick = Instant::now() + tick;
    loop {
        match receiver.recv_deadline(next_tick) {
            Ok(Envelope::Work(message)) => duty.handle(message, clock.now_ms()),
            Ok(Envelope::Dump(reply)) => {
                // The operator's request may have ended already.
                let _unread = reply.send(duty.dump(clock.now_ms()));
            }
            Ok(Envelope::Stop) | Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {}
        }
        if Instant::now() >= next_tick {
            duty.tick(clock.now_ms());
            next_tick = Instant::now() + tick;
        }
    }
}
