//! Calls that end the targets which begin to answer them.
//!
//! Such a call is a poison pill: whichever target gets it ends, with all the calls that it holds, and a
//! gateway that takes the end for a fault of the target sends the next such call to another one. What such
//! calls have in common is a [`Fingerprint`].

mod broken_calls;
mod call_digest;
mod explanations;
mod fingerprint;
mod first_ends;
mod poison_table;
mod poison_verdict;
mod suspicion;
mod target_end;
mod verdict_outbox;

pub use broken_calls::{BrokenCalls, SOUND_AFTER_MS};
pub use call_digest::{CallDigest, CallIdentity};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use poison_table::{PoisonCheck, PoisonTable, SoundOutcome};
pub use poison_verdict::PoisonVerdict;
pub use suspicion::{ENDS_TO_CONDEMN, ENDS_TO_RESTRICT};
pub(crate) use target_end::join_fingerprints;
pub use target_end::{SuspectCall, TargetEnd, TargetInstance};
pub use verdict_outbox::VerdictOutbox;
