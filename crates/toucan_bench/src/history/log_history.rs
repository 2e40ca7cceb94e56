//! Contents of the ledger streams of the log.

use serde::{Deserialize, Serialize};

/// One bill as written to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillEntry {
    /// Identifier of the bill in hexadecimal digits.
    pub bill: String,
    /// Budget that pays.
    pub budget: String,
    /// Billed tokens.
    pub tokens: u64,
}

/// One record with the sequence number that its incarnation gave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// Stream of the log.
    pub stream: String,
    /// Offset of the append that holds it.
    pub offset: u64,
    /// Incarnation that wrote it.
    pub incarnation: u64,
    /// Sequence number among the records of the incarnation in the stream.
    pub sequence: u64,
    /// Bills in the record.
    pub bills: Vec<BillEntry>,
}

/// Release of the tokens that an ended incarnation held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedRelease {
    /// Stream of the log.
    pub stream: String,
    /// Offset of the append that holds it.
    pub offset: u64,
    /// Incarnation that was released.
    pub incarnation: u64,
}
