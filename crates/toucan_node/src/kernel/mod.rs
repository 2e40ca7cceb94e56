//! Threads that run one duty each, and the bounded rings that connect them.

mod clock;
mod duty;
mod failure_signal;
mod identity;
mod io_duty;
mod ring;

pub(crate) use clock::Clock;
pub(crate) use duty::{Duty, spawn_duty};
pub(crate) use failure_signal::FailureSignal;
pub use identity::Identity;
pub(crate) use io_duty::spawn_io_duty;
pub(crate) use ring::{Envelope, Ring, RingFull, TaskReceiver, ThreadReceiver};
