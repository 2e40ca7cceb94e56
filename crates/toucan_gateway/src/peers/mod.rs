//! Other gateways: who runs, what they have at targets, and loans of tokens.
//!
//! Messages are single datagrams. Each can be lost: loads are told again and again, and a loan is
//! taken from the lender before it is sent, so a lost one costs tokens but never doubles them.

mod datagram;
mod lending;
mod member;

pub use datagram::{Datagram, DatagramError, LoanId, PeerMessage, TargetCalls};
pub use lending::{Lending, loan_size};
pub use member::{Member, MemberEntry, Members};
