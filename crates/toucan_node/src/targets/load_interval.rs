//! Poll intervals of a node's engines.

use std::time::Duration;

use toucan_router::DRAIN_POLL_MS;

/// Minimum poll interval of an engine's load, in milliseconds.
const LEAST_LOAD_POLL_MS: u64 = 250;
/// Minimum poll interval of an engine's cache events, in milliseconds.
const LEAST_EVENTS_POLL_MS: u64 = 500;
/// Maximum poll interval of an engine's cache events, in milliseconds.
const MOST_EVENTS_POLL_MS: u64 = 30_000;
/// Poll traffic of a node that the intervals are chosen for, in bytes a second.
const AIM_BYTES_PER_S: u64 = 8_192;
/// Size of one poll, request and response together, in bytes; 310 were measured with one model.
const LOOK_BYTES: u64 = 320;

/// Returns the poll interval of the load of each of `engines` engines.
///
/// It grows with their number to limit the traffic, but not beyond [`DRAIN_POLL_MS`]: a leaving
/// target must be noticed in time whatever the traffic.
pub(super) fn load_interval(engines: usize) -> Duration {
    let aimed_ms = aimed_ms(engines);
    Duration::from_millis(aimed_ms.clamp(LEAST_LOAD_POLL_MS, DRAIN_POLL_MS))
}

/// Returns the poll interval of the cache events of each of `engines` engines.
///
/// No guarantee depends on cache events, so they are polled less often than the loads.
pub(super) fn events_interval(engines: usize) -> Duration {
    let aimed_ms = aimed_ms(engines).saturating_mul(2);
    Duration::from_millis(aimed_ms.clamp(LEAST_EVENTS_POLL_MS, MOST_EVENTS_POLL_MS))
}

fn aimed_ms(engines: usize) -> u64 {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX);
    // Cache events are polled at half the rate of the loads: 1.5 polls an engine and interval.
    engines.saturating_mul(LOOK_BYTES * 1_500) / AIM_BYTES_PER_S
}
