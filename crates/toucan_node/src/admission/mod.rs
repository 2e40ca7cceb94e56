//! Admission duty: reserves tokens, queues requests, chooses targets and settles bills.

mod admission_duty;
mod admission_message;
mod admission_request;
mod admit;
mod attempts;
mod dispatch;
mod queued;
mod settle;
mod shard_wallet;
mod targets;
mod ticket;
mod wallets;

pub(crate) use admission_duty::{AdmissionDuty, AdmissionLinks};
pub(crate) use admission_message::{AdmissionMessage, KnownTarget};
pub(crate) use admission_request::AdmissionRequest;
pub(crate) use targets::target_role;
pub(crate) use ticket::{NextAttempt, Placement, RequestOutcome, Ticket, TicketId};
