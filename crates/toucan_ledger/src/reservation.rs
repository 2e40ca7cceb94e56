//! Tokens reserved for one request.

use displaydoc::Display;
use toucan_types::Tokens;

/// Tokens reserved for one request; settle or cancel the reservation exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is neither settled nor cancelled keeps its tokens"]
pub struct Reservation {
    pub(crate) grant_index: u32,
    pub(crate) reserved_tokens: Tokens,
    pub(crate) admitted_at_ms: u64,
}

impl Reservation {
    /// Returns the maximum cost of the request.
    #[must_use]
    pub const fn reserved_tokens(&self) -> Tokens {
        self.reserved_tokens
    }

    /// Returns the time of admission, in milliseconds since 1970.
    #[must_use]
    pub const fn admitted_at_ms(&self) -> u64 {
        self.admitted_at_ms
    }
}

/// Reason why a request was not admitted.
#[allow(
    clippy::doc_markdown,
    reason = "the messages of displaydoc name fields"
)]
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ReserveError {
    /// the incarnation is fenced and admits nothing
    Fenced,
    /// the budget has no more than {unspent_tokens} unspent tokens in the log
    Spent {
        /// Tokens that are purchased and not billed, as last read back.
        unspent_tokens: Tokens,
    },
    /// the grant at hand lacks {missing_tokens} tokens
    NoGrant {
        /// Tokens that the request lacks on this node.
        missing_tokens: Tokens,
    },
}

impl std::error::Error for ReserveError {}
