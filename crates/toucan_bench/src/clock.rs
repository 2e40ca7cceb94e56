//! Clock for the times in histories.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch (1970).
pub(crate) fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}
