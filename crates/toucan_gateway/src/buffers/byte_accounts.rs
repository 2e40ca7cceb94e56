//! Counts the bytes that are held, within limits.

use displaydoc::Display;
use toucan_types::{FastHashMap, OrganisationName};

use super::{BufferKind, ByteLimits};

/// Time over which the release of bytes is measured.
const RATE_WINDOW_MS: u64 = 1_000;
/// Shortest and longest time after which a refused call is asked to return.
const RETURN_RANGE_MS: (u64, u64) = (200, 5_000);
/// Time after which a refused call is asked to return if nothing has been released lately.
const UNKNOWN_RETURN_MS: u64 = 1_000;

/// the bytes are not free: {0}
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[allow(
    clippy::doc_markdown,
    reason = "displaydoc takes the texts of errors from here"
)]
pub enum LimitReached {
    /// the limit of all kinds
    Total,
    /// the limit of the kind
    Kind,
    /// the limit of the organisation
    Organisation,
}

impl std::error::Error for LimitReached {}

/// Bytes that are held, by kind and by organisation.
#[derive(Debug, Default)]
pub struct ByteAccounts {
    limits: ByteLimits,
    by_kind: [u64; BufferKind::ALL.len()],
    by_organisation: FastHashMap<OrganisationName, [u64; BufferKind::ALL.len()]>,
    released_bytes: u64,
    /// Bytes released before the current window, in which their rate is measured.
    window: ReleaseMark,
    /// Bytes released before the previous window.
    previous_window: ReleaseMark,
}

#[derive(Clone, Copy, Debug, Default)]
struct ReleaseMark {
    at_ms: u64,
    released_bytes: u64,
}

impl ByteAccounts {
    /// Creates empty accounts.
    #[must_use]
    pub fn new(limits: ByteLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &ByteLimits {
        &self.limits
    }

    /// Returns the bytes held of one kind.
    #[must_use]
    pub const fn held_bytes(&self, kind: BufferKind) -> u64 {
        self.by_kind[kind.index()]
    }

    /// Returns the bytes held of all kinds.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        self.by_kind.iter().sum()
    }

    /// Counts bytes as held. Calls without an organisation have one share together.
    ///
    /// # Errors
    ///
    /// [`LimitReached`] if they would exceed a limit. Nothing is counted then.
    pub fn add(
        &mut self,
        kind: BufferKind,
        organisation: &OrganisationName,
        bytes: u64,
    ) -> Result<(), LimitReached> {
        let exceeds = |held: u64, limit: u64| held.saturating_add(bytes) > limit;
        let limits = &self.limits;
        let total_limit = match kind {
            BufferKind::ReadAhead => limits.total_bytes - limits.arrival_bytes,
            _ => limits.total_bytes,
        };
        if exceeds(self.total_bytes(), total_limit) {
            return Err(LimitReached::Total);
        }
        let (kind_limit, organisation_limit) = match kind {
            BufferKind::ReadAhead => (
                limits.read_ahead_bytes,
                limits.organisation_read_ahead_bytes,
            ),
            BufferKind::WholeAnswer => (limits.whole_answer_bytes, limits.organisation_bytes),
            BufferKind::RequestBody => (limits.body_bytes, limits.organisation_bytes),
            BufferKind::Connection => (u64::MAX, u64::MAX),
        };
        if exceeds(self.held_bytes(kind), kind_limit) {
            return Err(LimitReached::Kind);
        }
        let held = self.by_organisation.get(organisation);
        if exceeds(
            held.map_or(0, |held| held[kind.index()]),
            organisation_limit,
        ) {
            return Err(LimitReached::Organisation);
        }
        let held = self
            .by_organisation
            .entry(organisation.clone())
            .or_default();
        held[kind.index()] += bytes;
        self.by_kind[kind.index()] += bytes;
        Ok(())
    }

    /// Counts bytes as released.
    pub fn remove(&mut self, kind: BufferKind, organisation: &OrganisationName, bytes: u64) {
        let held = &mut self.by_kind[kind.index()];
        *held = held.saturating_sub(bytes);
        self.released_bytes = self.released_bytes.saturating_add(bytes);
        if let Some(held) = self.by_organisation.get_mut(organisation) {
            let held_of_kind = &mut held[kind.index()];
            *held_of_kind = held_of_kind.saturating_sub(bytes);
            if held.iter().all(|bytes| *bytes == 0) {
                self.by_organisation.remove(organisation);
            }
        }
    }

    /// Measures how fast bytes are released. To be called regularly while calls are served.
    pub fn observe(&mut self, now_ms: u64) {
        if now_ms >= self.window.at_ms + RATE_WINDOW_MS {
            self.previous_window = self.window;
            self.window = ReleaseMark {
                at_ms: now_ms,
                released_bytes: self.released_bytes,
            };
        }
    }

    /// Returns the time in which about `bytes` are released at the present rate, in milliseconds.
    #[must_use]
    pub fn return_ms(&self, bytes: u64, now_ms: u64) -> u64 {
        let begin = self.previous_window;
        let released_bytes = self.released_bytes.saturating_sub(begin.released_bytes);
        let window_ms = now_ms.saturating_sub(begin.at_ms);
        if released_bytes == 0 {
            return UNKNOWN_RETURN_MS;
        }
        let (shortest_ms, longest_ms) = RETURN_RANGE_MS;
        let wait_ms = bytes.saturating_mul(window_ms) / released_bytes;
        wait_ms.clamp(shortest_ms, longest_ms)
    }
}
