//! Entries of the admission queue and the reasons to refuse them.

use displaydoc::Display;
use toucan_types::{OrganisationName, RequestClass, ServiceName, Tokens};

use crate::ModelKey;

/// Identifier of an entry, unique within its [`AdmissionQueue`](crate::AdmissionQueue).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(pub(crate) u64);

/// Identifier of the pool of targets that can serve an entry, such as a hash of service and model.
///
/// Entries with the same key wait for the same targets, so one capacity check is valid for all of
/// them. A saturated model does not block the requests for other models.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey(pub u64);

impl PoolKey {
    /// Returns the key of the pool of a service's targets that have a model loaded.
    ///
    /// Keys are comparable within one process only. They are never sent or stored.
    #[must_use]
    pub fn of(service: &ServiceName, model: Option<&ModelKey>) -> Self {
        use std::hash::{BuildHasher, Hash, Hasher};

        let mut hasher = foldhash::fast::FixedState::default().build_hasher();
        service.hash(&mut hasher);
        model.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Request data that the queue needs for scheduling.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueEntry {
    /// Organisation that is billed.
    pub organisation: OrganisationName,
    /// Request class, which determines the rank and weight.
    pub class: RequestClass,
    /// Priority among the organisation's requests of this class. Larger values are served first.
    pub priority: i32,
    /// Time by which the answer must be complete, in milliseconds since 1970.
    pub deadline_ms: u64,
    /// Expected time from dispatch to the end of the answer, or 0 if the deadline applies to the
    /// dispatch only.
    pub service_ms: u64,
    /// Maximum cost of the request: the tokens of its prompt plus its output limit.
    pub cost_tokens: Tokens,
    /// Time of arrival, in milliseconds since 1970.
    pub enqueued_at_ms: u64,
    /// Pool of targets that can serve the request.
    pub pool: PoolKey,
}

impl QueueEntry {
    /// Returns the latest time of dispatch at which the deadline can still be met.
    #[must_use]
    pub const fn latest_start_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(self.service_ms)
    }
}

/// Reason to refuse a request. A refused request was not run.
#[expect(
    clippy::doc_markdown,
    reason = "the first line is the message of the error"
)]
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QueueRefusal {
    /// the queue is full, retry after {retry_after_ms} ms
    Full {
        /// Time after which the queue may have room.
        retry_after_ms: u64,
    },
    /// the deadline cannot be met with a wait of {estimated_wait_ms} ms, retry after {retry_after_ms} ms
    TooLate {
        /// Estimated wait before dispatch.
        estimated_wait_ms: u64,
        /// Time after which the estimated wait should be short enough for the deadline.
        retry_after_ms: u64,
    },
    /// the deadline can no longer be met, retry after {retry_after_ms} ms
    Expired {
        /// Time after which a retry may succeed.
        retry_after_ms: u64,
    },
    /// gave its place to a request that the operators' order puts first, retry after {retry_after_ms} ms
    Displaced {
        /// Time after which the queue may have room.
        retry_after_ms: u64,
    },
}

impl std::error::Error for QueueRefusal {}

impl QueueRefusal {
    /// Returns the time after which a retry may succeed.
    #[must_use]
    pub const fn retry_after_ms(&self) -> u64 {
        match *self {
            Self::Full { retry_after_ms }
            | Self::TooLate { retry_after_ms, .. }
            | Self::Expired { retry_after_ms }
            | Self::Displaced { retry_after_ms } => retry_after_ms,
        }
    }
}

/// Entry that left the queue without being served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedEntry<T> {
    /// Queued item.
    pub item: T,
    /// Entry of the item.
    pub entry: QueueEntry,
    /// Reason for the refusal.
    pub refusal: QueueRefusal,
}
