//! Limits of the bytes that are held.

/// Part of the VM's memory that the process may use, in hundredths.
const MEMORY_PERCENT: u64 = 60;
/// Memory of the process apart from what is held for calls.
const PROCESS_BYTES: u64 = 20 * 1024 * 1024;
/// Smallest budget. The part of an organisation then holds the largest body of the default limits.
const MIN_TOTAL_BYTES: u64 = 18 * 1024 * 1024;
/// Memory of a VM whose settings state none; that of the smallest VM of the deployments served.
const DEFAULT_MEMORY_BYTES: u64 = 88 * 1024 * 1024;
/// Part of the budget for events that are read ahead, so that slow callers leave room for the bodies of
/// other calls.
const READ_AHEAD_DIVISOR: u64 = 2;
/// Part of the budget that events read ahead leave free for calls that arrive.
const ARRIVAL_DIVISOR: u64 = 8;
/// Part of the budget for bodies of one organisation, and again for its whole answers.
const ORGANISATION_DIVISOR: u64 = 4;
/// Part of the budget for events of one organisation's answers that are read ahead.
const ORGANISATION_READ_AHEAD_DIVISOR: u64 = 8;
/// Part of the budget for events of one answer that are read ahead.
const ANSWER_DIVISOR: u64 = 16;
/// Largest size of all whole answers together.
const MAX_WHOLE_ANSWER_BYTES: u64 = 16 * 1024 * 1024;
/// Size up to which a whole answer is not counted where memory is not limited.
const FREE_WHOLE_ANSWER_BYTES: u64 = 64 * 1024;

/// Size up to which a request body is not counted, where what calls hold is limited by their number.
const FREE_BODY_BYTES: u64 = 64 * 1024;

/// Limits of the bytes that are held for callers and targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteLimits {
    /// Maximum of all kinds together.
    pub total_bytes: u64,
    /// Part of the total that is left free when events are read ahead.
    pub arrival_bytes: u64,
    /// Maximum of the events that are read ahead, for all answers.
    pub read_ahead_bytes: u64,
    /// Maximum of the events that are read ahead, for one answer.
    pub answer_bytes: u64,
    /// Maximum of the events that are read ahead, for one organisation.
    pub organisation_read_ahead_bytes: u64,
    /// Maximum of the request bodies of all organisations.
    pub body_bytes: u64,
    /// Size up to which each request body is not counted.
    pub free_body_bytes: u64,
    /// Maximum of the request bodies of one organisation, and again of its whole answers.
    pub organisation_bytes: u64,
    /// Maximum of the answers that are read to their end before they are sent.
    pub whole_answer_bytes: u64,
    /// Size up to which each of these answers is not counted.
    pub free_whole_answer_bytes: u64,
}

impl Default for ByteLimits {
    /// Limits only the answers that are read to their end.
    fn default() -> Self {
        Self {
            total_bytes: u64::MAX,
            arrival_bytes: 0,
            read_ahead_bytes: u64::MAX,
            answer_bytes: u64::MAX,
            organisation_read_ahead_bytes: u64::MAX,
            body_bytes: u64::MAX,
            free_body_bytes: u64::MAX,
            organisation_bytes: u64::MAX,
            whole_answer_bytes: MAX_WHOLE_ANSWER_BYTES,
            free_whole_answer_bytes: FREE_WHOLE_ANSWER_BYTES,
        }
    }
}

impl ByteLimits {
    /// Returns the limits for a VM with this memory, in bytes, whose callers and targets read at once. What a call
    /// holds besides a large body is limited by the number of calls.
    #[must_use]
    pub fn for_large_bodies(memory_bytes: u64) -> Self {
        let total_bytes = Self::for_memory(Some(memory_bytes)).total_bytes;
        let whole_answer_bytes = MAX_WHOLE_ANSWER_BYTES.min(total_bytes / 2);
        Self {
            body_bytes: total_bytes - whole_answer_bytes,
            free_body_bytes: FREE_BODY_BYTES,
            whole_answer_bytes,
            ..Self::default()
        }
    }

    /// Returns the limits for a VM with this memory, in bytes; [`None`] if it is not known.
    #[must_use]
    pub fn for_memory(memory_bytes: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let usable_bytes = memory_bytes.saturating_mul(MEMORY_PERCENT) / 100;
        let total_bytes = usable_bytes
            .saturating_sub(PROCESS_BYTES)
            .max(MIN_TOTAL_BYTES);
        Self {
            total_bytes,
            arrival_bytes: total_bytes / ARRIVAL_DIVISOR,
            read_ahead_bytes: total_bytes / READ_AHEAD_DIVISOR,
            answer_bytes: total_bytes / ANSWER_DIVISOR,
            organisation_read_ahead_bytes: total_bytes / ORGANISATION_READ_AHEAD_DIVISOR,
            body_bytes: total_bytes,
            free_body_bytes: 0,
            organisation_bytes: total_bytes / ORGANISATION_DIVISOR,
            whole_answer_bytes: MAX_WHOLE_ANSWER_BYTES.min(total_bytes / 2),
            free_whole_answer_bytes: 0,
        }
    }
}
