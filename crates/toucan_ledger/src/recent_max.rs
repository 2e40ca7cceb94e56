//! Maximum of recent values.

/// Maximum of the values of the last one to two minutes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentMax {
    current: u64,
    previous: u64,
    since_ms: u64,
}

/// Length of one window, in milliseconds; the maximum covers the present and the previous one.
const WINDOW_MS: u64 = 60_000;

impl RecentMax {
    pub(crate) fn add(&mut self, value: u64, now_ms: u64) {
        if now_ms >= self.since_ms + WINDOW_MS {
            let is_current_expired = now_ms >= self.since_ms + 2 * WINDOW_MS;
            self.previous = if is_current_expired { 0 } else { self.current };
            self.current = 0;
            self.since_ms = now_ms;
        }
        self.current = self.current.max(value);
    }

    pub(crate) fn get(&self) -> u64 {
        self.current.max(self.previous)
    }
}
