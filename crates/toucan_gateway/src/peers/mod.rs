//! Communication with other gateways: membership, loads at targets, and loans of tokens.
//!
//! Each message is a single datagram and can be lost. Loads are sent periodically. A loan leaves
//! the lender's wallet before it is sent, so a lost datagram can lose tokens but never duplicates
//! them.

mod datagram;
mod holders;
mod lending;
mod member;
mod transfers;

pub use datagram::{Datagram, DatagramError, LoanId, PeerMessage, TargetCalls};
pub use holders::GatewayLocation;
pub use lending::{Lending, loan_size};
pub use member::{Member, MemberEntry, Members};
pub use transfers::{PendingTransfer, TransferId, Transfers};
