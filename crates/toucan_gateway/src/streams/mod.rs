//! Streams that broke off: which target may resume them.
//!
//! What two software versions write does not fit together, so a stream goes on only at the version
//! that began it. Targets do not check this. A caller may resume its stream at any gateway, so each
//! gateway tells some others where its streams began, and asks them where a stream began that it
//! does not know. The origins of running streams are also written to the store, which tells them if
//! all gateways have died.

mod origin_batch;
mod origin_lookups;
mod origin_outbox;
mod origin_table;
mod stream_origin;
mod version_history;

pub use origin_batch::{OriginBatch, OriginBatchError};
pub use origin_lookups::OriginLookups;
pub use origin_outbox::{OriginOutbox, OriginRecordNumber, OriginWrite, origin_write_interval_ms};
pub use origin_table::OriginTable;
pub use stream_origin::StreamOrigin;
pub use version_history::VersionHistory;

/// Time after its first event for which a stream may be resumed.
pub const MAX_STREAM_AGE_MS: u64 = 30_000;
