//! Messages of the platform duty's ring.

use bytes::Bytes;
use toucan_types::{Offset, ShardIndex};

/// Messages of the platform duty's ring.
pub(crate) enum PlatformCommand {
    /// Follows a shard's stream from an offset on; replaces its previous reader.
    Follow {
        /// Shard.
        shard: ShardIndex,
        /// First offset.
        from: Offset,
    },
    /// Follows the document's stream from an offset on; replaces its previous reader.
    FollowDocument {
        /// First offset.
        from: Offset,
    },
    /// Appends a batch to a shard's stream; the outcome goes to the ledger duty.
    Append {
        /// Shard.
        shard: ShardIndex,
        /// Number of the batch.
        number: u64,
        /// Encoded batch.
        bytes: Vec<u8>,
    },
    /// Appends a record to the document's stream.
    AppendDocument {
        /// Encoded record.
        bytes: Bytes,
        /// Identifier of the edit in it; the outcome goes to the document duty.
        edit_id: String,
    },
    /// Follows the stream of claims on orders from an offset on; replaces its previous reader.
    FollowOrders {
        /// First offset.
        from: Offset,
    },
    /// Appends a claim on the orders of a group; it takes effect once it is read back.
    AppendClaim {
        /// Encoded claim.
        bytes: Bytes,
    },
}
