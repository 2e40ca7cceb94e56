//! Starts of a target, in the order in which their registrations were read.

use std::collections::VecDeque;

/// Time for which a registration of an earlier start may be a delayed one after the last registration of the current start. A
/// target that lives registers more often than that.
const MAX_SILENCE_MS: u64 = 5_000;
/// Number of earlier starts that are remembered.
const MAX_EARLIER: usize = 8;

/// Starts of a target under one id, in the order of the store's log.
///
/// The time of day of a start is no more than its name: the clock of a target's VM may go back between two starts. What comes
/// later in the log is later, unless it is a delayed registration of a start that another one has followed.
#[derive(Clone, Debug)]
pub struct StartHistory {
    current: u64,
    registered_ms: u64,
    earlier: VecDeque<u64>,
}

impl StartHistory {
    /// Creates the history of a target whose first known start registers at `now_ms`.
    #[must_use]
    pub fn new(started_at_unix_ms: u64, now_ms: u64) -> Self {
        Self {
            current: started_at_unix_ms,
            registered_ms: now_ms,
            earlier: VecDeque::new(),
        }
    }

    /// Records a registration that was read at `now_ms`. Returns whether it is of the current start, which it may have begun,
    /// and not a delayed one of an earlier start.
    pub fn record(&mut self, started_at_unix_ms: u64, now_ms: u64) -> bool {
        if started_at_unix_ms != self.current {
            let is_silent = now_ms >= self.registered_ms.saturating_add(MAX_SILENCE_MS);
            if self.earlier.contains(&started_at_unix_ms) && !is_silent {
                return false;
            }
            self.earlier.retain(|start| *start != started_at_unix_ms);
            self.earlier.push_back(self.current);
            if self.earlier.len() > MAX_EARLIER {
                self.earlier.pop_front();
            }
            self.current = started_at_unix_ms;
        }
        self.registered_ms = now_ms;
        true
    }
}
