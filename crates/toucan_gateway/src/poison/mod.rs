//! Prompt parts that end the targets which begin to write an answer on them.
//!
//! Such a part is a poison pill: whichever target gets it ends, with all the calls that it holds, and
//! a gateway that takes the end for a fault of the target sends the next call with the part to
//! another one.

mod broken_calls;
mod target_end;

pub use broken_calls::BrokenCalls;
pub(crate) use target_end::join_parts;
pub use target_end::{SuspectCall, TargetEnd, TargetInstance};
