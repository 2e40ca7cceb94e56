//! Poll intervals of a node's engines.

use std::time::Duration;

use toucan_router::DRAIN_POLL_MS;

/// Minimum poll interval of an engine's load, in milliseconds.
const MIN_LOAD_POLL_MS: u64 = 250;
/// Minimum poll interval of an engine's cache events, in milliseconds.
const MIN_EVENTS_POLL_MS: u64 = 500;
/// Maximum poll interval of an engine's cache events, in milliseconds.
const MAX_EVENTS_POLL_MS: u64 = 30_000;
/// Poll traffic of a node that the intervals are chosen for, in bytes per second.
const POLL_BYTES_PER_S: u64 = 8_192;
/// Size of one poll, request and response together, in bytes; 310 were measured with one model.
const POLL_BYTES: u64 = 320;

/// Returns the poll interval of the load of each of `engines` engines.
///
/// It grows with their number to limit the traffic, but not beyond [`DRAIN_POLL_MS`]: a leaving
/// target must be noticed in time whatever the traffic.
pub(super) fn load_interval(engines: usize) -> Duration {
    let interval_ms = interval_for_traffic_ms(engines);
    Duration::from_millis(interval_ms.clamp(MIN_LOAD_POLL_MS, DRAIN_POLL_MS))
}

/// Returns the poll interval of the cache events of each of `engines` engines.
///
/// No guarantee depends on cache events, so they are polled less often than the loads.
pub(super) fn events_interval(engines: usize) -> Duration {
    let interval_ms = interval_for_traffic_ms(engines).saturating_mul(2);
    Duration::from_millis(interval_ms.clamp(MIN_EVENTS_POLL_MS, MAX_EVENTS_POLL_MS))
}

fn interval_for_traffic_ms(engines: usize) -> u64 {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX);
    // Cache events are polled at half the rate of the loads: 1.5 polls per engine and interval.
    engines.saturating_mul(POLL_BYTES * 1_500) / POLL_BYTES_PER_S
}
