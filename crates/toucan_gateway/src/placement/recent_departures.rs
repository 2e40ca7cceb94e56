//! Departures that are told to the other gateways without being asked.

use super::Departure;

/// Time for which a departure is told again, in case a datagram was lost.
const REPEAT_MS: u64 = 2_500;
/// Maximum number of departures in one message.
const MAX_TOLD: usize = 64;

/// Departures that this gateway has read lately and tells the others.
///
/// A gateway whose own reads of the store are late, for example because its link is full, would otherwise go on
/// by what it read last.
#[derive(Clone, Debug, Default)]
pub struct RecentDepartures {
    read: Vec<(u64, Departure)>,
}

impl RecentDepartures {
    /// Adds a departure that was read at `now_ms`.
    pub fn record(&mut self, departure: Departure, now_ms: u64) {
        self.read.push((now_ms, departure));
    }

    /// Returns the latest departures that are still to be told, and forgets older ones.
    #[must_use]
    pub fn to_tell(&mut self, now_ms: u64) -> Vec<Departure> {
        self.read
            .retain(|(read_at_ms, _departure)| now_ms.saturating_sub(*read_at_ms) <= REPEAT_MS);
        let latest = self.read.iter().rev().take(MAX_TOLD);
        latest
            .map(|(_at_ms, departure)| departure.clone())
            .collect()
    }
}
