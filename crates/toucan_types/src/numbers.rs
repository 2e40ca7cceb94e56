//! Monotonic numbers that order events: versions, fencing numbers, offsets, sequence numbers.

use crate::macros::number_type;

number_type!(
    /// Version of one section of the configuration document; each accepted edit increments it.
    DocumentVersion
);
number_type!(
    /// Fencing token of an order: an engine refuses orders with a lower number than the highest it
    /// has seen.
    FencingNumber
);
number_type!(
    /// Offset of a record in one stream of the log, counted from 0.
    Offset
);
number_type!(
    /// Sequence number of a record among those of one incarnation, counted from 1.
    Sequence
);
