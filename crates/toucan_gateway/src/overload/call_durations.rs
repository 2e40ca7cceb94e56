//! How long calls have taken, which tells whether another one ends before the process does.

use toucan_types::FastHashMap;

/// Length of a window of time. The longest call of this one and of the one before counts.
const WINDOW_MS: u64 = 30_000;
/// Part of the longest duration that is added to it.
const MARGIN_DIVISOR: u64 = 4;

/// Longest recent calls, by route.
#[derive(Clone, Debug, Default)]
pub struct CallDurations {
    by_route: FastHashMap<String, Longest>,
}

/// Longest calls of two windows.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    window: u64,
    current_ms: u64,
    previous_ms: Option<u64>,
}

impl Longest {
    /// Moves on to the window of `now_ms`.
    fn advance(&mut self, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if window == self.window {
            return;
        }
        self.previous_ms = (window == self.window + 1).then_some(self.current_ms);
        self.current_ms = 0;
        self.window = window;
    }
}

impl CallDurations {
    /// Records a call that was answered with success.
    pub fn record(&mut self, route: &str, took_ms: u64, now_ms: u64) {
        let window = now_ms / WINDOW_MS;
        if !self.by_route.contains_key(route) {
            // Routes that are no longer called, or were removed, say nothing.
            self.by_route
                .retain(|_route, longest| window <= longest.window + 1);
            let longest = Longest {
                window,
                ..Longest::default()
            };
            self.by_route.insert(route.to_owned(), longest);
        }
        if let Some(longest) = self.by_route.get_mut(route) {
            longest.advance(now_ms);
            longest.current_ms = longest.current_ms.max(took_ms);
        }
    }

    /// Returns whether a call that may last for `limit_ms` ends within `available_ms`: by its limit, or as all recent
    /// calls of its route would have.
    #[must_use]
    pub fn ends_within(&self, route: &str, limit_ms: u64, available_ms: u64, now_ms: u64) -> bool {
        limit_ms <= available_ms
            || self
                .expected_ms(route, now_ms)
                .is_some_and(|expected_ms| expected_ms <= available_ms)
    }

    /// Returns the longest duration of recent calls with a margin; [`None`] if there were none.
    fn expected_ms(&self, route: &str, now_ms: u64) -> Option<u64> {
        let mut longest = *self.by_route.get(route)?;
        longest.advance(now_ms);
        let longest_ms = longest.current_ms.max(longest.previous_ms.unwrap_or(0));
        (longest_ms > 0).then_some(longest_ms + longest_ms / MARGIN_DIVISOR)
    }
}
