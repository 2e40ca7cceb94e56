//! The platform's append-only log.
//!
//! `POST /streams/{stream}/records` appends its body, any bytes, as one record and returns 200 with
//! [`LogAppended`]; 429 over the rate, 503 while the log is down. A response may be lost after the
//! record was appended.
//!
//! `GET /streams/{stream}/records?from=OFFSET&limit=COUNT&wait_ms=MS` returns 200 with a
//! [`LogPage`], waiting up to `wait_ms` for the first record; 410 with [`LogStreamState`] if `from`
//! has expired.
//!
//! `GET /streams/{stream}` returns 200 with [`LogStreamState`].

use serde::{Deserialize, Serialize};

/// Response to an append.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogAppended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// One record read from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Time of the append by the log's clock, in milliseconds since 1970; never decreases.
    pub appended_at_ms: u64,
    /// Content in base64.
    pub data: String,
}

/// Records in offset order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Records, starting at the requested offset.
    pub records: Vec<LogRecord>,
    /// Offset that the next append gets.
    pub next_offset: u64,
}

/// Extent of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStreamState {
    /// Offset of the oldest record that has not expired.
    pub first_offset: u64,
    /// Offset that the next append gets.
    pub next_offset: u64,
}
