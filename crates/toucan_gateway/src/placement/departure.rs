//! Targets that leave, as gateways read it from the store and tell each other.

use toucan_types::{Offset, TargetName};

/// Time for which a departure is told again, in case a datagram was lost.
const REPEAT_MS: u64 = 2_500;
/// Maximum number of departures in one message.
const MAX_TOLD: usize = 64;

/// Place of a record about a target in the store. Later records have greater places, also those that are written
/// after a restore of the store, which gives offsets out again.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct RecordPlace {
    /// Number of restores of the store before the record was written.
    pub restore: u64,
    /// Offset of the record.
    pub offset: Offset,
}

/// A record of the store by which a target leaves: it drains, or its registration has ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Departure {
    /// Target.
    pub target: TargetName,
    /// Unix time of the target's start.
    pub started_at_unix_ms: u64,
    /// Place of the record.
    pub place: RecordPlace,
}

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
