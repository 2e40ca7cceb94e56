//! Accounting of the memory that is held for callers and targets.
//!
//! Claims are counted where bytes are held and released on drop. The limits follow from the memory of the
//! VM (`docs/design/slow-readers.md`).

mod buffer_kind;
mod byte_accounts;
mod byte_budget;
mod byte_claim;
mod byte_limits;
mod call_buffers;
mod reader_table;

pub use buffer_kind::BufferKind;
pub use byte_accounts::{ByteAccounts, LimitReached};
pub use byte_budget::ByteBudget;
pub use byte_claim::ByteClaim;
pub use byte_limits::ByteLimits;
pub(crate) use call_buffers::CallBuffers;
pub use reader_table::{EndedReader, ReaderId, ReaderTable};
