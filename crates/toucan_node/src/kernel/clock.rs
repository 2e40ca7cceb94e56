//! The clock of a node; duties pass its readings on to their decision logic.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock in milliseconds since 1970 that never goes back while the process runs.
///
/// The wall clock is read once at the start and the elapsed monotonic time is added to it, so that
/// a step of the wall clock does not shorten or lengthen a timeout.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at_ms: u64,
    started: Instant,
}

impl Clock {
    /// Starts the clock at the time of the wall clock.
    pub(crate) fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            started: Instant::now(),
        }
    }

    /// Returns the current time in milliseconds since 1970.
    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.started_at_ms.saturating_add(elapsed_ms)
    }
}
