//! Communication with other gateways: membership, loads at targets, permits for calls to targets with a
//! limit, loans and transfers of tokens, and where streams began.
//!
//! Each message is a single datagram and can be lost. Loads are sent periodically. Tokens leave the
//! sender's wallet before they are sent, and loans and transfers have ids, so a lost or repeated
//! datagram can lose tokens but never duplicates them.

mod datagram;
mod ended_target;
mod holders;
mod lending;
mod load_report;
mod member;
mod origin_replicas;
mod permit_messages;
mod permit_share;
mod transfers;

pub use datagram::{Datagram, DatagramError, LoanId, PeerMessage};
pub use ended_target::{EndedTarget, PeerSuspect};
pub use holders::GatewayLocation;
pub use lending::{Lending, loan_size};
pub use load_report::{LoadReport, TargetCalls};
pub use member::{Member, MemberEntry, Members};
pub use permit_messages::{PermitAnswer, PermitQuery, ToldLimit};
pub use transfers::{PendingTransfer, TransferId, Transfers};
